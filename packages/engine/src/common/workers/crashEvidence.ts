import type { CrashPhase } from '../jobs/journalEvent.js';
import type { Task, TaskRun } from '../jobs/job.js';

/** How a worker with its runs was lost. */
export type WorkerLoss =
	/** Another incarnation or worker answers in its place, and it had not announced that it would go. */
	| 'crashed'
	/** Its leases ran out: it crashed, or it was cut off from this leader. */
	| 'unexplained'
	/** It was draining, or an order to its host has taken it down. */
	| 'planned';

/** What the loss of a worker says about one of its runs. */
export interface CrashEvidence {
	readonly phase: CrashPhase;
	/**
	 * Whether the crash counts against the task: the worker has crashed at its start, after it had confirmed the run, and no worker
	 * of the same host did so before. Otherwise the run may never have begun, the worker or its host may be faulty, or it lives.
	 */
	readonly isProven: boolean;
	/** Whether no other run of the worker can have crashed it. */
	readonly isOnlySuspect: boolean;
}

/** Progress of a service task that is ready, in percent. */
const READY_PERCENT = 100;

/** Number of hosts whose workers must have crashed at the start of a task before it is given up. */
const PROVEN_CRASHES = 2;

/**
 * Number of workers lost at the start of a task, one after the other, at which it is given up in any case: the platform allows two
 * starts after the third crash.
 */
const MAXIMUM_START_CRASHES = 5;

/** A task is given up sooner only if as many losses at its start would be less likely than this by chance. */
const MAXIMUM_CHANCE = 1e-5;

/** Whether the run has shown that it does not crash its worker, which only a task without an end can. */
export function isCleared({ task, isEstablished, percent }: TaskRun): boolean {
	return task.step.spec.isLasting && isEstablished && percent >= READY_PERCENT;
}

/** Whether the order to start the run has been sent, or may have been by a former leader. */
function wasSent({ startByMs }: TaskRun): boolean {
	return startByMs !== Infinity;
}

/** Whether the worker has confirmed in this term that the run began. */
function isConfirmed({ confirmedAt }: TaskRun): boolean {
	return confirmedAt !== undefined;
}

const suspectsByLoss: Readonly<Record<WorkerLoss, (run: TaskRun) => boolean>> = {
	crashed: run => wasSent(run) && !isCleared(run),
	// A worker that is cut off runs on, so that only runs that were not established are suspected.
	unexplained: run => wasSent(run) && !run.isEstablished,
	planned: () => false,
};

/**
 * Finds the runs that may have crashed their worker. A run that is not established is the likeliest cause. If it
 * is the only one of these and its task has lost a worker before, the other runs are not suspected.
 * @param host host of the lost worker
 */
export function crashEvidence(
	runs: Iterable<TaskRun>,
	loss: WorkerLoss,
	host: string,
): ReadonlyMap<TaskRun, CrashEvidence> {
	const suspects = [...runs].filter(suspectsByLoss[loss]);
	const starting = suspects.filter(({ isEstablished }) => !isEstablished);
	const likeliest = starting.length > 0 ? starting : suspects;
	const [only] = likeliest.length === 1 ? likeliest.filter(isConfirmed) : [];
	const blamed = only !== undefined && only.task.crashes > 0 ? [only] : suspects;
	return new Map(
		blamed.map(run => [
			run,
			{
				phase: run.isEstablished ? 'work' : 'start',
				isProven: loss === 'crashed' && !run.isEstablished && isConfirmed(run) && !run.task.crashHosts.includes(host),
				isOnlySuspect: run === only,
			},
		]),
	);
}

/**
 * Whether a task is given up after a further worker was lost under it. Service tasks are not: they are restarted however they
 * end, after a growing delay. Nor is a task whose runs were established, whatever happened to their workers later.
 * @param chance probability that a worker is lost while it starts the task, for a reason other than the task
 */
export function isGivenUp(
	{ startCrashes, provenCrashes, step }: Pick<Task, 'startCrashes' | 'provenCrashes' | 'step'>,
	{ isOnlySuspect, isProven }: CrashEvidence,
	chance: number,
): boolean {
	if (step.spec.isLasting) {
		return false;
	}
	const isProvenCause =
		isOnlySuspect && isProven && provenCrashes >= PROVEN_CRASHES && chance ** provenCrashes < MAXIMUM_CHANCE;
	return isProvenCause || startCrashes >= MAXIMUM_START_CRASHES;
}
