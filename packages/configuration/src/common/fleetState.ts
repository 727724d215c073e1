/** Offset of a record in the control stream. */
export type ControlOffset = number;

/** An availability budget: how many hosts may be unavailable at once, for whatever reason. */
export interface AvailabilityBudget {
	/** Largest number of unavailable hosts in the pool. */
	readonly maximumUnavailable: number;
	/** Largest number of unavailable hosts of the pool in one data centre; no such bound when left out. */
	readonly maximumUnavailablePerDataCentre?: number | undefined;
}

/** A set of hosts that serve the same queues. */
export interface Pool {
	readonly name: string;
	/** The cell whose leader schedules this pool. */
	readonly cell: string;
	readonly budget: AvailabilityBudget;
	/** Spare pools lend slots to the queues that list them. */
	readonly spare: boolean;
}

/** A worker host. It belongs to exactly one pool. */
export interface Host {
	readonly name: string;
	readonly pool: string;
	/** Address of the worker's endpoint, as `http://IP:port`. */
	readonly address: string;
	readonly dataCentre: string;
	readonly rack: string;
	readonly slots: number;
	readonly connections: number;
}

/** A named service objective of a queue, for the burn report. */
export interface ServiceObjective {
	/** A request is good when it ended well within this time. */
	readonly latencyMs: number;
	/** Fraction of requests that must be good, between 0 and 1. */
	readonly target: number;
}

/** Where callers send work. */
export interface Queue {
	readonly name: string;
	/** Pools in order of preference, all in one cell. */
	readonly pools: readonly string[];
	/** Open queues take work without a key. */
	readonly open: boolean;
	/** Requests that may wait at once; one more is refused as `queue-full`. */
	readonly maximumWaiting: number;
	readonly objective?: ServiceObjective | undefined;
}

/** A customer's team. */
export interface Team {
	readonly name: string;
	readonly organisation: string;
	/** Weight in the weighted fair queue; above zero. */
	readonly share: number;
	/** Most tasks of the team that run at once across the fleet. */
	readonly limit: number;
	/** The queues that the team may use, all in one cell. */
	readonly queues: readonly string[];
}

/** A team's key. Only its hash is ever stored. */
export interface TeamKey {
	readonly id: string;
	readonly team: string;
	/** SHA-256 of the key, in lower-case hexadecimal. */
	readonly sha256: string;
}

/** An entry host of the system; the set of them votes on leader leases. */
export interface EntryHost {
	readonly name: string;
	/** Address for the other daemons, as `http://IP:port`. */
	readonly address: string;
	readonly dataCentre: string;
}

/** Life of a maintenance wave. */
export type WaveState = 'running' | 'stopped' | 'withdrawn' | 'finished';

/** What a wave still has to do with one of its hosts. */
export type WaveHostState = 'waiting' | 'claimed' | 'returned';

/** A maintenance wave over pools or named hosts. */
export interface Wave {
	readonly name: string;
	readonly pools: readonly string[];
	/** The hosts of the wave, fixed when the note was accepted. */
	readonly hosts: Readonly<Record<string, WaveHostState>>;
	readonly state: WaveState;
	/** Why the wave stopped. */
	readonly reason?: string | undefined;
	/** Time that a claimed host has for its return. */
	readonly returnWithinMs: number;
}

/** Verdict on one note, kept to recognise a second copy. */
export interface NoteVerdict {
	readonly id: string;
	readonly offset: ControlOffset;
	readonly author: string;
	readonly accepted: boolean;
	/** Error kind and explanation when the note was refused. */
	readonly refusal?: { readonly kind: 'note-refused' | 'note-conflict'; readonly reason: string } | undefined;
	/** Names touched, as `kind/name`. */
	readonly touched: readonly string[];
}

/**
 * The accepted state of the fleet: the fold of the control stream up to `offset`.
 * Values are never changed in place; each accepted record makes a new state.
 */
export interface FleetState {
	readonly formatVersion: 1;
	/** Offset of the last record folded; -1 before the first. */
	readonly offset: ControlOffset;
	/** Offset of the last accepted note; -1 before the first. */
	readonly noteOffset: ControlOffset;
	readonly pools: Readonly<Record<string, Pool>>;
	readonly hosts: Readonly<Record<string, Host>>;
	readonly queues: Readonly<Record<string, Queue>>;
	readonly teams: Readonly<Record<string, Team>>;
	readonly keys: Readonly<Record<string, TeamKey>>;
	readonly entryHosts: Readonly<Record<string, EntryHost>>;
	/** Offset of the note that last changed the set of entry hosts; -1 before the first. */
	readonly entrySetOffset: ControlOffset;
	/** The set of entry hosts before that change, until a majority of it has acknowledged. */
	readonly previousEntryHosts?: Readonly<Record<string, EntryHost>> | undefined;
	/** Entry hosts that have acknowledged `entrySetOffset`. */
	readonly acknowledgedBy: readonly string[];
	readonly waves: Readonly<Record<string, Wave>>;
	/** Identifiers of the last 1,000 `host-moved` records accepted, oldest first, to recognise a second copy. */
	readonly recentMoveIds?: readonly string[] | undefined;
	/** Verdicts on the last notes, oldest first. */
	readonly verdicts: readonly NoteVerdict[];
}

/** The state before the first record. */
export const emptyFleetState: FleetState = {
	formatVersion: 1,
	offset: -1,
	noteOffset: -1,
	pools: {},
	hosts: {},
	queues: {},
	teams: {},
	keys: {},
	entryHosts: {},
	entrySetOffset: -1,
	acknowledgedBy: [],
	waves: {},
	verdicts: [],
};
