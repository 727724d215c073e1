import type { Counters } from '@chestnutwheel/base/common/counters.js';
import {
	fitsInto,
	maximumResources,
	noResources,
	subtractResources,
	type Resources,
} from '@chestnutwheel/ports/common/resources.js';
import type { Task } from '../jobs/job.js';
import { trialKindOf } from './crashTrial.js';
import { createDemandFrontier } from './demandFrontier.js';
import { chooseWorkerToReserve, effectiveDemand, type SchedulableWorker } from './placement.js';

/** Maximum share of a pool's workers reserved for tasks that fit on no worker yet; service tasks may exceed it. */
const MAXIMUM_RESERVED_SHARE = 0.34;

/** Looks for a worker among those of a pool. */
export type WorkerSearch = (workers: readonly SchedulableWorker[]) => SchedulableWorker | undefined;

/**
 * The search for workers in one pool during a scheduling pass. In an overload almost all of a long backlog fits on no worker,
 * so that a task is looked for only if it is smaller than all that were not found before it.
 */
export interface PoolSearch {
	/** Workers that may still receive runs in this pass. */
	readonly workers: readonly SchedulableWorker[];
	/**
	 * Returns the worker that the search finds for a task; `undefined` if there is none.
	 * @param isRestricted whether the search leaves out workers for other reasons than a lack of resources
	 */
	find(task: Task, isRestricted: boolean, search: WorkerSearch): SchedulableWorker | undefined;
	/**
	 * Withholds a worker from less urgent tasks until this one fits, so that a large task is not starved by a steady flow of
	 * small ones. The worker is chosen once another task would take one.
	 */
	reserveFor(task: Task): void;
	/** Chooses the workers to withhold now. */
	applyReservations(): void;
	/** Withholds workers from the rest of the pass. */
	withhold(isWithheld: (worker: SchedulableWorker) => boolean): void;
}

/** Creates the search in a pool with the given workers. */
export function createPoolSearch(poolWorkers: readonly SchedulableWorker[], counters: Counters): PoolSearch {
	let workers = poolWorkers;
	let remainingReservations = Math.floor(poolWorkers.length * MAXIMUM_RESERVED_SHARE);
	const tasksToReserveFor: Task[] = [];
	/** Demands that no worker has resources for. Workers only lose resources during a pass. */
	const unplaceable = createDemandFrontier();
	/** Upper bound of the free resources of any worker, in each dimension. */
	const maximumFree = poolWorkers.reduce<Resources>(
		(most, { state, resources }) => maximumResources(most, subtractResources(resources, state.usedResources)),
		noResources,
	);

	const reserveWorker = (task: Task): void => {
		if (remainingReservations <= 0 && !task.step.spec.isLasting) {
			return;
		}
		const reserved = chooseWorkerToReserve(task, workers);
		if (reserved !== undefined) {
			remainingReservations--;
			workers = workers.filter(worker => worker !== reserved);
		}
	};

	const applyReservations = (): void => tasksToReserveFor.splice(0).forEach(reserveWorker);

	return {
		get workers() {
			return workers;
		},
		find: (task, isRestricted, search) => {
			const demand = effectiveDemand(task.step.spec);
			if (!fitsInto(demand, maximumFree) || unplaceable.covers(demand)) {
				return undefined;
			}
			counters.add('placement_searches_total');
			let found = search(workers);
			if (found !== undefined && tasksToReserveFor.length > 0) {
				// A search that fails without the reservations fails with them, too.
				applyReservations();
				found = search(workers);
			}
			if (found === undefined && !isRestricted && fitsAnywhere(task)) {
				unplaceable.add(demand);
			}
			return found;
		},
		reserveFor: task => {
			tasksToReserveFor.push(task);
		},
		applyReservations,
		withhold: isWithheld => {
			workers = workers.filter(worker => !isWithheld(worker));
		},
	};
}

/** Whether only a lack of resources can keep a task from every worker of its pool. */
function fitsAnywhere(task: Task): boolean {
	const { requiredLabel, dataRack, maximumPerWorker } = task.step.spec;
	return (
		requiredLabel === undefined &&
		dataRack === undefined &&
		maximumPerWorker === undefined &&
		task.runs.length === 0 &&
		trialKindOf(task) === undefined
	);
}
