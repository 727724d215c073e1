import type { Wave, WaveHostState } from '@chestnutwheel/configuration/common/fleetState.js';
import { textTable } from '../../common/textTable.js';
import type { Command } from '../command.js';

const countOf = (wave: Wave, wanted: WaveHostState): number =>
	Object.values(wave.hosts).filter(hostState => hostState === wanted).length;

/** Lists the maintenance waves with their progress. */
export const waves: Command = {
	usage: '',
	description: 'List the maintenance waves with their progress',
	examples: [['waves', 'how far each wave is, and why it stopped']],
	run: async context => {
		const list = Object.values((await context.client().state()).waves);
		const rows = list.map(wave => [
			wave.name,
			wave.state,
			countOf(wave, 'waiting'),
			countOf(wave, 'claimed'),
			countOf(wave, 'returned'),
			Object.keys(wave.hosts)
				.filter(name => wave.hosts[name] === 'claimed')
				.join(','),
			wave.reason ?? '',
		]);
		const head = ['WAVE', 'STATE', 'WAITING', 'CLAIMED', 'RETURNED', 'OUT NOW', 'REASON'];
		return { data: { waves: list }, text: textTable(head, rows, context.headStyle) };
	},
};
