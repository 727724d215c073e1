import {
	addResources,
	fitsInto,
	dominantShare,
	subtractResources,
	type Resources,
} from '@chestnutwheel/ports/common/resources.js';
import type { StepSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import type { Step, Task } from '../jobs/job.js';
import type { WorkerState } from '../workers/workerState.js';

/** A worker that may take new runs, with what is known of it at the start of a pass. */
export interface SchedulableWorker {
	readonly state: WorkerState;
	readonly resources: Resources;
	readonly rack: string;
	/** Load that doubts about the worker add, as a share of its room. */
	readonly suspicion: number;
}

/** Load that a worker gets added on which the task has failed before; it is taken only if no other has room. */
const FAILED_WORKER_PENALTY = 10;

/** Load that a rack gets added for each task of the same lasting step, so that the loss of a rack takes few of them. */
const SAME_RACK_PENALTY = 0.5;

/** Load that a worker gets added for each task there that would disturb the placed one or be disturbed by it. */
const INTERFERENCE_PENALTY = 0.3;

/** What a step takes of its worker's room. */
export function effectiveDemand(spec: StepSpec): Resources {
	return spec.fills ? { ...spec.demand, milliCores: 0 } : spec.demand;
}

/** Number of runs of a step on a worker. */
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

/** Runs on a worker that fill beside a serving step, or serve beside a filling one. */
function countInterferingRuns(spec: StepSpec, state: WorkerState): number {
	if (!spec.fills && spec.targetMs === undefined) {
		return 0;
	}
	const interferes = spec.fills
		? (other: StepSpec): boolean => other.targetMs !== undefined
		: (other: StepSpec): boolean => other.fills;
	return [...state.runs.values()].filter(({ task }) => interferes(task.step.spec)).length;
}

/** Whether a worker may run a task of the step at all. */
export function hasRequiredLabel(spec: StepSpec, worker: SchedulableWorker): boolean {
	return spec.requiredLabel === undefined || (worker.state.entry?.labels.includes(spec.requiredLabel) ?? false);
}

/** Options of {@link chooseWorker}. */
export interface PlacementOptions {
	readonly workers: readonly SchedulableWorker[];
	readonly rackOf: (workerKey: string) => string | undefined;
	/** Only workers of this rack. */
	readonly onlyRack?: string | undefined;
	/** Workers that the advice service allows; all when left out. */
	readonly allowedWorkers?: ReadonlySet<string> | undefined;
}

/** Whether a worker could take a run of the task if it had room. */
function isWithinRunLimits(task: Task, { state }: SchedulableWorker): boolean {
	const { maximumPerWorker } = task.step.spec;
	return (
		(maximumPerWorker === undefined || countRunsOnWorker(task.step, state.key) < maximumPerWorker) &&
		!task.runs.some(run => run.workerKey === state.key)
	);
}

/** Of the workers that are large enough, the one that lacks the least room for a task; `undefined` without any. */
export function chooseWorkerToReserve(
	task: Task,
	workers: readonly SchedulableWorker[],
): SchedulableWorker | undefined {
	const demand = effectiveDemand(task.step.spec);
	let best: SchedulableWorker | undefined;
	let bestShare = Infinity;
	for (const worker of workers) {
		const share = dominantShare(addResources(worker.state.used, demand), worker.resources);
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
 * Chooses the worker for one more run of a task. Tasks that end go where least is left over, so that wide tasks find room
 * and workers without work can be moved to a pool that peaks; lasting ones spread, so that the loss of a worker or a rack
 * takes few of them.
 * @returns `undefined` when no worker has room
 */
export function chooseWorker(task: Task, options: PlacementOptions): SchedulableWorker | undefined {
	const { step } = task;
	const { spec } = step;
	const demand = effectiveDemand(spec);
	let best: SchedulableWorker | undefined;
	let bestScore = Infinity;
	for (const worker of options.workers) {
		const { state, resources: room, rack } = worker;
		if (
			!fitsInto(demand, subtractResources(room, state.used)) ||
			!hasRequiredLabel(spec, worker) ||
			(options.onlyRack !== undefined && rack !== options.onlyRack) ||
			options.allowedWorkers?.has(state.worker) === false ||
			!isWithinRunLimits(task, worker)
		) {
			continue;
		}
		const share = dominantShare(addResources(state.used, demand), room);
		const score =
			(spec.isLasting ? share : -share) +
			worker.suspicion +
			INTERFERENCE_PENALTY * countInterferingRuns(spec, state) +
			(task.failedWorkers.includes(state.worker) ? FAILED_WORKER_PENALTY : 0) +
			(spec.isLasting ? SAME_RACK_PENALTY * countRunsInRack(step, rack, options.rackOf) : 0);
		if (score < bestScore) {
			best = worker;
			bestScore = score;
		}
	}
	return best;
}
