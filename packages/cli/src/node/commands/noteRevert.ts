import { kindError } from '@chestnutwheel/base/common/kindError.js';
import type { NoteItems, ReleaseNote } from '@chestnutwheel/configuration/common/controlRecord.js';
import {
	itemName,
	kindWords,
	noteKinds,
	type ItemOf,
	type NoteKind,
} from '@chestnutwheel/configuration/common/noteKinds.js';
import { revertNote, type ThingsBefore } from '@chestnutwheel/configuration/common/revertNote.js';
import { stringify } from 'yaml';
import type { OperatorClient } from '../../common/operatorClient.js';
import { optionalArgument, textArgument, type Command } from '../command.js';

/** Writes the note that undoes another one. It is not submitted. */
export const noteRevert: Command = {
	usage: '<id>',
	description: 'Write the note that undoes another against the present state; it is not submitted',
	positionals: { id: { type: 'string', describe: 'Identifier of the note to undo' } },
	options: {
		'new-id': { type: 'string', describe: 'Identifier of the new note; revert-<id> when left out' },
		author: { type: 'string', describe: 'Author of the new note; $USER when left out' },
	},
	examples: [['note revert add-rack > undo.yaml', 'write the note, to be checked and submitted']],
	run: async (context, given) => {
		const id = textArgument(given, 'id');
		const client = context.client();
		const [{ note, verdict }, present] = await Promise.all([client.note(id), client.state()]);
		if (!verdict.accepted) {
			throw kindError('unknown-item', `note ${id} was refused; there is nothing to undo`);
		}
		const before = await thingsBefore(client, note, verdict.offset);
		const reversal = revertNote(note, before, present, {
			id: optionalArgument(given, 'new-id') ?? `revert-${id}`,
			author: optionalArgument(given, 'author') ?? context.author ?? 'unknown',
		});
		const comments = reversal.leftAlone.map(reason => `# left alone: ${reason}\n`);
		return { data: reversal, text: `${comments.join('')}${stringify(reversal.note).trimEnd()}` };
	},
};

/**
 * What the note changed or withdrew, as the last accepted note before it wrote it. A later `host-moved` is not seen:
 * the host goes back to the pool that the note named.
 */
async function thingsBefore(client: OperatorClient, note: ReleaseNote, offset: number): Promise<ThingsBefore> {
	const earlier = (await client.notes()).verdicts.filter(verdict => verdict.accepted && verdict.offset < offset);
	const read = new Map<string, Promise<ReleaseNote>>();
	const before: Partial<Record<NoteKind, Record<string, unknown>>> = {};
	for (const kind of noteKinds.filter(candidate => candidate !== 'waves')) {
		const changed: readonly ItemOf<NoteKind>[] = note.changed?.[kind] ?? [];
		for (const name of [...changed.map(itemName), ...(note.withdrawn?.[kind] ?? [])]) {
			const touching = earlier.findLast(verdict => verdict.touched.includes(`${kindWords[kind]}/${name}`));
			if (touching === undefined) {
				continue;
			}
			const source = read.get(touching.id) ?? client.note(touching.id).then(answer => answer.note);
			read.set(touching.id, source);
			const item = findItem(await source, kind, name);
			if (item !== undefined) {
				(before[kind] ??= {})[name] = item;
			}
		}
	}
	return before as ThingsBefore;
}

function findItem(note: ReleaseNote, kind: NoteKind, name: string): ItemOf<NoteKind> | undefined {
	const items = (list: NoteItems | undefined): readonly ItemOf<NoteKind>[] => list?.[kind] ?? [];
	return [...items(note.added), ...items(note.changed)].find(item => itemName(item) === name);
}
