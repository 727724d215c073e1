import { writeFile } from 'node:fs/promises';
import { burnPage, burnWindows, windowOf, windowText } from '../../common/burnPage.js';
import { textTable } from '../../common/textTable.js';
import { optionalArgument, type Command } from '../command.js';

/** Shows how fast the error budgets of the queues are used. */
export const burn: Command = {
	usage: '',
	description: 'Show how fast each team and queue uses its error budget',
	options: { html: { type: 'string', describe: 'Also write the report to this HTML file' } },
	examples: [
		['burn', 'the report as a table'],
		['burn --html burn.html', 'a page for others'],
	],
	run: async (context, given) => {
		const answer = await context.client().burn();
		const file = optionalArgument(given, 'html');
		if (file !== undefined) {
			await writeFile(file, burnPage(answer), 'utf8');
			context.progress(`wrote ${file}`);
		}
		const lengths = burnWindows(answer);
		const rows = answer.rows.map(row => [
			row.team,
			row.queue,
			row.target,
			...lengths.map(length => windowOf(row, length)?.burnRate.toFixed(2)),
			row.alarm,
		]);
		const head = ['TEAM', 'QUEUE', 'TARGET', ...lengths.map(length => windowText(length).toUpperCase()), 'ALARM'];
		return { data: answer, text: textTable(head, rows, context.headStyle) };
	},
};
