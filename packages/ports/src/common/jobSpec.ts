import type { Resources } from './resources.js';

/** One step of a job: tasks that are alike. */
export interface StepSpec {
	/** Number of tasks. */
	readonly count: number;
	/** What one task takes of a worker. */
	readonly demand: Resources;
	/** Rough estimate of the time that a task takes, in milliseconds; 0 when unknown. */
	readonly estimateMs: number;
	/** Numbers of earlier steps whose tasks must all have ended well. */
	readonly after: readonly number[];
	/** Whether the tasks save their progress. */
	readonly savesProgress: boolean;
	/** Whether the tasks work only together. */
	readonly isGang: boolean;
	/** Whether the tasks are much slower in several racks. */
	readonly sameRack: boolean;
	/** A label that the worker must have. */
	readonly requiredLabel: string | undefined;
	/** The rack near the data; elsewhere the tasks are much slower. */
	readonly dataRack: string | undefined;
	/** Most tasks of the step on one worker; `undefined` for no bound. */
	readonly maximumPerWorker: number | undefined;
	/** Whether copies of a task may run at once; the first that ends well counts. */
	readonly allowsCopies: boolean;
	/** Whether the tasks run until the job is cancelled. */
	readonly isLasting: boolean;
	/** What the tasks run; tasks of one image behave alike. */
	readonly image: string;
	/** Bound for the tail of the response times of a lasting task, in milliseconds. */
	readonly targetMs: number | undefined;
	/** Whether the tasks only use processor time that others leave; it is not counted against the worker. */
	readonly fills: boolean;
	/** Most lasting tasks of the step that may be away at once by orders of the system. */
	readonly maximumAway: number | undefined;
}

/** What a caller asks for. */
export interface JobSpec {
	/** Passed on to the tasks as it is. */
	readonly payload: string;
	readonly steps: readonly StepSpec[];
	/** How many times the steps run; 0 for once, at once. */
	readonly repeats: number;
	/** When the first repetition is due, in milliseconds since 1970. */
	readonly firstDueAt: number;
	/** Time between two repetitions, in milliseconds. */
	readonly intervalMs: number;
}

/** State of a job as callers see it. */
export type JobState = 'queued' | 'running' | 'done' | 'failed' | 'cancelled';
