import { errorResponses } from '@chestnutwheel/base/common/errorKinds.js';
import type { StatusAnswer } from '@chestnutwheel/configuration/common/operatorProtocol.js';
import { textTable } from '../../common/textTable.js';
import type { Command, CommandContext } from '../command.js';

const sum = (values: Readonly<Record<string, number>>): number =>
	Object.values(values).reduce((total, value) => total + value, 0);

/** Shows one daemon and the cells that it knows. The exit code tells scripts whether the daemon is ready. */
export const status: Command = {
	usage: '',
	description: 'Show the daemon, the age of its view, and the leader and load of each cell',
	examples: [['status', 'exit code 75 when the daemon is not ready']],
	run: async context => {
		const answer = await context.client().status();
		return {
			data: answer,
			text: statusText(answer, context),
			exitCode: answer.ready ? 0 : errorResponses['not-ready'].exitCode,
		};
	},
};

function statusText(answer: StatusAnswer, context: CommandContext): string {
	const names = [...new Set([...Object.keys(answer.leaders), ...Object.keys(answer.cells)])].sort();
	const rows = names.map(name => {
		const cell = answer.cells[name];
		const leader = answer.leaders[name];
		return [
			name,
			leader?.entryHost ?? 'none',
			leader?.term ?? cell?.term,
			cell === undefined ? 'not known' : cell.ready ? 'ready' : 'recovering',
			cell === undefined ? undefined : sum(cell.runningByTeam),
			cell === undefined ? undefined : sum(cell.waitingByQueue),
		];
	});
	return [
		`daemon ${answer.daemon}: ${answer.ready ? 'ready' : `not ready: ${answer.reason ?? 'no reason given'}`}`,
		`offset ${answer.offset}, view ${Math.round(answer.viewAgeMs)} ms old, log ${answer.logReadable ? 'readable' : 'not readable'}`,
		textTable(['CELL', 'LEADER', 'TERM', 'STATE', 'RUNNING', 'WAITING'], rows, context.headStyle),
	].join('\n');
}
