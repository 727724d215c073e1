import type { ReleaseNote } from './controlRecord.js';
import { CONTROL_RECORD_VERSION } from './parseControlRecord.js';
import { foldControlRecord } from './foldControlRecord.js';
import { claimingWave, findHost } from './fleetParts.js';
import type { FleetState, NoteVerdict } from './fleetState.js';
import { fieldDifferences, type FieldDifference } from './noteDifference.js';
import { itemName, kindWords, noteChanges, type ItemOf, type NoteChange, type NoteKind } from './noteKinds.js';
import { planWarnings } from './planWarnings.js';

/** One change with the fields that differ from the present state. */
export interface PlannedChange extends NoteChange {
	/** The kind in one word, such as `host`. */
	readonly word: string;
	readonly fields: readonly FieldDifference[];
}

/** A host that a note moves to another pool. */
export interface PlannedMove {
	readonly host: string;
	readonly from: string;
	readonly to: string;
}

/** What a note would do to the present state. */
export interface NotePlan {
	readonly id: string;
	/** The verdict that the fold would give now. */
	readonly verdict: Pick<NoteVerdict, 'accepted' | 'refusal'>;
	readonly changes: readonly PlannedChange[];
	readonly moves: readonly PlannedMove[];
	/** Hosts that get no new work once the note is accepted, with the reason. */
	readonly drains: readonly { readonly host: string; readonly reason: string }[];
	/** Pools whose budget changes. */
	readonly budgets: readonly string[];
	/** Teams whose limit changes. */
	readonly limits: readonly { readonly team: string; readonly before: number; readonly after: number }[];
	/** Teams whose share, limit, queues or keys change. */
	readonly teams: readonly string[];
	readonly warnings: readonly string[];
}

/** Running tasks by team, as the daemons report them; empty when they are not known. */
export type RunningByTeam = Readonly<Record<string, number>>;

/** Works out what a note would do now. @param runningByTeam for warnings about limits */
export function planNote(state: FleetState, note: ReleaseNote, runningByTeam: RunningByTeam = {}): NotePlan {
	const record = JSON.stringify({ type: 'note', version: CONTROL_RECORD_VERSION, note });
	const folded = foldControlRecord(state, state.offset + 1, record);
	const verdict = folded.state.verdicts.findLast(candidate => candidate.id === note.id);
	const isCopy = state.verdicts.some(candidate => candidate.id === note.id);
	const changes = noteChanges(note).map(change => planChange(state, note, change));
	const limits = (note.changed?.teams ?? []).flatMap(team => {
		const before = state.teams[team.name]?.limit;
		return before === undefined || before === team.limit ? [] : [{ team: team.name, before, after: team.limit }];
	});
	return {
		id: note.id,
		verdict: {
			accepted: verdict?.accepted ?? false,
			...(verdict?.refusal === undefined ? {} : { refusal: verdict.refusal }),
		},
		changes,
		moves: (note.changed?.hosts ?? []).flatMap(host => {
			const from = findHost(state, host.name)?.pool;
			return from === undefined || from === host.pool ? [] : [{ host: host.name, from, to: host.pool }];
		}),
		drains: plannedDrains(state, folded.state, note),
		budgets: (note.changed?.pools ?? [])
			.filter(pool => fieldDifferences('', state.pools[pool.name]?.budget, pool.budget).length > 0)
			.map(pool => pool.name),
		limits,
		teams: touchedTeams(state, note),
		warnings: [
			...(isCopy ? [`note ${note.id} was already submitted; its verdict stands`] : []),
			...planWarnings(state, note, runningByTeam),
		],
	};
}

function planChange(state: FleetState, note: ReleaseNote, change: NoteChange): PlannedChange {
	const { kind, name } = change;
	const items: readonly ItemOf<NoteKind>[] = change.action === 'withdrawn' ? [] : (note[change.action]?.[kind] ?? []);
	const after = items.find(item => itemName(item) === name);
	const before = (state[kind] as Readonly<Record<string, unknown>>)[name];
	// A wave in a note is a request; only its name is shared with the wave in the state.
	const fields = change.action === 'changed' && kind !== 'waves' ? fieldDifferences('', before, after) : [];
	return { ...change, word: kindWords[kind], fields };
}

function plannedDrains(before: FleetState, after: FleetState, note: ReleaseNote): NotePlan['drains'] {
	const withdrawn = (note.withdrawn?.hosts ?? [])
		.filter(name => findHost(before, name) !== undefined)
		.map(host => ({ host, reason: 'withdrawn' }));
	const inWaves = (note.added?.waves ?? []).flatMap(request =>
		Object.keys(after.waves[request.name]?.hosts ?? {})
			.filter(host => claimingWave(before, host) === undefined)
			.map(host => ({ host, reason: `wave ${request.name}` })),
	);
	return [...withdrawn, ...inWaves];
}

function touchedTeams(state: FleetState, note: ReleaseNote): readonly string[] {
	const names = new Set<string>();
	for (const action of ['added', 'changed'] as const) {
		for (const team of note[action]?.teams ?? []) {
			names.add(team.name);
		}
		for (const key of note[action]?.keys ?? []) {
			names.add(key.team);
		}
	}
	for (const name of note.withdrawn?.teams ?? []) {
		names.add(name);
	}
	for (const id of note.withdrawn?.keys ?? []) {
		const team = state.keys[id]?.team;
		if (team !== undefined) {
			names.add(team);
		}
	}
	return [...names].sort();
}
