import type { EvacuationRequest, FleetPlan, MaintenanceWave } from './fleetPlan.js';
import type { WorkerEntry } from './workerService.js';

/** A change of one entry. `value` is `undefined` for a deleted entry and `unreadable` for one that cannot be decoded. */
export interface FeedChange<Value> {
	readonly key: string;
	readonly offset: number;
	readonly value: Value | 'unreadable' | undefined;
}

/** Outcome of reading a feed. */
export type FeedOutcome<Value> =
	| { readonly type: 'changes'; readonly end: number; readonly changes: readonly FeedChange<Value>[] }
	/** The requested offset is no longer retained; the reader has to take a new snapshot. */
	| { readonly type: 'expired' }
	| { readonly type: 'failed'; readonly reason: string };

/** Change feed of store entries that other processes write. Calls never reject. */
export interface Feed<Value> {
	/** Reads the newest value of every key. */
	snapshot(signal: AbortSignal): Promise<FeedOutcome<Value>>;
	/** Reads the changes from an offset on. @param waitMs longest time to wait for the first change */
	changes(from: number, waitMs: number, signal: AbortSignal): Promise<FeedOutcome<Value>>;
}

/** An entry written by the operator. */
export type OperatorEntry =
	| { readonly type: 'plan'; readonly plan: FleetPlan }
	| { readonly type: 'wave'; readonly wave: MaintenanceWave }
	| { readonly type: 'evacuation'; readonly request: EvacuationRequest };

/** Feed of the entries written by the operator. */
export type OperatorFeed = Feed<OperatorEntry>;

/** Feed of the registration entries of workers, keyed by worker. */
export type WorkerFeed = Feed<WorkerEntry>;
