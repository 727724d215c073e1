import { noteChanges } from '@chestnutwheel/configuration/common/noteKinds.js';
import { loadReleaseNote } from '@chestnutwheel/configuration/node/loadReleaseNote.js';
import { textArgument, type Command } from '../command.js';

/** Checks a note without a daemon. */
export const noteValidate: Command = {
	usage: '<file>',
	description: 'Check the form of a release note, offline',
	positionals: { file: { type: 'string', describe: 'YAML file of the note' } },
	examples: [['note validate add-rack.yaml', 'check a note before it is sent']],
	run: async (_, given) => {
		const file = textArgument(given, 'file');
		const note = await loadReleaseNote(file);
		const changeCount = noteChanges(note).length;
		return {
			data: { id: note.id, valid: true, changes: changeCount },
			text: `${file}: ${note.id} is valid, ${changeCount} changes`,
		};
	},
};
