import type { NoteItems, ReleaseNote } from './controlRecord.js';
import type { FleetState } from './fleetState.js';
import { itemName, noteKinds, touchedName, type NoteKind } from './noteKinds.js';

/** One field that differs; `undefined` on the side that does not have it. */
export interface FieldDifference {
	/** Path in the item, such as `budget.maximumUnavailable`; empty for the whole item. */
	readonly path: string;
	readonly before: unknown;
	readonly after: unknown;
}

/** One thing that differs between two notes or two states. */
export interface ItemDifference {
	readonly kind: NoteKind;
	readonly name: string;
	readonly difference: 'added' | 'removed' | 'changed';
	readonly fields: readonly FieldDifference[];
}

type Things = ReadonlyMap<string, { readonly kind: NoteKind; readonly name: string; readonly value: unknown }>;

/** What differs between two states, sorted by kind and name. */
export function stateDifference(before: FleetState, after: FleetState): readonly ItemDifference[] {
	return difference(stateThings(before), stateThings(after));
}

/** What the second note does differently from the first. The action of a note on a thing is a field of the thing. */
export function noteDifference(before: ReleaseNote, after: ReleaseNote): readonly ItemDifference[] {
	return difference(noteThings(before), noteThings(after));
}

function stateThings(state: FleetState): Things {
	return new Map(
		noteKinds.flatMap(kind =>
			Object.entries<unknown>(state[kind]).map(([name, value]) => [touchedName({ kind, name }), { kind, name, value }]),
		),
	);
}

function noteThings(note: ReleaseNote): Things {
	const things = new Map<string, { kind: NoteKind; name: string; value: unknown }>();
	for (const action of ['added', 'changed'] as const) {
		for (const kind of noteKinds) {
			for (const item of (note[action]?.[kind] ?? []) as readonly NonNullable<NoteItems[NoteKind]>[number][]) {
				const name = itemName(item);
				things.set(touchedName({ kind, name }), { kind, name, value: { action, ...item } });
			}
		}
	}
	for (const kind of noteKinds) {
		for (const name of note.withdrawn?.[kind] ?? []) {
			things.set(touchedName({ kind, name }), { kind, name, value: { action: 'withdrawn' } });
		}
	}
	return things;
}

function difference(before: Things, after: Things): readonly ItemDifference[] {
	const found: ItemDifference[] = [];
	for (const key of [...new Set([...before.keys(), ...after.keys()])].sort()) {
		const left = before.get(key);
		const right = after.get(key);
		const thing = right ?? left;
		const fields = fieldDifferences('', left?.value, right?.value);
		if (thing !== undefined && fields.length > 0) {
			const kindOfDifference = left === undefined ? 'added' : right === undefined ? 'removed' : 'changed';
			found.push({ kind: thing.kind, name: thing.name, difference: kindOfDifference, fields });
		}
	}
	return found;
}

/** The fields that differ between two values; an equal pair has none. */
export function fieldDifferences(path: string, before: unknown, after: unknown): readonly FieldDifference[] {
	if (before === after) {
		return [];
	}
	if (!isPlainRecord(before) || !isPlainRecord(after)) {
		return JSON.stringify(before) === JSON.stringify(after) ? [] : [{ path, before, after }];
	}
	return [...new Set([...Object.keys(before), ...Object.keys(after)])]
		.sort()
		.flatMap(key => fieldDifferences(path === '' ? key : `${path}.${key}`, before[key], after[key]));
}

function isPlainRecord(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
