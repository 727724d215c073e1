import type { Job, Step, TaskRun } from './job.js';

/** Receives changes of the job table, to update resource usage, caps and ready steps. */
export interface JobTableListener {
	/** A run may be executing from now on. */
	runAdded(run: TaskRun): void;
	/** A run has ended or never began. */
	runRemoved(run: TaskRun): void;
	/** A step has tasks that may be started now. */
	stepReady(step: Step): void;
	/** A job was added. */
	jobAdded(job: Job): void;
	/** A job has ended; runs of it may still be executing. */
	jobEnded(job: Job): void;
}
