import type { Resources } from './resources.js';

/** One step of a job: a set of identical tasks. */
export interface StepSpec {
	/** Number of tasks. */
	readonly count: number;
	/** Resources that one task takes on its worker. */
	readonly demand: Resources;
	/** Rough estimate of the run time of a task, in milliseconds; 0 when unknown. */
	readonly estimateMs: number;
	/** Numbers of the earlier steps that this step depends on: all their tasks must have succeeded. */
	readonly after: readonly number[];
	/** Whether the tasks write checkpoints. */
	readonly savesProgress: boolean;
	/** Whether the tasks are gang-scheduled: they make progress only when all of them run. */
	readonly isGang: boolean;
	/** Whether the tasks run much slower when they are spread over several racks. */
	readonly sameRack: boolean;
	/** Label that the worker must have; `undefined` for any worker. */
	readonly requiredLabel: string | undefined;
	/** Rack close to the input data; the tasks run much slower in other racks. */
	readonly dataRack: string | undefined;
	/** Most tasks of the step on one worker; `undefined` for no limit. */
	readonly maximumPerWorker: number | undefined;
	/** Whether speculative copies of a task may run concurrently; the first one that succeeds counts. */
	readonly allowsCopies: boolean;
	/** Whether the tasks are service tasks, which run until the job is cancelled. */
	readonly isLasting: boolean;
	/** Image that the tasks run; tasks of the same image have similar performance. */
	readonly image: string;
	/** Upper bound for the tail latency of a service task, in milliseconds. */
	readonly targetMs: number | undefined;
	/** Whether the tasks are best-effort: they use only idle processor time, which is not counted against the worker. */
	readonly fills: boolean;
	/** Most service tasks of the step that the system may have interrupted at the same time. */
	readonly maximumAway: number | undefined;
}

/** A job as submitted by a caller. */
export interface JobSpec {
	/** Opaque data that is passed to the tasks unchanged. */
	readonly payload: string;
	readonly steps: readonly StepSpec[];
	/** Number of repetitions; 0 runs the steps once, immediately. */
	readonly repeats: number;
	/** Time at which the first repetition is due, in milliseconds since 1970. */
	readonly firstDueAt: number;
	/** Interval between two repetitions, in milliseconds. */
	readonly intervalMs: number;
}

/** State of a job as reported to callers. */
export type JobState = 'queued' | 'running' | 'done' | 'failed' | 'cancelled';
