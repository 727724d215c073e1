import type { Resources } from './resources.js';

/** What a worker's entry in the store says. */
export interface WorkerEntry {
	readonly worker: string;
	/** The host that the worker is one life of; empty when the entry does not say. */
	readonly host: string;
	/** Start of this life of the worker, in milliseconds since 1970; tells lives apart. */
	readonly incarnation: number;
	readonly pool: string;
	/** `IP:port` */
	readonly address: string;
	readonly dataCentre: string;
	readonly isDraining: boolean;
	/** Least time until a draining worker leaves, in milliseconds. */
	readonly remainingMs: number | undefined;
	/** How much longer the worker is slow after its start, in milliseconds. */
	readonly warmUpRemainingMs: number;
	readonly resources: Resources;
	/** What the worker offers, such as its kind. */
	readonly labels: readonly string[];
	/** Hosts of one rack fail together. */
	readonly rack: string;
}

/** One run of a task, as its worker knows it. */
export interface RunId {
	/** Name of the task, unique over all jobs. */
	readonly task: string;
	/** Number of the start; rises with each start of the task. */
	readonly run: number;
}

/** A run at work. */
export interface ListedRun extends RunId {
	/** Last checkpoint; empty when there is none. */
	readonly checkpoint: string;
	/** Share at which it works, 0 to 100; below 100 while it starts or is paced. */
	readonly percent: number;
	/** Tail of the response times in milliseconds for a task that serves, processor use in thousandths else. */
	readonly load: number | undefined;
}

/** How a run ended. */
export type RunEnd =
	| 'done'
	/** By its own fault or the worker's. */
	| 'failed'
	| 'stopped'
	/** The worker's lease ran out. */
	| 'lapsed'
	/** Another member of the gang ended. */
	| 'broken'
	/** The other members of the gang did not come in time. */
	| 'alone';

/** A run that has ended and whose end was not acknowledged yet. */
export interface ListedEnd extends RunId {
	/** Rises by one with each end in one life of the worker. */
	readonly index: number;
	readonly end: RunEnd;
	readonly checkpoint: string;
}

/** What a worker lists about itself. */
export interface WorkerListing {
	readonly incarnation: number;
	/** The worker's steady clock when it answered, in milliseconds. */
	readonly clockMs: number;
	readonly running: readonly ListedRun[];
	readonly ended: readonly ListedEnd[];
}

/** Names a worker in a call. */
export interface WorkerAddress {
	readonly worker: string;
	readonly address: string;
}

/** Parameters of a look at a worker. */
export interface PollRequest {
	readonly fencingToken: number;
	/** Ends up to this index are recorded and may be forgotten. */
	readonly acknowledged: number;
	/** Time on the worker's clock until which everything that runs there may go on. */
	readonly leaseUntilMs: number | undefined;
	/** Longest time to wait for an end, in milliseconds. */
	readonly waitMs: number;
}

/** How a call to a worker failed: `other-worker` when another instance answers at the address. */
export type WorkerCallFailure =
	| { readonly type: 'refused'; readonly reason: string }
	| { readonly type: 'other-worker' }
	| { readonly type: 'silent'; readonly reason: string };

/** How a look ended. */
export type PollOutcome = { readonly type: 'listed'; readonly listing: WorkerListing } | WorkerCallFailure;

/** An order to start one run. */
export interface StartOrder extends RunId {
	readonly fencingToken: number;
	readonly payload: string;
	/** Time on the worker's clock after which the start is refused. */
	readonly startByMs: number;
	readonly checkpoint: string;
	readonly ticket: string | undefined;
}

/** Why a worker did not start a run. Each value proves that this order started nothing. */
export type StartRefusal =
	'fenced' | 'old-run' | 'late' | 'no-room' | 'ticket' | 'unknown-task' | 'unhealthy' | 'unreachable';

/** How a start ended; `silent` leaves open whether it has run or will. */
export type StartOutcome =
	| { readonly type: 'started'; readonly clockMs: number }
	| { readonly type: 'not-started'; readonly reason: StartRefusal; readonly clockMs: number | undefined }
	| { readonly type: 'other-worker' }
	| { readonly type: 'silent'; readonly reason: string };

/** How a stop or a change of pace ended. */
export type WorkerOrderOutcome = { readonly type: 'done'; readonly clockMs: number } | WorkerCallFailure;

/** The workers of the fleet. Calls never reject. */
export interface WorkerService {
	poll(worker: WorkerAddress, request: PollRequest, signal: AbortSignal): Promise<PollOutcome>;
	start(worker: WorkerAddress, order: StartOrder, signal: AbortSignal): Promise<StartOutcome>;
	stop(worker: WorkerAddress, run: RunId, fence: number, signal: AbortSignal): Promise<WorkerOrderOutcome>;
	/** Lets a run work at a share of its speed. @param percent 0 to 100 */
	pace(
		worker: WorkerAddress,
		run: RunId,
		percent: number,
		fence: number,
		signal: AbortSignal,
	): Promise<WorkerOrderOutcome>;
	/** Closes the connections to a worker that is gone. */
	closeConnections(address: string): void;
}
