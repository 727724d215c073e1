import type { Task, TaskRun } from '../jobs/job.js';
import { isCleared } from '../workers/crashEvidence.js';
import type { WorkerState } from '../workers/workerState.js';

/**
 * How a task under which workers have crashed is started, so that a further crash shows whether it is the cause:
 * - `beside-established-runs`: all other runs on the worker are established, until this one is too,
 * - `alone`: no other run on the worker can be the cause until this one has ended.
 */
export type TrialKind = 'beside-established-runs' | 'alone';

/** A run on trial, which keeps further work away from its worker. */
export interface CrashTrial {
	readonly run: TaskRun;
	readonly kind: TrialKind;
}

/** Number of crashes, in whatever phase of the run, from which on a task starts alone. */
const CRASHES_BEFORE_ALONE = 3;

/**
 * Returns how the next run of a task is tried; `undefined` if it is not suspected. A service task never waits for a worker
 * without other work, since it has to run again soon however busy the pool is.
 */
export function trialKindOf({ crashes, startCrashes, step }: Task): TrialKind | undefined {
	if (crashes >= CRASHES_BEFORE_ALONE) {
		return step.spec.isLasting ? 'beside-established-runs' : 'alone';
	}
	return startCrashes > 0 ? 'beside-established-runs' : undefined;
}

/**
 * Whether a task is kept from hosts whose workers have crashed at its start, so that a further crash shows that it is the cause. A
 * service task that has lost many workers does better to return to such a host, since its neighbours there have gone elsewhere.
 */
export function avoidsCrashHosts({ crashes, step }: Task): boolean {
	return !step.spec.isLasting || crashes < CRASHES_BEFORE_ALONE;
}

const isSuitable: Readonly<Record<TrialKind, (other: TaskRun) => boolean>> = {
	'beside-established-runs': other => other.isEstablished,
	alone: isCleared,
};

/** Whether a trial of the given kind may begin on a worker. */
export function isSuitableForTrial(kind: TrialKind, { runs }: Pick<WorkerState, 'runs'>): boolean {
	return [...runs.values()].every(isSuitable[kind]);
}

const isOver: Readonly<Record<TrialKind, (run: TaskRun) => boolean>> = {
	'beside-established-runs': ({ isEstablished }) => isEstablished,
	alone: isCleared,
};

/** Whether a run on trial keeps further work away from a worker. */
export function isOnTrial({ trial, runs }: Pick<WorkerState, 'trial' | 'runs'>): boolean {
	return trial !== undefined && !isOver[trial.kind](trial.run) && [...runs.values()].includes(trial.run);
}
