import type { Resources } from './resources.js';

/** Registration entry of a worker in the store. */
export interface WorkerEntry {
	readonly worker: string;
	/** Host on which the worker runs; empty when the entry does not name it. */
	readonly host: string;
	/** Start time of the worker, in milliseconds since 1970; it distinguishes the incarnations of a worker. */
	readonly incarnation: number;
	readonly pool: string;
	/** Network address, as `IP:port`. */
	readonly address: string;
	readonly dataCentre: string;
	readonly isDraining: boolean;
	/** Least time until a draining worker shuts down, in milliseconds. */
	readonly remainingMs: number | undefined;
	/** Remaining time of the warm-up after the start, during which the worker is slow, in milliseconds. */
	readonly warmUpRemainingMs: number;
	readonly resources: Resources;
	/** Features of the worker, such as its kind. */
	readonly labels: readonly string[];
	/** Rack of the host, which is a failure domain. */
	readonly rack: string;
}

/** Identifies one run of a task. */
export interface RunId {
	/** Name of the task, unique over all jobs. */
	readonly task: string;
	/** Run number; it increases with each start of the task. */
	readonly run: number;
}

/** A run in progress, as listed by its worker. */
export interface ListedRun extends RunId {
	/** Last checkpoint; empty when there is none. */
	readonly checkpoint: string;
	/** Current speed in percent, 0 to 100; below 100 while the run starts or is throttled. */
	readonly percent: number;
	/** Tail latency in milliseconds for a service task, processor use in thousandths of a core for other tasks. */
	readonly load: number | undefined;
}

/** Reason why a run ended. */
export type RunEnd =
	| 'done'
	/** The task or its worker failed. */
	| 'failed'
	| 'stopped'
	/** The lease of the worker expired. */
	| 'lapsed'
	/** Another member of the gang ended. */
	| 'broken'
	/** The other members of the gang did not start in time. */
	| 'alone';

/** An ended run that has not been acknowledged yet. */
export interface ListedEnd extends RunId {
	/** Index of the end; it increases by one with each run that ends in one incarnation of the worker. */
	readonly index: number;
	readonly end: RunEnd;
	readonly checkpoint: string;
}

/** Listing of the runs on a worker, as returned by the worker. */
export interface WorkerListing {
	readonly incarnation: number;
	/** Monotonic clock of the worker at the time of the response, in milliseconds. */
	readonly clockMs: number;
	readonly running: readonly ListedRun[];
	/** Ends that are not acknowledged, from the lowest index on. */
	readonly ended: readonly ListedEnd[];
	/** Whether further ends may wait behind those listed, since a worker lists a limited number at a time. */
	readonly mayHaveMoreEnds: boolean;
}

/** The target of a call: the expected worker and its address. */
export interface WorkerAddress {
	readonly worker: string;
	readonly address: string;
}

/** Parameters of a poll of a worker. */
export interface PollRequest {
	readonly fencingToken: number;
	/** Ended runs up to this index are recorded, and the worker may discard them. */
	readonly acknowledged: number;
	/** Expiry of the lease on the clock of the worker; its runs may continue until then. */
	readonly leaseUntilMs: number | undefined;
	/** Longest time to wait for a run to end, in milliseconds. */
	readonly waitMs: number;
}

/** Failure of a call to a worker. `other-worker` means that another instance responds at the address. */
export type WorkerCallFailure =
	| { readonly type: 'refused'; readonly reason: string }
	| { readonly type: 'other-worker' }
	| { readonly type: 'silent'; readonly reason: string };

/** Outcome of a poll. */
export type PollOutcome = { readonly type: 'listed'; readonly listing: WorkerListing } | WorkerCallFailure;

/** An order to start one run. */
export interface StartOrder extends RunId {
	readonly fencingToken: number;
	readonly payload: string;
	/** Time on the clock of the worker after which it refuses to start the run. */
	readonly startByMs: number;
	readonly checkpoint: string;
	readonly ticket: string | undefined;
}

/** Reason why a worker did not start a run. Every value proves that the order had no effect. */
export type StartRefusal =
	'fenced' | 'old-run' | 'late' | 'no-room' | 'ticket' | 'unknown-task' | 'unhealthy' | 'unreachable';

/** Outcome of a start order. After `silent` the run may have started already or may still start. */
export type StartOutcome =
	| { readonly type: 'started'; readonly clockMs: number }
	| { readonly type: 'not-started'; readonly reason: StartRefusal; readonly clockMs: number | undefined }
	| { readonly type: 'other-worker' }
	| { readonly type: 'silent'; readonly reason: string };

/** Outcome of a stop order or a change of speed. */
export type WorkerOrderOutcome = { readonly type: 'done'; readonly clockMs: number } | WorkerCallFailure;

/** Client of the workers of the fleet. Calls never reject. */
export interface WorkerService {
	/** Renews the lease of a worker, acknowledges ended runs and returns the listing of its runs. */
	poll(worker: WorkerAddress, request: PollRequest, signal: AbortSignal): Promise<PollOutcome>;
	/** Starts one run. */
	start(worker: WorkerAddress, order: StartOrder, signal: AbortSignal): Promise<StartOutcome>;
	/** Stops one run. */
	stop(worker: WorkerAddress, run: RunId, fencingToken: number, signal: AbortSignal): Promise<WorkerOrderOutcome>;
	/** Limits the speed of a run. @param percent share of the full speed, 0 to 100 */
	pace(
		worker: WorkerAddress,
		run: RunId,
		percent: number,
		fencingToken: number,
		signal: AbortSignal,
	): Promise<WorkerOrderOutcome>;
	/** Closes the connections to the address of a removed worker. */
	closeConnections(address: string): void;
}
