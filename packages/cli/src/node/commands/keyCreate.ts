import { createKey, hashKey, KEY_BYTES } from '@chestnutwheel/configuration/node/keyHash.js';
import { stringify } from 'yaml';
import { textArgument, type Command } from '../command.js';

/** Makes a key and the part of a note that adds it. */
export const keyCreate: Command = {
	usage: '',
	description: 'Make a key for a team, offline; the key is shown once, only its hash goes into a note',
	options: {
		team: { type: 'string', demandOption: true, describe: 'Team that gets the key' },
		id: { type: 'string', demandOption: true, describe: 'Identifier of the key in notes' },
	},
	examples: [['key create --team mill --id mill-2', 'make a key and the lines for a note']],
	run: (context, given) => {
		const key = createKey(context.randomBytes(KEY_BYTES));
		const item = { id: textArgument(given, 'id'), team: textArgument(given, 'team'), sha256: hashKey(key) };
		return Promise.resolve({
			data: { key, item },
			text: `# the key, for the team alone: ${key}\n${stringify({ added: { keys: [item] } }).trimEnd()}`,
		});
	},
};
