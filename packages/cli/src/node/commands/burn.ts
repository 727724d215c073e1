import { writeFile } from 'node:fs/promises';
import { forTeam } from '@chestnutwheel/burn/common/burnReport.js';
import { burnReportHtml } from '@chestnutwheel/burn/common/burnReportHtml.js';
import { burnReportText } from '@chestnutwheel/burn/common/burnReportText.js';
import { optionalArgument, type Command } from '../command.js';

/** Shows which objective burns, how fast, for whom, and what burnt it. */
export const burn: Command = {
	usage: '',
	description: 'Show how fast each team and queue uses its error budget',
	options: {
		html: { type: 'string', describe: 'Also write the report to this HTML file' },
		team: { type: 'string', describe: 'Only the view of this team, which holds nothing of another team' },
	},
	examples: [
		['burn', 'the report as text'],
		['burn --html burn.html', 'a page for others'],
		['burn --team brewers --html brewers.html', 'a page that can be given to that team'],
	],
	run: async (context, given) => {
		const whole = await context.client().burn();
		const team = optionalArgument(given, 'team');
		const report = team === undefined ? whole : forTeam(whole, team);
		const file = optionalArgument(given, 'html');
		if (file !== undefined) {
			await writeFile(file, burnReportHtml(report), 'utf8');
			context.progress(`wrote ${file}`);
		}
		return { data: report, text: burnReportText(report) };
	},
};
