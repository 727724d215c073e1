import { textTable } from '../../common/textTable.js';
import { optionalArgument, type Command } from '../command.js';

/** Lists the long jobs. */
export const jobs: Command = {
	usage: '',
	description: 'List the long jobs with their state and host',
	options: { team: { type: 'string', describe: 'Only jobs of this team' } },
	examples: [['jobs --team mill', 'the jobs of one team']],
	run: async (context, given) => {
		const team = optionalArgument(given, 'team');
		const list = (await context.client().jobs()).jobs.filter(job => (team ?? job.team) === job.team);
		const rows = list.map(job => [
			job.id,
			job.cell,
			job.team,
			job.queue,
			job.state,
			job.attempts,
			job.host,
			job.reason ?? '',
		]);
		const head = ['JOB', 'CELL', 'TEAM', 'QUEUE', 'STATE', 'ATTEMPTS', 'HOST', 'REASON'];
		return { data: { jobs: list }, text: textTable(head, rows, context.headStyle) };
	},
};
