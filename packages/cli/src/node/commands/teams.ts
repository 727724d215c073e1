import { textTable } from '../../common/textTable.js';
import type { Command } from '../command.js';

/** Lists the teams with their limits and what they run. */
export const teams: Command = {
	usage: '',
	description: 'List the teams with their share, limit, running work and keys',
	examples: [['teams --output json', 'shares and occupied slot-milliseconds for a script']],
	run: async context => {
		const client = context.client();
		const [state, { cells }] = await Promise.all([client.state(), client.status()]);
		const overviews = Object.values(cells);
		const list = Object.values(state.teams).map(team => ({
			...team,
			running: overviews.reduce((total, cell) => total + (cell.runningByTeam[team.name] ?? 0), 0),
			slotMs: overviews.reduce((total, cell) => total + (cell.slotMsByTeam[team.name] ?? 0), 0),
			keys: Object.values(state.keys)
				.filter(key => key.team === team.name)
				.map(key => key.id),
		}));
		const rows = list.map(team => [
			team.name,
			team.organisation,
			team.share,
			team.limit,
			team.running,
			Math.round(team.slotMs / 1_000),
			team.queues.join(','),
			team.keys.join(','),
		]);
		const head = ['TEAM', 'ORGANISATION', 'SHARE', 'LIMIT', 'RUNNING', 'SLOT SECONDS', 'QUEUES', 'KEYS'];
		return { data: { teams: list }, text: textTable(head, rows, context.headStyle) };
	},
};
