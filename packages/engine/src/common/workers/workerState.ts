import { noResources, type Resources } from '@chestnutwheel/ports/common/resources.js';
import type { WorkerEntry } from '@chestnutwheel/ports/common/workerService.js';
import type { TaskRun } from '../jobs/job.js';
import { workerKey } from './workerKey.js';

/** Whether the worker answers this leader. */
export type Reachability =
	/** Never asked, or never answered under this term. */
	'unknown' | 'answering' | 'silent';

/** A start of which an attempt was never answered, so that the worker may still carry it out. */
export interface UnansweredStart {
	readonly task: string;
	readonly runNumber: number;
	/** The worker does not carry it out after this time. */
	readonly expiresAt: number;
}

/** A start that an earlier life never answered. A stop in the new life keeps it from beginning there. */
export interface BlockedStart {
	readonly task: string;
	readonly runNumber: number;
	/** The run that waits for this; `undefined` when another attempt was answered. */
	readonly run: TaskRun | undefined;
	/** The order cannot be carried out after this time. */
	readonly expiresAt: number;
	/** Worker's clock when it answered the stop; `undefined` until then. */
	stoppedClockMs: number | undefined;
}

/** Everything that the leader knows of one life of a worker. */
export interface WorkerState {
	readonly key: string;
	readonly worker: string;
	readonly incarnation: number;
	/** The newest entry; `undefined` when only the journal names this life. */
	entry: WorkerEntry | undefined;
	/** Whether the store lists this life now. */
	isListed: boolean;
	/** When the entry went away; `undefined` while it is listed. */
	unlistedSince: number | undefined;
	/** Whether the same worker has started again since; this life is over. */
	hasEnded: boolean;
	reachability: Reachability;
	/** The newest reading of the worker's clock and when it arrived. */
	clock: { readonly clockMs: number; readonly readAt: number } | undefined;
	/** When everything that runs there is over, if nobody reaches the worker before. */
	leaseEndsBy: number;
	/** When a call to the worker succeeded last. */
	lastAnswerAt: number | undefined;
	/** When the last of its calls got no answer; `undefined` after an answer. */
	unreachableSince: number | undefined;
	/** Runs that may be at work, by {@link runKey}. */
	readonly runs: Map<string, TaskRun>;
	/** Runs at work there that no job accounts for, with what they may take; they are being stopped. */
	readonly orphanedRuns: Map<string, Resources>;
	/** What all runs there may take. */
	usedResources: Resources;
	/** Highest index of an end that was read. */
	lastReadEndIndex: number;
	/** Highest index of an end that may be acknowledged. */
	acknowledgedEndIndex: number;
	/** Starts ordered in an earlier life that got no answer and must not begin here, by run key. */
	readonly blockedStarts: Map<string, BlockedStart>;
	/** Starts of which an attempt got no answer. */
	unansweredStarts: readonly UnansweredStart[];
	/** New work is not placed there before this time. */
	avoidUntil: number;
	/** Host orders keep new work away. */
	isCordoned: boolean;
	/** Outcomes of runs, most recent last: true for a good one. */
	readonly outcomes: RunOutcome[];
}

/** How a run ended that its worker was free to end well or badly. */
export interface RunOutcome {
	readonly hasSucceeded: boolean;
	readonly endedAt: number;
	readonly job: string;
}

/** Key of a run on a worker. */
export function runKey(task: string, run: number): string {
	return `${task}#${run}`;
}

/** Creates the state of a life of which nothing is known yet. */
export function createWorkerState(worker: string, incarnation: number): WorkerState {
	return {
		key: workerKey(worker, incarnation),
		worker,
		incarnation,
		entry: undefined,
		isListed: false,
		unlistedSince: undefined,
		hasEnded: false,
		reachability: 'unknown',
		clock: undefined,
		leaseEndsBy: 0,
		lastAnswerAt: undefined,
		unreachableSince: undefined,
		runs: new Map(),
		orphanedRuns: new Map(),
		usedResources: noResources,
		lastReadEndIndex: 0,
		acknowledgedEndIndex: 0,
		blockedStarts: new Map(),
		unansweredStarts: [],
		avoidUntil: 0,
		isCordoned: false,
		outcomes: [],
	};
}
