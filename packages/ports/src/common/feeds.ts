import type { FleetPlan, MaintenanceWave } from './fleetPlan.js';
import type { WorkerEntry } from './workerService.js';

/** A change of one entry; `value` is `undefined` when the entry is gone, `unreadable` when it cannot be used. */
export interface FeedChange<Value> {
	readonly key: string;
	readonly offset: number;
	readonly value: Value | 'unreadable' | undefined;
}

/** What a read of a feed found. */
export type FeedOutcome<Value> =
	| { readonly type: 'changes'; readonly end: number; readonly changes: readonly FeedChange<Value>[] }
	/** The history from the asked offset on is gone; read the whole again. */
	| { readonly type: 'expired' }
	| { readonly type: 'failed'; readonly reason: string };

/** Entries that others keep in the store. Calls never reject. */
export interface Feed<Value> {
	/** The newest value of every key. */
	snapshot(signal: AbortSignal): Promise<FeedOutcome<Value>>;
	/** Changes since an offset. @param waitMs longest time to wait for the first change */
	changes(from: number, waitMs: number, signal: AbortSignal): Promise<FeedOutcome<Value>>;
}

/** An entry that the operator writes. */
export type OperatorEntry =
	{ readonly type: 'plan'; readonly plan: FleetPlan } | { readonly type: 'wave'; readonly wave: MaintenanceWave };

/** The operator's entries. */
export type OperatorFeed = Feed<OperatorEntry>;

/** The workers' entries, by worker. */
export type WorkerFeed = Feed<WorkerEntry>;
