import {
	addResources,
	dominantShareBeside,
	fitsBeside,
	fitsInto,
	subtractResources,
	type Resources,
} from '@chestnutwheel/ports/common/resources.js';
import type { StepSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import type { Step, Task } from '../jobs/job.js';
import { formatStepName } from '../jobs/taskName.js';
import type { WorkerState } from '../workers/workerState.js';
import { avoidsCrashHosts, isSuitableForTrial, trialKindOf } from './crashTrial.js';

/** A worker that may receive new runs, as seen at the start of a scheduling pass. */
export interface SchedulableWorker {
	readonly state: WorkerState;
	readonly resources: Resources;
	readonly rack: string;
	/** Whether an unfinished maintenance wave will take the host down. */
	readonly isDueForMaintenance: boolean;
	/** Penalty for the suspected poor health of the worker, as a share of its resources. */
	readonly suspicion: number;
	/** Whether the worker has started a short time ago and is still slow. */
	readonly isWarmingUp: boolean;
}

/** Score penalty for a worker on which the task has failed or that it may have crashed; it is chosen only if no other worker has resources. */
const FAILED_WORKER_PENALTY = 10;

/** Score penalty per task of the same service step in a rack, so that the loss of a rack affects few of them. */
const SAME_RACK_PENALTY = 0.5;

/** Score penalty per task on a worker that would interfere with the placed task, or the placed task with it. */
const INTERFERENCE_PENALTY = 0.3;

/**
 * Score penalty of a service task on a host that a maintenance wave will take down. The task would have to move again, and a
 * step may have only a few of its tasks away at a time.
 */
const DUE_HOST_PENALTY = 1;

/**
 * Score penalty of a worker that warms up. It takes tasks only if no warm worker has resources for them, as when all workers
 * of a data centre return at once.
 */
const WARM_UP_PENALTY = 2;

/** Score penalty for each run beside a task that may crash the worker. */
const TRIAL_NEIGHBOUR_PENALTY = 1;

/** Returns the resources that a task of the step reserves on its worker; best-effort tasks reserve no processors. */
export function effectiveDemand(spec: StepSpec): Resources {
	return spec.fills ? { ...spec.demand, milliCores: 0 } : spec.demand;
}

/** Counts the runs of a step on a worker. */
export function countRunsOnWorker(step: Step, workerKey: string): number {
	let count = 0;
	for (const task of step.tasks) {
		count += task.runs.filter(run => run.workerKey === workerKey).length;
	}
	return count;
}

function countRunsInRack(step: Step, rack: string, rackOf: (workerKey: string) => string | undefined): number {
	let count = 0;
	for (const task of step.tasks) {
		count += task.runs.filter(run => rackOf(run.workerKey) === rack).length;
	}
	return count;
}

/**
 * Counts the best-effort runs beside a step with a latency target, or the runs with a target beside a best-effort step.
 */
function countInterferingRuns(spec: StepSpec, state: WorkerState): number {
	if (!spec.fills && spec.targetMs === undefined) {
		return 0;
	}
	const interferes = spec.fills
		? (other: StepSpec): boolean => other.targetMs !== undefined
		: (other: StepSpec): boolean => other.fills;
	return [...state.runs.values()].filter(({ task }) => interferes(task.step.spec)).length;
}

/** Whether a worker has the label that the step requires, if any. */
export function hasRequiredLabel(spec: StepSpec, { state }: Pick<SchedulableWorker, 'state'>): boolean {
	return spec.requiredLabel === undefined || (state.entry?.labels.includes(spec.requiredLabel) ?? false);
}

/** Options of {@link chooseWorker}. */
export interface PlacementOptions {
	/** Candidate workers. */
	readonly workers: readonly SchedulableWorker[];
	/** Returns the rack of a worker by its key. */
	readonly rackOf: (workerKey: string) => string | undefined;
	/** Restricts the choice to one rack. */
	readonly onlyRack?: string | undefined;
	/** Restricts the choice to workers that the advice service allows. */
	readonly allowedWorkers?: ReadonlySet<string> | undefined;
	/** Numbers of tasks of the same step that are to start on a worker beside those that run there, by worker key. */
	readonly assignedTasks?: ReadonlyMap<string, number> | undefined;
	/** Returns an additional penalty by the name of a worker; a worker with an infinite one is not chosen. */
	readonly penaltyOf?: ((worker: string) => number) | undefined;
}

/**
 * Counts what a worker has listed, or may have begun, of a step without a run of this life: a start that was sent to its former life
 * belongs to that one, and what was given up may still be at work.
 */
function countOrphanedRuns({ occurrence, number }: Step, { orphanedRuns }: WorkerState): number {
	if (orphanedRuns.size === 0) {
		return 0;
	}
	const stepName = formatStepName({ job: occurrence.job.accepted.id, occurrence: occurrence.number, step: number });
	return [...orphanedRuns.keys()].filter(key => key.startsWith(`${stepName}.`)).length;
}

/** Whether a further run of the task on this worker stays within the limit per worker and beside no other run of it. */
function isWithinRunLimits(task: Task, { state }: SchedulableWorker, assigned = 0): boolean {
	const { maximumPerWorker } = task.step.spec;
	const countRuns = (): number =>
		countRunsOnWorker(task.step, state.key) + countOrphanedRuns(task.step, state) + assigned;
	return (
		(maximumPerWorker === undefined || countRuns() < maximumPerWorker) &&
		!task.runs.some(run => run.workerKey === state.key)
	);
}

/** Whether the task has failed on a worker, or one of the same host has crashed at its start. */
function isToBeAvoided(task: Task, { worker, entry }: WorkerState): boolean {
	return (
		task.failedWorkers.includes(worker) ||
		(entry !== undefined && avoidsCrashHosts(task) && task.crashHosts.includes(entry.host))
	);
}

/** Returns the sufficiently large worker with the smallest shortage of resources for a task; `undefined` if none is. */
export function chooseWorkerToReserve(
	task: Task,
	workers: readonly SchedulableWorker[],
): SchedulableWorker | undefined {
	const demand = effectiveDemand(task.step.spec);
	let best: SchedulableWorker | undefined;
	let bestShare = Infinity;
	for (const worker of workers) {
		const share = dominantShareBeside(demand, worker.state.usedResources, worker.resources);
		if (
			share < bestShare &&
			fitsInto(demand, worker.resources) &&
			hasRequiredLabel(task.step.spec, worker) &&
			isWithinRunLimits(task, worker) &&
			(task.step.spec.dataRack === undefined || worker.rack === task.step.spec.dataRack)
		) {
			best = worker;
			bestShare = share;
		}
	}
	return best;
}

/**
 * Chooses the worker for a further run of a task. Batch tasks are packed (best fit), so that large tasks still find
 * resources and idle hosts can be moved to an overloaded pool. Service tasks are spread, so that the loss of a worker
 * or a rack affects few of them.
 * @returns `undefined` if no worker has enough free resources
 */
export function chooseWorker(task: Task, options: PlacementOptions): SchedulableWorker | undefined {
	const { step } = task;
	const { spec } = step;
	const demand = effectiveDemand(spec);
	let best: SchedulableWorker | undefined;
	let bestScore = Infinity;
	const trialKind = trialKindOf(task);
	for (const worker of options.workers) {
		const { state, resources, rack } = worker;
		if (
			!fitsBeside(demand, state.usedResources, resources) ||
			!hasRequiredLabel(spec, worker) ||
			(options.onlyRack !== undefined && rack !== options.onlyRack) ||
			options.allowedWorkers?.has(state.worker) === false ||
			!isWithinRunLimits(task, worker, options.assignedTasks?.get(state.key)) ||
			(trialKind !== undefined && !isSuitableForTrial(trialKind, state))
		) {
			continue;
		}
		const share = dominantShareBeside(demand, state.usedResources, resources);
		const score =
			(spec.isLasting ? share : -share) +
			worker.suspicion +
			(options.penaltyOf?.(state.worker) ?? 0) +
			(worker.isWarmingUp ? WARM_UP_PENALTY : 0) +
			INTERFERENCE_PENALTY * countInterferingRuns(spec, state) +
			(isToBeAvoided(task, state) ? FAILED_WORKER_PENALTY : 0) +
			(spec.isLasting ? SAME_RACK_PENALTY * countRunsInRack(step, rack, options.rackOf) : 0) +
			(spec.isLasting && worker.isDueForMaintenance ? DUE_HOST_PENALTY : 0) +
			(trialKind === undefined ? 0 : TRIAL_NEIGHBOUR_PENALTY * state.runs.size);
		if (score < bestScore) {
			best = worker;
			bestScore = score;
		}
	}
	return best;
}

/**
 * Assigns tasks of one step to workers as if each had started when the next one is assigned. Nothing is started or reserved.
 * @returns the tasks for which a worker was found
 */
export function assignTasks(tasks: readonly Task[], options: PlacementOptions): ReadonlyMap<Task, SchedulableWorker> {
	const assigned = new Map<Task, SchedulableWorker>();
	const assignedTasks = new Map<string, number>();
	// A task on trial suits fewer workers than the others.
	const ordered = [
		...tasks.filter(task => trialKindOf(task) !== undefined),
		...tasks.filter(task => trialKindOf(task) === undefined),
	];
	for (const task of ordered) {
		const worker = chooseWorker(task, { ...options, assignedTasks });
		if (worker !== undefined) {
			const { state } = worker;
			assigned.set(task, worker);
			assignedTasks.set(state.key, (assignedTasks.get(state.key) ?? 0) + 1);
			state.usedResources = addResources(state.usedResources, effectiveDemand(task.step.spec));
		} else if (trialKindOf(task) === undefined) {
			// The other tasks of the step ask for the same.
			break;
		}
	}
	assigned.forEach(({ state }, { step }) => {
		state.usedResources = subtractResources(state.usedResources, effectiveDemand(step.spec));
	});
	return assigned;
}
