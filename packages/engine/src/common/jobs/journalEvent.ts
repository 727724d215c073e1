import type { JobSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import type { RunEnd } from '@chestnutwheel/ports/common/workerService.js';

/** The rules of a job's queue when it was accepted; they hold on if the queue is removed. */
export interface QueuePolicy {
	readonly pool: string;
	readonly priority: number;
	readonly attempts: number;
	readonly objectiveFactor: number;
	readonly objectiveMs: number;
}

/** A job as it was accepted. */
export interface AcceptedJob {
	readonly id: string;
	readonly queue: string;
	readonly terms: QueuePolicy;
	/** `undefined` for a job of an open queue. */
	readonly team: string | undefined;
	/** Wall clock of the daemon that took the first call for the job, in milliseconds since 1970. */
	readonly acceptedAt: number;
	readonly spec: JobSpec;
}

/** The start of one run: task, run, worker, life of the worker, and whether it is a copy beside another run. */
export type StartedRun = readonly [task: string, run: number, worker: string, life: number, isCopy: boolean];

/** The end of one run: task, run, how it ended, and its last checkpoint. */
export type EndedRun = readonly [task: string, run: number, end: RunEnd, checkpoint: string];

/** One run that is over without a known end: task and run. */
export type DroppedRun = readonly [task: string, run: number];

/** One task in a rewritten job: place, last run, failures, checkpoint, and `1` when it has ended well. */
export type TaskSnapshot = readonly [
	occurrence: number,
	step: number,
	index: number,
	lastRun: number,
	failures: number,
	checkpoint: string,
	isDone: 0 | 1,
];

/** A job that has ended and of which only the state is asked for. */
export type ClosedJob = readonly [
	job: string,
	queue: string,
	/** Empty for a job of an open queue. */
	team: string,
	state: 'done' | 'failed' | 'cancelled',
	acceptedAt: number,
];

/** What the runs of one queue have taught about how long its steps take; see `durations.ts`. */
export interface QueueStatistics {
	readonly queue: string;
	readonly logActual: number;
	readonly logEstimate: number;
	readonly estimateVariance: number;
	readonly covariance: number;
	readonly spreadVariance: number;
	readonly steps: number;
}

/** What is ordered for a host. */
export type HostAction =
	{ readonly type: 'move'; readonly pool: string } | { readonly type: 'upkeep'; readonly wave: number };

/** An order to a host of which it is not known that it is over. */
export interface PendingHostOrder {
	readonly host: string;
	readonly action: HostAction;
	/** Term of the leader that ordered it. */
	readonly term: number;
	/** Wall clock of that leader, in milliseconds since 1970. */
	readonly orderedAt: number;
}

/** When a host was ordered about last, by which term. */
export type LastHostOrder = readonly [host: string, term: number, wallAt: number];

/** How far a wave of upkeep is. */
export interface WaveProgress {
	readonly wave: number;
	/** Hosts that had their upkeep or are gone. */
	readonly settled: readonly string[];
}

/**
 * What the journal holds. A reader applies the events in order and ignores those of jobs that it does not know: their
 * first record has expired, and a later `rewritten` holds what is still needed.
 */
export type JournalEvent = JobEvent | HostEvent;

/** Events about orders to hosts. */
export type HostEvent =
	/** Written before the order is sent. */
	| { readonly type: 'host-ordered'; readonly order: PendingHostOrder }
	/** The order is over; a host of a wave is settled when it is done. */
	| {
			readonly type: 'host-settled';
			readonly host: string;
			readonly action: HostAction;
			readonly isDone: boolean;
			readonly last: LastHostOrder | undefined;
	  }
	/** All that is known of orders to hosts, when its records grow old. */
	| {
			readonly type: 'hosts-rewritten';
			readonly orders: readonly PendingHostOrder[];
			readonly waves: readonly WaveProgress[];
			readonly last: readonly LastHostOrder[];
	  };

/** Events about jobs and terms. */
export type JobEvent =
	/**
	 * A term has begun. Its leader extends leases by at most `leaseMs`, and stops to do so `validMs` after it was last sure
	 * to lead.
	 */
	| {
			readonly type: 'term';
			readonly term: number;
			readonly holder: string;
			readonly leaseMs: number;
			readonly validMs: number;
	  }
	/** No leader before this term extends leases any more. */
	| { readonly type: 'settled'; readonly term: number }
	| { readonly type: 'accepted'; readonly job: AcceptedJob }
	| { readonly type: 'started'; readonly runs: readonly StartedRun[] }
	| { readonly type: 'ended'; readonly runs: readonly EndedRun[] }
	/** Runs that are surely not at work and whose end nobody has seen. */
	| { readonly type: 'dropped'; readonly runs: readonly DroppedRun[] }
	| { readonly type: 'cancelled'; readonly job: string }
	/** A task of the job has failed as often as its queue allows. */
	| { readonly type: 'failed'; readonly job: string }
	/** The state of the job need not be answered any longer. */
	| { readonly type: 'forgotten'; readonly jobs: readonly string[] }
	/** Jobs that have ended, written again without their steps so that the records before need not be read. */
	| { readonly type: 'closed'; readonly jobs: readonly ClosedJob[] }
	/** What was learned about the queues so far. */
	| { readonly type: 'learned'; readonly queues: readonly QueueStatistics[] }
	/** The whole state of a job, so that the records before need not be read. */
	| {
			readonly type: 'rewritten';
			readonly job: AcceptedJob;
			readonly state: 'open' | 'done' | 'failed' | 'cancelled';
			readonly tasks: readonly TaskSnapshot[];
			readonly active: readonly StartedRun[];
	  };

const hostEventTypes: ReadonlySet<JournalEvent['type']> = new Set<HostEvent['type']>([
	'host-ordered',
	'host-settled',
	'hosts-rewritten',
]);

/** Whether an event is about hosts. */
export function isHostEvent(event: JournalEvent): event is HostEvent {
	return hostEventTypes.has(event.type);
}

/** How much a reader has to do for an event: the jobs, runs and tasks that it names. */
export function eventWeight(event: JournalEvent): number {
	return 'runs' in event ? event.runs.length : 1;
}
