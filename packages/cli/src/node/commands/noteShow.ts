import { stringify } from 'yaml';
import { textArgument, type Command } from '../command.js';

/** Shows one note as a file and its verdict. */
export const noteShow: Command = {
	usage: '<id>',
	description: 'Show a release note and its verdict',
	positionals: { id: { type: 'string', describe: 'Identifier of the note' } },
	examples: [['note show add-rack', 'the note as YAML']],
	run: async (context, given) => {
		const answer = await context.client().note(textArgument(given, 'id'));
		const { offset, accepted, refusal } = answer.verdict;
		const verdict = accepted ? 'accepted' : `${refusal?.kind ?? 'refused'}: ${refusal?.reason ?? ''}`;
		return { data: answer, text: `# offset ${offset}, ${verdict}\n${stringify(answer.note).trimEnd()}` };
	},
};
