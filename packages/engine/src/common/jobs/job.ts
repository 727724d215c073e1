import type { JobSpec, StepSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import { formatTaskName } from './taskName.js';
import type { JobTiming } from '../scheduling/stepUrgency.js';
import type { AcceptedJob } from './journalEvent.js';

/** What is known of a run that may be at work. */
export type RunPhase =
	/** The start is being written to the journal or is on its way to the worker. */
	| 'starting'
	/** The worker has confirmed it. */
	| 'running'
	/** A stop was ordered. */
	| 'stopping'
	/** A predecessor or an earlier life started it, or its start got no answer. */
	| 'unsure';

/** Why a run was stopped. */
export type StopReason = 'cancelled' | 'host-leaves' | 'copy-ended' | 'gang-broken' | 'stalled';

/** One run of a task that may be at work. It takes room until its end is proved. */
export interface TaskRun {
	readonly task: Task;
	readonly run: number;
	/** Key of the life of the worker, see `workerKey`. */
	readonly workerKey: string;
	readonly isSpeculative: boolean;
	phase: RunPhase;
	/** When the start was decided; for runs of a predecessor, when this leader learned of it. */
	readonly decidedAt: number;
	/** Worker's clock after which the worker refuses the start; 0 for runs of a predecessor, whose starts are fenced off. */
	startByMs: number;
	/** Worker's clock of the last answer that confirmed the run. */
	confirmedClockMs: number | undefined;
	/** When the worker first confirmed it. */
	confirmedAt: number | undefined;
	stopReason: StopReason | undefined;
	/** Checkpoint that the start carried. */
	readonly startCheckpoint: string;
	/** Share at which the run works, as the worker lists it. */
	percent: number;
	load: number | undefined;
	/** Pace that the worker has confirmed, in percent; `undefined` while that is not known. */
	pace: number | undefined;
	/** Whether an order on the pace is on its way. */
	isPaceOrderPending: boolean;
	/** Progress that was listed last, and the worker's clock when it was listed first. */
	progress: { readonly percent: number; readonly clockMs: number } | undefined;
}

export type TaskState = 'waiting' | 'active' | 'done';

/** One task of a step. */
export interface Task {
	readonly name: string;
	readonly step: Step;
	readonly index: number;
	state: TaskState;
	lastRun: number;
	failures: number;
	/** Last checkpoint known; empty when there is none. */
	checkpoint: string;
	readonly runs: TaskRun[];
	/** Not started again before this time. */
	notBefore: number;
	/** When the task last became ready to start. */
	readySince: number;
	/** Workers on which the task has failed, most recent last. */
	readonly failedWorkers: string[];
}

/** One step in one repetition. */
export interface Step {
	readonly occurrence: Occurrence;
	readonly number: number;
	readonly spec: StepSpec;
	readonly tasks: readonly Task[];
	/** Whether all steps before it have ended well and its time has come. */
	isOpen: boolean;
	doneCount: number;
	waitingCount: number;
	/** Highest run number given to any of the tasks; a gang starts with one number for all. */
	lastGangRun: number;
	/** Run of the gang whose failure was counted last. */
	lastFailedGangRun: number;
	/** Times at work of the tasks that ended well and began anew, in milliseconds. */
	readonly runTimesMs: number[];
	/** Whether the times have been learned from. */
	hasRecordedDurations: boolean;
}

/** One repetition of a job's steps; the only one of a job that is not repeated has number 0. */
export interface Occurrence {
	readonly job: Job;
	readonly number: number;
	/** When it is due, in milliseconds since 1970; 0 for at once. */
	readonly dueAt: number;
	readonly steps: readonly Step[];
	doneSteps: number;
}

/** State of a job inside the engine. */
export type InternalJobState = 'open' | 'done' | 'failed' | 'cancelled';

/** A job and everything known of its tasks. */
export interface Job {
	readonly accepted: AcceptedJob;
	readonly spec: JobSpec;
	/** Made when they are due or when a record names them. */
	readonly occurrences: Map<number, Occurrence>;
	doneOccurrences: number;
	/** Number of the first repetition that has not been due yet. */
	nextOccurrence: number;
	state: InternalJobState;
	/** What the order of work needs; worked out again while more becomes known of how long its steps take. */
	timing: JobTiming;
	/** Whether any of its tasks has been started. */
	hasStarted: boolean;
	/** Runs of its tasks that may be at work. */
	activeRuns: number;
	/** When the job ended, on this daemon's monotonic clock. */
	endedAt: number | undefined;
	/** Batch of the journal that holds its acceptance; 0 when it was read from the journal. */
	acceptedBatch: number;
	/** Batch of the journal that holds the job's last change of state; states are shown only when it is stored. */
	stateBatch: number;
	/** State that callers see. */
	visibleState: InternalJobState;
	/** Offset of the newest record from which the job can be rebuilt, and when it was written or read. */
	snapshotOffset: number;
	snapshotAt: number;
}

/** How many repetitions a job has in all. */
export function occurrenceCount(spec: JobSpec): number {
	return Math.max(1, spec.repeats);
}

/** Creates one repetition with all tasks waiting. */
export function createOccurrence(job: Job, number: number): Occurrence {
	const { spec } = job;
	const steps: Step[] = [];
	const occurrence: Occurrence = {
		job,
		number,
		dueAt: spec.repeats > 0 ? spec.firstDueAt + number * spec.intervalMs : 0,
		steps,
		doneSteps: 0,
	};
	spec.steps.forEach((stepSpec, stepNumber) => steps.push(createStep(occurrence, stepNumber, stepSpec)));
	return occurrence;
}

function createStep(occurrence: Occurrence, number: number, spec: StepSpec): Step {
	const tasks: Task[] = [];
	const step: Step = {
		occurrence,
		number,
		spec,
		tasks,
		isOpen: false,
		doneCount: 0,
		waitingCount: spec.count,
		lastGangRun: 0,
		lastFailedGangRun: 0,
		runTimesMs: [],
		hasRecordedDurations: false,
	};
	for (let index = 0; index < spec.count; index++) {
		const path = { job: occurrence.job.accepted.id, occurrence: occurrence.number, step: number, index };
		tasks.push({
			name: formatTaskName(path),
			step,
			index,
			state: 'waiting',
			lastRun: 0,
			failures: 0,
			checkpoint: '',
			runs: [],
			notBefore: 0,
			readySince: 0,
			failedWorkers: [],
		});
	}
	return step;
}

/** Creates a job that was just accepted. */
export function createJob(accepted: AcceptedJob, times: JobTiming, baseOffset: number, now: number): Job {
	return {
		accepted,
		spec: accepted.spec,
		occurrences: new Map(),
		doneOccurrences: 0,
		nextOccurrence: 0,
		state: 'open',
		timing: times,
		hasStarted: false,
		activeRuns: 0,
		endedAt: undefined,
		acceptedBatch: 0,
		stateBatch: 0,
		visibleState: 'open',
		snapshotOffset: baseOffset,
		snapshotAt: now,
	};
}
