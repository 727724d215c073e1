import { kindError } from '@chestnutwheel/base/common/kindError.js';
import { explainKinds } from '@chestnutwheel/configuration/common/operatorProtocol.js';
import { textTable } from '../../common/textTable.js';
import { textArgument, type Command } from '../command.js';

/** Shows the decisions about one thing with the numbers behind them. */
export const explain: Command = {
	usage: '<kind> <name>',
	description: 'Show the decisions about a job, request, host, wave or note and the numbers behind them',
	positionals: {
		kind: { type: 'string', choices: explainKinds, describe: 'Kind of thing' },
		name: { type: 'string', describe: 'Name or identifier' },
	},
	examples: [
		['explain host rye-04', 'why the host gets no work'],
		['explain wave spring', 'which claims were refused, and why'],
	],
	run: async (context, given) => {
		const kind = textArgument(given, 'kind');
		const name = textArgument(given, 'name');
		const { entries } = await context.client().explain(kind, name);
		if (entries.length === 0) {
			throw kindError('unknown-item', `no decision about ${kind} ${name} is remembered`);
		}
		const rows = entries.map(entry => [
			new Date(entry.at).toISOString(),
			entry.reason,
			Object.entries(entry.details)
				.map(([detail, value]) => `${detail}=${value}`)
				.join(' '),
		]);
		return { data: { entries }, text: textTable(['AT', 'REASON', 'DETAILS'], rows, context.headStyle) };
	},
};
