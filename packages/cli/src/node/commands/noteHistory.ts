import { textTable } from '../../common/textTable.js';
import { countArgument, type Command } from '../command.js';

/** Lists the remembered notes, oldest first. */
export const noteHistory: Command = {
	usage: '',
	description: 'List the remembered release notes with their verdicts, oldest first',
	options: { last: { type: 'number', default: 50, describe: 'How many of the latest notes to list' } },
	examples: [['note history --last 10', 'the last ten notes']],
	run: async (context, given) => {
		const last = countArgument(given, 'last');
		const all = (await context.client().notes()).verdicts;
		const verdicts = all.slice(Math.max(0, all.length - last));
		const rows = verdicts.map(({ offset, id, author, accepted, refusal, touched }) => [
			offset,
			id,
			author,
			accepted ? 'accepted' : (refusal?.kind ?? 'refused'),
			touched.length,
			refusal?.reason ?? '',
		]);
		return {
			data: { verdicts },
			text: textTable(['OFFSET', 'NOTE', 'AUTHOR', 'VERDICT', 'TOUCHED', 'REASON'], rows, context.headStyle),
		};
	},
};
