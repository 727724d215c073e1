import type { JobSpec, StepSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import { formatTaskName } from './taskName.js';
import type { JobTiming } from '../scheduling/stepUrgency.js';
import type { CrashEvidence } from '../workers/crashEvidence.js';
import type { AcceptedJob } from './journalEvent.js';
import { createStepTimeline, type StepTimeline } from './stepTimeline.js';

/** Phase of a run that may be executing. */
export type RunPhase =
	/** The start is being written to the journal or sent to the worker. */
	| 'starting'
	/** The worker has confirmed the start. */
	| 'running'
	/** A stop order was issued. */
	| 'stopping'
	/** A former leader or an earlier incarnation started the run, or the start was not answered. */
	| 'unsure';

/** Reason for which a run was stopped. */
export type StopReason = 'cancelled' | 'host-leaves' | 'copy-ended' | 'gang-broken' | 'stalled';

/** A run of a task that may be executing. It occupies resources until its end is proven. */
export interface TaskRun {
	readonly task: Task;
	/** Number of the run, increasing per task. */
	readonly run: number;
	/** Key of the worker incarnation, see `workerKey`. */
	readonly workerKey: string;
	/** Whether the run is a speculative copy beside another run of the task. */
	readonly isSpeculative: boolean;
	phase: RunPhase;
	/** Time of the decision to start the run; for runs of a former leader, time at which this leader read of it. */
	readonly decidedAt: number;
	/**
	 * Time on the worker's clock after which it refuses the start; 0 for runs of a former leader, whose starts are
	 * fenced.
	 */
	startByMs: number;
	/** Time on the worker's clock of the last answer that confirmed the run. */
	confirmedClockMs: number | undefined;
	/** Time at which the worker first confirmed the run. */
	confirmedAt: number | undefined;
	/** Time on the worker's clock of the first answer in this term that confirmed the run. */
	firstClockMs: number | undefined;
	/** Whether the incarnation to which the start was sent has listed the run in this term. */
	isListed: boolean;
	/** Whether the worker has still listed the run as running some time after that answer. */
	isEstablished: boolean;
	stopReason: StopReason | undefined;
	/** Whether an order that stops the run awaits its answer. */
	isStopOrderPending: boolean;
	/** Time on the worker's clock at which it answered a stop; `undefined` until then. */
	stoppedClockMs: number | undefined;
	/** Checkpoint from which the run was started; empty if none. */
	readonly startCheckpoint: string;
	/** Share of its full speed at which the run works, 0 to 100, as listed by the worker. */
	percent: number;
	load: number | undefined;
	/** Pace that the worker has confirmed, in percent; `undefined` while unknown. */
	pace: number | undefined;
	/** Whether an order that sets the pace awaits its answer. */
	isPaceOrderPending: boolean;
	/** What the loss of the worker says about the run; `undefined` while the worker exists, or if it went for a known reason. */
	crash: CrashEvidence | undefined;
	/** Progress listed last, and the time on the worker's clock at which it was first listed. */
	progress: { readonly percent: number; readonly clockMs: number } | undefined;
}

/** State of a task: waiting for a run, with at least one run, or completed. */
export type TaskState = 'waiting' | 'active' | 'done';

/** A task of a step. */
export interface Task {
	readonly name: string;
	readonly step: Step;
	readonly index: number;
	state: TaskState;
	/** Highest run number given to the task. */
	lastRun: number;
	/** Number of failed runs. */
	failures: number;
	/** Number of workers that were lost while they may have executed the task. */
	crashes: number;
	/** Number of different hosts whose workers are known to have crashed at its start; 0 once a run of the task was established. */
	provenCrashes: number;
	/** Number of lost workers on which the run was not established; 0 once a run of the task was. */
	startCrashes: number;
	/** Hosts of the workers that are known to have crashed at its start in this term, the latest last. */
	readonly crashHosts: string[];
	/** Latest known checkpoint; empty if there is none. */
	checkpoint: string;
	/** Runs that may be executing. */
	readonly runs: TaskRun[];
	/** Numbers of the last runs that were given up without their ends being known, the newest last. */
	readonly givenUpRuns: number[];
	/** Earliest time of the next start. */
	notBefore: number;
	/** Time at which the task last became ready to start. */
	readySince: number;
	/** Workers on which the task has recently failed or stalled, the latest last. */
	readonly failedWorkers: string[];
}

/** A step in one occurrence of a job. */
export interface Step {
	readonly occurrence: Occurrence;
	readonly number: number;
	readonly spec: StepSpec;
	readonly tasks: readonly Task[];
	/** Whether the occurrence is due and all steps that this one depends on have completed. */
	isOpen: boolean;
	/** Number of completed tasks. */
	doneCount: number;
	/** Number of tasks that wait for a run. */
	waitingCount: number;
	/** Highest run number given to any of the tasks; all members of a gang share one run number. */
	lastGangRun: number;
	/** Run number of the gang whose failure was counted last. */
	lastFailedGangRun: number;
	/** Run times of the tasks that completed without starting from a checkpoint, in milliseconds. */
	readonly runTimesMs: number[];
	/** Whether the run times were added to the duration statistics. */
	hasRecordedDurations: boolean;
	readonly timeline: StepTimeline;
}

/** One occurrence of a job's steps; a job that is not repeated has a single occurrence with number 0. */
export interface Occurrence {
	readonly job: Job;
	readonly number: number;
	/** Due time in milliseconds since 1970; 0 if due at once. */
	readonly dueAt: number;
	readonly steps: readonly Step[];
	/** Number of completed steps. */
	doneSteps: number;
}

/** State of a job within the engine. */
export type InternalJobState = 'open' | 'done' | 'failed' | 'cancelled';

/** A job with the state of its tasks. */
export interface Job {
	readonly accepted: AcceptedJob;
	readonly spec: JobSpec;
	/** Occurrences by number, created when they are due or when a journal record refers to them. */
	readonly occurrences: Map<number, Occurrence>;
	/** Number of completed occurrences. */
	doneOccurrences: number;
	/** Number of the first occurrence that is not due yet. */
	nextOccurrence: number;
	state: InternalJobState;
	/** Input of the step urgency, updated as the estimates of step durations improve. */
	timing: JobTiming;
	/** Whether a task of the job was ever started. */
	hasStarted: boolean;
	/** Number of runs of its tasks that may be executing. */
	activeRuns: number;
	/** Time at which the job ended, on this daemon's monotonic clock. */
	endedAt: number | undefined;
	/** Journal batch that holds the acceptance; 0 if the job was read from the journal. */
	acceptedBatch: number;
	/** Journal batch that holds the last change of state, which becomes visible once that batch is stored. */
	stateBatch: number;
	/** State reported to callers. */
	visibleState: InternalJobState;
	/** Offset of the newest journal record from which the job can be rebuilt. */
	snapshotOffset: number;
	/** Earliest time at which that record may have been written; see {@link RecordPlace}. */
	snapshotAt: number;
}

/** Place and age of the newest journal record from which a job can be rebuilt. */
export interface RecordPlace {
	readonly snapshotOffset: number;
	/**
	 * Earliest time at which the record may have been written; `-Infinity` for a record of an earlier leader, which counts as
	 * old, since its reader cannot tell how soon it expires.
	 */
	readonly snapshotAt: number;
}

/** Returns the total number of occurrences of a job. */
export function occurrenceCount(spec: JobSpec): number {
	return Math.max(1, spec.repeats);
}

/** Creates a run of which nothing is known but that it was decided on. @param now monotonic time in milliseconds */
export function createTaskRun(
	task: Task,
	run: number,
	workerKey: string,
	isSpeculative: boolean,
	now: number,
): TaskRun {
	return {
		task,
		run,
		workerKey,
		isSpeculative,
		phase: 'unsure',
		decidedAt: now,
		startByMs: 0,
		confirmedClockMs: undefined,
		confirmedAt: undefined,
		firstClockMs: undefined,
		isListed: false,
		isEstablished: false,
		stopReason: undefined,
		isStopOrderPending: false,
		stoppedClockMs: undefined,
		startCheckpoint: task.checkpoint,
		percent: 0,
		load: undefined,
		pace: undefined,
		isPaceOrderPending: false,
		crash: undefined,
		progress: undefined,
	};
}

/** Creates an occurrence whose tasks all wait. */
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
		timeline: createStepTimeline(),
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
			crashes: 0,
			provenCrashes: 0,
			startCrashes: 0,
			crashHosts: [],
			checkpoint: '',
			runs: [],
			givenUpRuns: [],
			notBefore: 0,
			readySince: 0,
			failedWorkers: [],
		});
	}
	return step;
}

/** Creates an open job without occurrences. @param record place of the journal record that holds the job */
export function createJob(accepted: AcceptedJob, timing: JobTiming, record: RecordPlace): Job {
	return {
		accepted,
		spec: accepted.spec,
		occurrences: new Map(),
		doneOccurrences: 0,
		nextOccurrence: 0,
		state: 'open',
		timing,
		hasStarted: false,
		activeRuns: 0,
		endedAt: undefined,
		acceptedBatch: 0,
		stateBatch: 0,
		visibleState: 'open',
		...record,
	};
}
