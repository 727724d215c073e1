import type { ReleaseNote } from './controlRecord.js';
import type { FleetDraft } from './fleetDraft.js';
import { MAXIMUM_VERDICTS, type FleetParts } from './fleetParts.js';
import type { NoteVerdict } from './fleetState.js';
import { itemRules, type ItemRule } from './itemRules.js';
import {
	itemName,
	kindWords,
	noteChanges,
	noteKinds,
	touchedName,
	type ItemOf,
	type NoteChange,
	type NoteKind,
} from './noteKinds.js';
import { addWave, leaveWaves, resumeWave, withdrawWave } from './waveRules.js';

/** Why a note is refused. */
export type NoteRefusal = NonNullable<NoteVerdict['refusal']>;

/** Names that a note uses more than once, or that it does nothing; needs no state. */
export function noteAloneProblem(note: ReleaseNote): string | undefined {
	const changes = noteChanges(note);
	if (changes.length === 0) {
		return 'the note changes nothing';
	}
	const seen = new Map<string, NoteChange>();
	for (const change of changes) {
		const name = touchedName(change);
		const earlier = seen.get(name);
		if (earlier !== undefined) {
			return earlier.action === change.action
				? `${name} is named twice under ${change.action}`
				: `${name} is named under ${earlier.action} and under ${change.action}`;
		}
		seen.set(name, change);
	}
	return undefined;
}

/** Why a later accepted note rules this one out. */
export function conflictProblem(before: FleetParts, note: ReleaseNote): string | undefined {
	const { verdicts, fields } = before;
	if (note.writtenAgainst > fields.noteOffset) {
		return `the note was written against offset ${note.writtenAgainst}, which no note has reached`;
	}
	const oldest = verdicts.at(0);
	if (oldest !== undefined && verdicts.length >= MAXIMUM_VERDICTS && note.writtenAgainst < oldest.offset) {
		return `the note was written against offset ${note.writtenAgainst}; verdicts are remembered from offset ${oldest.offset}`;
	}
	const touched = new Set(noteChanges(note).map(touchedName));
	for (let index = verdicts.length - 1; index >= 0; index--) {
		const verdict = verdicts.at(index);
		if (verdict === undefined || verdict.offset <= note.writtenAgainst) {
			break;
		}
		const shared = verdict.accepted ? verdict.touched.find(name => touched.has(name)) : undefined;
		if (shared !== undefined) {
			return `note ${verdict.id} at offset ${verdict.offset} also touched ${shared}`;
		}
	}
	return undefined;
}

/** Applies a note to a draft. @param offset where the note stands in the control stream */
export function applyNote(draft: FleetDraft, note: ReleaseNote, offset: number): NoteRefusal | undefined {
	const conflict = conflictProblem(draft.before, note);
	if (conflict !== undefined) {
		return { kind: 'note-conflict', reason: conflict };
	}
	const reason =
		noteAloneProblem(note) ??
		applyItems(draft, note) ??
		checkItems(draft, note) ??
		applyWaves(draft, note) ??
		applyEntrySet(draft, note, offset);
	return reason === undefined ? undefined : { kind: 'note-refused', reason };
}

const plainKinds = noteKinds.filter(kind => kind !== 'waves');
type PlainKind = (typeof plainKinds)[number];

/** Calls a function for one kind with its rule and its items, which share the kind. */
function withRule<Result>(
	kind: PlainKind,
	note: ReleaseNote,
	use: (rule: ItemRule<NoteKind>, lists: { readonly added: Items; readonly changed: Items }) => Result,
): Result {
	// The table maps each kind to the rule of that kind, which the compiler cannot follow through a union of kinds.
	const rule = itemRules[kind] as unknown as ItemRule<NoteKind>;
	return use(rule, { added: note.added?.[kind] ?? [], changed: note.changed?.[kind] ?? [] });
}

type Items = readonly ItemOf<NoteKind>[];

function applyItems(draft: FleetDraft, note: ReleaseNote): string | undefined {
	for (const kind of plainKinds) {
		const word = kindWords[kind];
		const problem = withRule(kind, note, (rule, { added, changed }) => {
			const names = note.withdrawn?.[kind] ?? [];
			const missing = [...names, ...changed.map(itemName)].find(name => rule.find(draft, name) === undefined);
			if (missing !== undefined) {
				return `${word} ${missing} does not exist`;
			}
			const existing = added.map(itemName).find(name => rule.find(draft, name) !== undefined);
			if (existing !== undefined) {
				return `${word} ${existing} already exists`;
			}
			for (const name of names) {
				rule.remove(draft, name);
			}
			for (const item of [...added, ...changed]) {
				rule.put(draft, item);
			}
			return undefined;
		});
		if (problem !== undefined) {
			return problem;
		}
	}
	leaveWaves(draft, note.withdrawn?.hosts ?? []);
	return undefined;
}

function checkItems(draft: FleetDraft, note: ReleaseNote): string | undefined {
	for (const kind of plainKinds) {
		const problem = withRule(kind, note, (rule, { added, changed }) => {
			for (const name of note.withdrawn?.[kind] ?? []) {
				const inUse = rule.checkRemoved(draft, name);
				if (inUse !== undefined) {
					return inUse;
				}
			}
			for (const item of [...added, ...changed]) {
				const wrong = rule.checkPut(draft, item);
				if (wrong !== undefined) {
					return wrong;
				}
			}
			return undefined;
		});
		if (problem !== undefined) {
			return problem;
		}
	}
	return undefined;
}

function applyWaves(draft: FleetDraft, note: ReleaseNote): string | undefined {
	for (const name of note.withdrawn?.waves ?? []) {
		const problem = withdrawWave(draft, name);
		if (problem !== undefined) {
			return problem;
		}
	}
	for (const request of note.changed?.waves ?? []) {
		const problem = resumeWave(draft, request);
		if (problem !== undefined) {
			return problem;
		}
	}
	for (const request of note.added?.waves ?? []) {
		const problem = addWave(draft, request);
		if (problem !== undefined) {
			return problem;
		}
	}
	return undefined;
}

/**
 * Two sets of entry hosts that differ by one share a voter between any two majorities. Sets that are two changes apart
 * need not, so a change waits until a majority of the previous set has applied the one before it.
 */
function applyEntrySet(draft: FleetDraft, note: ReleaseNote, offset: number): string | undefined {
	const changeCount = noteChanges(note).filter(change => change.kind === 'entryHosts').length;
	if (changeCount === 0) {
		return undefined;
	}
	const { entryHosts: before, entrySetOffset, previousEntryHosts } = draft.before.fields;
	const isFirstSet = Object.keys(before).length === 0;
	if (!isFirstSet && changeCount > 1) {
		return `the note changes ${changeCount} entry hosts; one note may change one`;
	}
	if (previousEntryHosts !== undefined) {
		return `the change of entry hosts at offset ${entrySetOffset} is not acknowledged by a majority of the set before it`;
	}
	if (Object.keys(draft.items('entryHosts')).length === 0) {
		return 'the last entry host cannot be withdrawn';
	}
	draft.setFields({
		entrySetOffset: offset,
		previousEntryHosts: isFirstSet ? undefined : before,
		acknowledgedBy: [],
	});
	return undefined;
}
