import type { JobSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import type { RunEnd } from '@chestnutwheel/ports/common/workerService.js';

/** Policy of a queue, stored with each accepted job; the stored policy applies if the queue is removed. */
export interface QueuePolicy {
	readonly pool: string;
	readonly priority: number;
	readonly attempts: number;
	readonly objectiveFactor: number;
	readonly objectiveMs: number;
}

/** An accepted job. */
export interface AcceptedJob {
	readonly id: string;
	readonly queue: string;
	readonly terms: QueuePolicy;
	/** `undefined` for a job of an open queue. */
	readonly team: string | undefined;
	/** Wall-clock time of the daemon that received the first request for the job, in milliseconds since 1970. */
	readonly acceptedAt: number;
	readonly spec: JobSpec;
}

/** The start of a run: task, run number, worker, worker incarnation, and whether the run is a speculative copy. */
export type StartedRun = readonly [
	task: string,
	run: number,
	worker: string,
	incarnation: number,
	isSpeculative: boolean,
];

/** The end of a run: task, run number, kind of end, and last checkpoint, empty if none. */
export type EndedRun = readonly [task: string, run: number, end: RunEnd, checkpoint: string];

/** Phase of a run in which its worker was lost: before the run was established, or later. */
export type CrashPhase = 'start' | 'work';

/**
 * A run removed without a known end: task and run number; if it may have crashed its worker, its phase, and `1` if the worker
 * is known to have crashed while it executed the run. A second record of a run adds that knowledge.
 */
export type DroppedRun = readonly [task: string, run: number, crash?: CrashPhase, isProven?: 0 | 1];

/** State of a task in a rewritten job; `isDone` is `1` if the task has completed. */
export type TaskSnapshot = readonly [
	occurrence: number,
	step: number,
	index: number,
	lastRun: number,
	failures: number,
	checkpoint: string,
	isDone: 0 | 1,
	/** Missing in records of earlier versions. */
	crashes?: number,
	provenCrashes?: number,
	startCrashes?: number,
	/** Run of the task's gang whose failure was counted last; missing if there is none, or the task is no member of a gang. */
	lastFailedGangRun?: number,
	/** Runs that were given up without their ends being known; missing if there are none. */
	givenUpRuns?: readonly number[],
];

/** Compact record of an ended job, of which only the state can still be requested. */
export type ClosedJob = readonly [
	job: string,
	queue: string,
	/** Empty for a job of an open queue. */
	team: string,
	state: 'done' | 'failed' | 'cancelled',
	acceptedAt: number,
];

/**
 * A cancel of a job that its leader did not know, and the time in milliseconds for which a reader of the record remembers it.
 * The time begins when the record is read, since a successor cannot tell how long ago it was written.
 */
export type EarlyCancel = readonly [
	job: string,
	/** Empty for a caller of an open queue. */
	team: string,
	keptMs: number,
];

/** Duration statistics of a queue, on the logarithmic scale; see `durationEstimator.ts`. */
export interface QueueStatistics {
	readonly queue: string;
	readonly logActual: number;
	readonly logEstimate: number;
	readonly estimateVariance: number;
	readonly covariance: number;
	readonly spreadVariance: number;
	readonly steps: number;
}

/** Form of the peaks of a pool: offset in the period and length in milliseconds, and the resources kept busy. */
export type TurnShape = readonly [
	pool: string,
	offsetMs: number,
	lengthMs: number,
	milliCores: number,
	memoryMb: number,
	accelerators: number,
];

/** Pattern of the peaks of all pools. Its phase is not stored, since the clocks of two leaders differ. */
export interface StoredTurns {
	/** 0 if no pattern is known any more. */
	readonly periodMs: number;
	readonly turns: readonly TurnShape[];
}

/** Action ordered for a host: a move to another pool, or maintenance in a wave. */
export type HostAction =
	{ readonly type: 'move'; readonly pool: string } | { readonly type: 'upkeep'; readonly wave: number };

/** An order to a host that is not known to be complete. */
export interface PendingHostOrder {
	readonly host: string;
	readonly action: HostAction;
	/** Term of the leader that issued the order. */
	readonly term: number;
	/** Wall-clock time of that leader, in milliseconds since 1970. */
	readonly orderedAt: number;
	/** Present if the host service has accepted the order. Missing in records of earlier versions. */
	readonly acceptance?: HostOrderAcceptance | undefined;
}

/** Acceptance of an order by the host service, which takes the host down, or did so for the same order before. */
export interface HostOrderAcceptance {
	/** Key of the worker incarnation that the order was to end; absent if none was known. */
	readonly worker?: string | undefined;
	/**
	 * As `worker`, in records of earlier versions, which took the acceptance as proof of the end. Not written, since their leaders
	 * still read it so.
	 */
	readonly endedWorker?: string | undefined;
}

/** The last order to a host: host, term, and wall-clock time in milliseconds since 1970. */
export type LastHostOrder = readonly [host: string, term: number, wallAt: number];

/** Progress of a maintenance wave. */
export interface WaveProgress {
	readonly wave: number;
	/** Hosts that completed maintenance or no longer exist. */
	readonly settled: readonly string[];
}

/**
 * An event of the journal. A reader applies the events in order and ignores events of unknown jobs: the first record of
 * such a job has expired, and a later `rewritten` event holds the state that is still needed.
 */
export type JournalEvent = JobEvent | JobStatePart | HostEvent;

/**
 * Part of the rewritten state of a job that does not fit into one record. The parts follow one another, from 0 on. Leaders of
 * versions that lack this event skip it and count it as unreadable.
 */
export interface JobStatePart {
	readonly type: 'rewritten-part';
	readonly job: string;
	/** Identity of the state, the same in all its parts. */
	readonly stateId: string;
	readonly part: number;
	/** Number of the parts of this state. */
	readonly parts: number;
	/** The job itself, in part 0. */
	readonly head?: { readonly job: AcceptedJob; readonly state: 'open' | 'done' | 'failed' | 'cancelled' };
	readonly tasks: readonly TaskSnapshot[];
	readonly active: readonly StartedRun[];
}

/** Events about orders to hosts. */
export type HostEvent =
	/** An order was issued; the event is stored before the order is sent. */
	| { readonly type: 'host-ordered'; readonly order: PendingHostOrder }
	/** The host service has accepted an order, which need not be repeated. */
	| {
			readonly type: 'host-accepted';
			readonly host: string;
			readonly acceptance: HostOrderAcceptance;
			readonly last: LastHostOrder;
	  }
	/** An order is complete; a host counts as settled in its wave if `isDone` is set. */
	| {
			readonly type: 'host-settled';
			readonly host: string;
			readonly action: HostAction;
			readonly isDone: boolean;
			readonly last: LastHostOrder | undefined;
	  }
	/** The whole state of host orders, rewritten before its older records expire. */
	| {
			readonly type: 'hosts-rewritten';
			readonly orders: readonly PendingHostOrder[];
			readonly waves: readonly WaveProgress[];
			readonly last: readonly LastHostOrder[];
	  };

/** Events about jobs and terms. */
export type JobEvent =
	/**
	 * A term has begun. Its leader extends leases by at most `leaseMs`, and stops extending them `validMs` after its
	 * leadership was last confirmed.
	 */
	| {
			readonly type: 'term';
			readonly term: number;
			readonly holder: string;
			readonly leaseMs: number;
			readonly validMs: number;
			/** Present if a leader of an earlier term might still be active. Missing in records of earlier versions. */
			readonly isUnsettled?: boolean;
			/** Whether all leaders that the record covers record `long-leases`. Missing in records of earlier versions. */
			readonly recordsLongLeases?: boolean;
	  }
	/**
	 * Runs were started on workers, named by their keys, whose lease may be longer than `leaseMs` of the term, up to the longest
	 * that workers grant. Leaders of versions that lack this event skip it and count it as unreadable.
	 */
	| { readonly type: 'long-leases'; readonly workers: readonly string[] }
	/** No leader of an earlier term extends leases any more. */
	| { readonly type: 'settled'; readonly term: number }
	| { readonly type: 'accepted'; readonly job: AcceptedJob }
	| { readonly type: 'started'; readonly runs: readonly StartedRun[] }
	| { readonly type: 'ended'; readonly runs: readonly EndedRun[] }
	/** Runs that are proven not to execute and whose end is unknown. */
	| { readonly type: 'dropped'; readonly runs: readonly DroppedRun[] }
	| { readonly type: 'cancelled'; readonly job: string }
	/**
	 * Jobs were cancelled that their leader did not know or had not stored; submissions that arrive later are cancelled. Leaders
	 * of versions that lack this event skip it and count it as unreadable; they start such a job.
	 */
	| { readonly type: 'cancelled-early'; readonly cancels: readonly EarlyCancel[] }
	/** A task of the job has used up the attempts that its queue allows, or crashes the workers that start it. */
	| { readonly type: 'failed'; readonly job: string }
	/** The retention period of the job states has expired. */
	| { readonly type: 'forgotten'; readonly jobs: readonly string[] }
	/** Ended jobs, rewritten without their steps so that their earlier records need not be read. */
	| { readonly type: 'closed'; readonly jobs: readonly ClosedJob[] }
	/** Duration statistics of all queues. */
	| { readonly type: 'learned'; readonly queues: readonly QueueStatistics[] }
	/**
	 * The pattern by which the demand of pools rises and falls, when it became known or was forgotten, and in each compaction.
	 * Leaders of versions that lack this event skip it and count it as unreadable; they forecast no peaks.
	 */
	| { readonly type: 'turns'; readonly pattern: StoredTurns }
	/** The whole state of a job, rewritten so that its earlier records need not be read. */
	| {
			readonly type: 'rewritten';
			readonly job: AcceptedJob;
			readonly state: 'open' | 'done' | 'failed' | 'cancelled';
			readonly tasks: readonly TaskSnapshot[];
			readonly active: readonly StartedRun[];
	  };

const hostEventTypes: ReadonlySet<JournalEvent['type']> = new Set<HostEvent['type']>([
	'host-ordered',
	'host-accepted',
	'host-settled',
	'hosts-rewritten',
]);

/** Whether an event concerns host orders. */
export function isHostEvent(event: JournalEvent): event is HostEvent {
	return hostEventTypes.has(event.type);
}

/** Returns the cost of reading an event: the number of runs that it holds, otherwise 1. */
export function eventWeight(event: JournalEvent): number {
	return 'runs' in event ? event.runs.length : 1;
}
