import type { NoteItems, ReleaseNote, WaveRequest } from './controlRecord.js';
import type { FleetState } from './fleetState.js';
import { fieldDifferences } from './noteDifference.js';
import { itemName, kindWords, noteKinds, type ItemOf, type NoteKind } from './noteKinds.js';

/** The note that undoes another, and what it cannot undo. */
export interface Reversal {
	readonly note: ReleaseNote;
	/** Parts of the note that are left as they are, with the reason. */
	readonly leftAlone: readonly string[];
}

/** What is new about the note that undoes another. */
export interface ReversalHead {
	readonly id: string;
	readonly author: string;
}

/** What things were before a note; waves are read from the present state, which keeps them. */
export type ThingsBefore = Partial<Pick<FleetState, Exclude<NoteKind, 'waves'>>>;

/** The values of a kind by name; the shared shape of every record of the state. */
type ItemsByName = Readonly<Record<string, unknown>>;

/**
 * Builds the note that undoes another against the present state.
 * @param before the things that the note changed or withdrew, as they were before it
 * @param present the state that the author of the reversal sees
 */
export function revertNote(
	reverted: ReleaseNote,
	before: ThingsBefore,
	present: FleetState,
	head: ReversalHead,
): Reversal {
	const added: Partial<Record<NoteKind, unknown[]>> = {};
	const changed: Partial<Record<NoteKind, unknown[]>> = {};
	const withdrawn: Partial<Record<NoteKind, string[]>> = {};
	const leftAlone: string[] = [];

	for (const kind of noteKinds) {
		if (kind === 'waves') {
			continue;
		}
		const itemsBefore: ItemsByName = before[kind] ?? {};
		const itemsNow: ItemsByName = present[kind];
		const names = (items: readonly ItemOf<NoteKind>[] | undefined): string[] => (items ?? []).map(itemName);

		for (const name of names(reverted.added?.[kind])) {
			if (itemsNow[name] === undefined) {
				leftAlone.push(`${kindWords[kind]} ${name} is already withdrawn`);
			} else {
				(withdrawn[kind] ??= []).push(name);
			}
		}
		for (const name of [...names(reverted.changed?.[kind]), ...(reverted.withdrawn?.[kind] ?? [])]) {
			const value = itemsBefore[name];
			if (value === undefined) {
				leftAlone.push(`it is not known what ${kindWords[kind]} ${name} was before the note`);
			} else if (itemsNow[name] === undefined) {
				(added[kind] ??= []).push(value);
			} else if (fieldDifferences('', itemsNow[name], value).length === 0) {
				leftAlone.push(`${kindWords[kind]} ${name} is already as it was before the note`);
			} else {
				(changed[kind] ??= []).push(value);
			}
		}
	}

	for (const { name } of reverted.added?.waves ?? []) {
		const state = present.waves[name]?.state;
		if (state === 'running' || state === 'stopped') {
			(withdrawn.waves ??= []).push(name);
		} else {
			leftAlone.push(`wave ${name} is ${state ?? 'no longer known'}; its hosts have been maintained`);
		}
	}
	for (const name of reverted.withdrawn?.waves ?? []) {
		const wave = present.waves[name];
		const waiting = Object.entries(wave?.hosts ?? {})
			.filter(([host, hostState]) => hostState === 'waiting' && present.hosts[host] !== undefined)
			.map(([host]) => host);
		if (wave === undefined || waiting.length === 0) {
			leftAlone.push(`wave ${name} has no hosts left to maintain`);
		} else {
			const request: WaveRequest = { name, hosts: waiting, returnWithinMs: wave.returnWithinMs };
			(added.waves ??= []).push(request);
		}
	}
	for (const { name } of reverted.changed?.waves ?? []) {
		leftAlone.push(`wave ${name} was resumed; a note that withdraws it ends it`);
	}

	return {
		note: {
			...head,
			writtenAgainst: present.noteOffset,
			comment: `Reverts note ${reverted.id}.`,
			...(Object.keys(added).length === 0 ? {} : { added: added as NoteItems }),
			...(Object.keys(changed).length === 0 ? {} : { changed: changed as NoteItems }),
			...(Object.keys(withdrawn).length === 0 ? {} : { withdrawn: withdrawn }),
		},
		leftAlone,
	};
}
