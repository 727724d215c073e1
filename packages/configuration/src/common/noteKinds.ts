import type { NoteItems, ReleaseNote } from './controlRecord.js';

/** Kinds of things that a note names. */
export type NoteKind = keyof NoteItems;

/** One item of a kind, as a note writes it. */
export type ItemOf<Kind extends NoteKind> = NonNullable<NoteItems[Kind]>[number];

/** The kinds, in the order in which a note is applied: a wave takes its hosts from the pools as changed. */
export const noteKinds = [
	'pools',
	'hosts',
	'queues',
	'teams',
	'keys',
	'entryHosts',
	'waves',
] as const satisfies readonly NoteKind[];

/** The word for one thing of a kind, as in `host/rye-04`. */
export const kindWords: Readonly<Record<NoteKind, string>> = {
	pools: 'pool',
	hosts: 'host',
	queues: 'queue',
	teams: 'team',
	keys: 'key',
	entryHosts: 'entry-host',
	waves: 'wave',
};

/** The name of an item; keys go by their id. */
export function itemName(item: ItemOf<NoteKind>): string {
	return 'id' in item ? item.id : item.name;
}

/** One thing that a note does. */
export interface NoteChange {
	readonly kind: NoteKind;
	readonly action: 'added' | 'changed' | 'withdrawn';
	readonly name: string;
}

/** Everything that a note does, withdrawals first. */
export function noteChanges(note: ReleaseNote): readonly NoteChange[] {
	const changes: NoteChange[] = [];
	for (const kind of noteKinds) {
		changes.push(...(note.withdrawn?.[kind] ?? []).map(name => ({ kind, action: 'withdrawn' as const, name })));
	}
	for (const action of ['added', 'changed'] as const) {
		for (const kind of noteKinds) {
			const items: readonly ItemOf<NoteKind>[] = note[action]?.[kind] ?? [];
			changes.push(...items.map(item => ({ kind, action, name: itemName(item) })));
		}
	}
	return changes;
}

/** The name of a thing across kinds, as verdicts list it. */
export function touchedName(change: Pick<NoteChange, 'kind' | 'name'>): string {
	return `${kindWords[change.kind]}/${change.name}`;
}
