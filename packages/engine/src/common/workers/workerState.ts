import { noResources, type Resources } from '@chestnutwheel/ports/common/resources.js';
import type { WorkerEntry } from '@chestnutwheel/ports/common/workerService.js';
import type { TaskRun } from '../jobs/job.js';
import type { CrashTrial } from '../scheduling/crashTrial.js';
import { workerKey } from './workerKey.js';

/** Whether the worker answers the calls of this leader. */
export type Reachability =
	/** The worker has not been polled, or has not answered yet, in this term. */
	'unknown' | 'answering' | 'silent';

/** A start with an unanswered attempt, which the worker may still execute. */
export interface UnansweredStart {
	readonly task: string;
	readonly runNumber: number;
	/** Time after which the worker no longer executes the start. */
	readonly expiresAt: number;
}

/**
 * A start that was sent to an earlier incarnation and that the current one may have executed, until it answers to its own fencing
 * token.
 */
export interface BlockedStart {
	readonly task: string;
	readonly runNumber: number;
	/** The run that stays open until the start is ruled out; `undefined` if it is over. */
	readonly run: TaskRun | undefined;
	/** Time after which the run is over, if the start was executed. */
	readonly expiresAt: number;
}

/** Calls to an incarnation whose effects may outlast them, since a later incarnation may execute them too. */
export interface SentCalls {
	/** Time of the last call that may extend a lease. */
	readonly lastLeaseAt: number;
	/** Latest expiry that was requested, on the clock of the incarnation to which the calls were sent. */
	readonly leaseUntilMs: number;
	/** Highest index of a run end that was acknowledged. */
	readonly acknowledged: number;
}

/** The leader's view of one incarnation of a worker. */
export interface WorkerState {
	readonly key: string;
	readonly worker: string;
	readonly incarnation: number;
	/** Newest entry in the store as its writer claims it; `undefined` if only the journal names this incarnation. */
	claimedEntry: WorkerEntry | undefined;
	/** That entry, corrected by what is known for certain of the worker. */
	entry: WorkerEntry | undefined;
	/**
	 * Whether the entry is that of a former incarnation, because this one has written none that was read. Its address holds, while
	 * its pool, labels and resources may have changed.
	 */
	isEntryInherited: boolean;
	/** Whether the store currently lists this incarnation. */
	isListed: boolean;
	/** Time since which the entry cannot be decoded; `undefined` while it can. */
	unreadableSince: number | undefined;
	/** Time when the entry disappeared from the store; `undefined` while it is listed. */
	unlistedSince: number | undefined;
	/** Whether this incarnation is over, for instance because the worker has restarted. */
	hasEnded: boolean;
	reachability: Reachability;
	/** Newest reading of the worker's clock and the local time of its arrival. */
	clock: { readonly clockMs: number; readonly readAt: number } | undefined;
	/** Fencing token of the calls to this incarnation; `undefined` until the worker has confirmed it. */
	fencingToken: number | undefined;
	/** Fencing token of the newest poll. */
	polledWithToken: number | undefined;
	/**
	 * Worker's clock in its first answer to a poll with that token. From then on it refuses calls of earlier terms and calls that
	 * were meant for other incarnations.
	 */
	fencedClockMs: number | undefined;
	/** Whether calls of this term to another incarnation may have reached this one before it was fenced. */
	replacesFormer: boolean;
	/** Whether a former leader has started runs on this incarnation. */
	hasInheritedRuns: boolean;
	/** Time by which the leases have expired for which the calls to this incarnation have asked. */
	leaseEndsBy: number;
	/** Calls sent to the incarnation in this term that a later one may execute; `undefined` while there is none. */
	sentCalls: SentCalls | undefined;
	/** Time at which the newest list of the worker's runs arrived. Other answers say nothing about the runs. */
	lastListedAt: number | undefined;
	/** Worker's clock in that list. */
	lastListedClockMs: number | undefined;
	/** Time of the first unanswered call since the last answer; `undefined` after an answer. */
	unreachableSince: number | undefined;
	/** Runs that may be running on the worker, by {@link runKey}. */
	readonly runs: Map<string, TaskRun>;
	/** Resources of orphaned runs, which belong to no known job and are being stopped, by run key. */
	readonly orphanedRuns: Map<string, Resources>;
	/** Resources that all runs on the worker may use, including orphaned ones. */
	usedResources: Resources;
	/** Highest index of a run end that has been read. */
	lastReadEndIndex: number;
	/** Highest index of a run end that may be acknowledged, because it is stored in the journal. */
	acknowledgedEndIndex: number;
	/** Highest index up to which the worker has forgotten its run ends. */
	forgottenEndIndex: number;
	/** Starts that were sent to earlier incarnations and that this one may have executed, by run key. */
	readonly blockedStarts: Map<string, BlockedStart>;
	/** Starts with an unanswered attempt. */
	unansweredStarts: readonly UnansweredStart[];
	/** Time until which the worker is slow, because it has just started. */
	warmUntil: number;
	/** Time before which no new work is placed on the worker. */
	avoidUntil: number;
	/** Whether the loss of the worker has been counted since its last answer. */
	isLossRecorded: boolean;
	/** Runs that were given up when their lease ran out, while it is not known whether the worker has crashed. */
	lostRuns: readonly TaskRun[];
	/** The last run that was started here to find out whether its task crashes its workers. */
	trial: CrashTrial | undefined;
	/** Recent outcomes of runs, newest last. */
	readonly outcomes: RunOutcome[];
}

/** Outcome of a run that ended by itself, in success or failure. */
export interface RunOutcome {
	readonly hasSucceeded: boolean;
	readonly endedAt: number;
	readonly job: string;
}

/** Builds the key of a run on a worker. */
export function runKey(task: string, run: number): string {
	return `${task}#${run}`;
}

/** Creates the state of an incarnation about which nothing is known yet. */
export function createWorkerState(worker: string, incarnation: number): WorkerState {
	return {
		key: workerKey(worker, incarnation),
		worker,
		incarnation,
		claimedEntry: undefined,
		entry: undefined,
		isEntryInherited: false,
		isListed: false,
		unreadableSince: undefined,
		unlistedSince: undefined,
		hasEnded: false,
		reachability: 'unknown',
		clock: undefined,
		fencingToken: undefined,
		polledWithToken: undefined,
		fencedClockMs: undefined,
		replacesFormer: false,
		hasInheritedRuns: false,
		leaseEndsBy: 0,
		sentCalls: undefined,
		lastListedAt: undefined,
		lastListedClockMs: undefined,
		unreachableSince: undefined,
		runs: new Map(),
		orphanedRuns: new Map(),
		usedResources: noResources,
		lastReadEndIndex: 0,
		acknowledgedEndIndex: 0,
		forgottenEndIndex: 0,
		blockedStarts: new Map(),
		unansweredStarts: [],
		warmUntil: 0,
		avoidUntil: 0,
		isLossRecorded: false,
		lostRuns: [],
		trial: undefined,
		outcomes: [],
	};
}

/** Records a call that may extend the leases on a worker. @param leaseUntilMs expiry on the clock of the incarnation */
export function recordSentLease(state: WorkerState, leaseUntilMs: number, now: number): void {
	const { sentCalls } = state;
	state.sentCalls = {
		lastLeaseAt: now,
		leaseUntilMs: Math.max(leaseUntilMs, sentCalls?.leaseUntilMs ?? 0),
		acknowledged: sentCalls?.acknowledged ?? 0,
	};
}

/**
 * Whether the incarnation has answered to its own fencing token, so that no call that was meant for another one reaches it any
 * more. No work is given to it, and no lease is extended, before.
 */
export function isFenced({ fencedClockMs }: WorkerState): boolean {
	return fencedClockMs !== undefined;
}
