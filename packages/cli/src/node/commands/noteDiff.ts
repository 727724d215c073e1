import { existsSync } from 'node:fs';
import type { ReleaseNote } from '@chestnutwheel/configuration/common/controlRecord.js';
import { noteDifference } from '@chestnutwheel/configuration/common/noteDifference.js';
import { kindWords } from '@chestnutwheel/configuration/common/noteKinds.js';
import { loadReleaseNote } from '@chestnutwheel/configuration/node/loadReleaseNote.js';
import { valueText } from '../../common/textTable.js';
import { textArgument, type Command, type CommandContext } from '../command.js';

const signs = { added: '+', removed: '-', changed: '~' } as const;

/** Compares two notes, each a file or the identifier of a submitted note. */
export const noteDiff: Command = {
	usage: '<first> <second>',
	description: 'Show what the second note does differently from the first',
	positionals: {
		first: { type: 'string', describe: 'File or identifier of a note' },
		second: { type: 'string', describe: 'File or identifier of a note' },
	},
	examples: [['note diff add-rack add-rack-2.yaml', 'compare a submitted note with a file']],
	run: async (context, given) => {
		const first = await readNote(context, textArgument(given, 'first'));
		const second = await readNote(context, textArgument(given, 'second'));
		const differences = noteDifference(first, second);
		const lines = differences.flatMap(item => [
			`${signs[item.difference]} ${kindWords[item.kind]} ${item.name}`,
			...(item.difference === 'changed' ? item.fields : []).map(
				field => `    ${field.path}: ${valueText(field.before)} -> ${valueText(field.after)}`,
			),
		]);
		return { data: { differences }, text: lines.length === 0 ? 'no difference' : lines.join('\n') };
	},
};

const readNote = async (context: CommandContext, place: string): Promise<ReleaseNote> =>
	existsSync(place) ? loadReleaseNote(place) : (await context.client().note(place)).note;
