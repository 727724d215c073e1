import { addResources, fitsInto, subtractResources, type Resources } from '@chestnutwheel/ports/common/resources.js';
import type { Step, Task } from '../jobs/job.js';
import { countRunsOnWorker, effectiveDemand } from '../scheduling/placement.js';

/** A worker to which tasks may move. */
export interface Destination {
	readonly key: string;
	readonly pool: string;
	readonly labels: readonly string[];
	/** Resources that no run uses. */
	readonly free: Resources;
}

/**
 * Room for tasks that have to move. It answers the load of an evacuation, in which the tasks of many workers want the same
 * free resources at once: each share of a worker is promised to one task only, so that no task stops without a place to go.
 */
export interface DestinationRoom {
	/** Promises room in a pool to a task. @returns whether there was any */
	take(task: Task, pool: string): boolean;
	/**
	 * Promises room to all members of a gang, which also get the room that their own runs release.
	 * @returns whether there was room for all; otherwise nothing is promised
	 */
	takeGang(step: Step, pool: string): boolean;
	/** Promises room to tasks that wait for it already, as far as there is room for them. */
	claim(step: Step, pool: string, count: number): void;
}

interface OpenDestination {
	readonly destination: Destination;
	free: Resources;
}

/** Creates the room on workers of which none has been promised to a task. */
export function createDestinationRoom(destinations: readonly Destination[]): DestinationRoom {
	const byPool = new Map<string, OpenDestination[]>();
	for (const destination of destinations) {
		const ofPool = byPool.get(destination.pool) ?? [];
		byPool.set(destination.pool, ofPool);
		ofPool.push({ destination, free: destination.free });
	}
	const promisedByStep = new Map<Step, Map<string, number>>();

	const countPromised = (step: Step, key: string): number => promisedByStep.get(step)?.get(key) ?? 0;

	const promise = (step: Step, key: string, change: number): void => {
		const ofStep = promisedByStep.get(step) ?? new Map<string, number>();
		promisedByStep.set(step, ofStep);
		ofStep.set(key, (ofStep.get(key) ?? 0) + change);
	};

	/** @param releasedRuns number of the step's own runs on a worker that end before the task begins */
	const find = (step: Step, pool: string, releasedRuns: (key: string) => number): OpenDestination | undefined => {
		const { requiredLabel, maximumPerWorker } = step.spec;
		const demand = effectiveDemand(step.spec);
		return byPool.get(pool)?.find(({ destination: { key, labels }, free }) => {
			const isLabelled = requiredLabel === undefined || labels.includes(requiredLabel);
			return (
				isLabelled &&
				fitsInto(demand, free) &&
				(maximumPerWorker === undefined ||
					countRunsOnWorker(step, key) - releasedRuns(key) + countPromised(step, key) < maximumPerWorker)
			);
		});
	};

	const takeOne = (step: Step, pool: string, releasedRuns: (key: string) => number): OpenDestination | undefined => {
		const found = find(step, pool, releasedRuns);
		if (found !== undefined) {
			found.free = subtractResources(found.free, effectiveDemand(step.spec));
			promise(step, found.destination.key, 1);
		}
		return found;
	};

	const noRuns = (): number => 0;

	return {
		take: ({ step }, pool) => takeOne(step, pool, noRuns) !== undefined,
		takeGang: (step, pool) => {
			const ofPool = byPool.get(pool) ?? [];
			const before = ofPool.map(({ free }) => free);
			const demand = effectiveDemand(step.spec);
			const ownRuns = new Map<string, number>();
			step.tasks
				.flatMap(({ runs }) => runs)
				.forEach(({ workerKey }) => ownRuns.set(workerKey, (ownRuns.get(workerKey) ?? 0) + 1));
			const countOwnRuns = (key: string): number => ownRuns.get(key) ?? 0;
			for (const open of ofPool) {
				for (let runs = countOwnRuns(open.destination.key); runs > 0; runs--) {
					open.free = addResources(open.free, demand);
				}
			}
			const taken: OpenDestination[] = [];
			while (taken.length < step.tasks.length) {
				const found = takeOne(step, pool, countOwnRuns);
				if (found === undefined) {
					ofPool.forEach((open, index) => {
						open.free = before[index] ?? open.free;
					});
					taken.forEach(({ destination }) => promise(step, destination.key, -1));
					return false;
				}
				taken.push(found);
			}
			return true;
		},
		claim: (step, pool, count) => {
			let claimed = 0;
			while (claimed < count && takeOne(step, pool, noRuns) !== undefined) {
				claimed++;
			}
		},
	};
}
