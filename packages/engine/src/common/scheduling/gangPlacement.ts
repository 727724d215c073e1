import type { Step, Task } from '../jobs/job.js';
import { assignTasks, type PlacementOptions, type SchedulableWorker } from './placement.js';

/** Options of {@link placeGang}. */
export interface GangPlacementOptions extends Omit<PlacementOptions, 'onlyRack' | 'assignedTasks'> {
	/** Whether the gang should leave the racks that it prefers, each of which would do, rather than wait for one of them. */
	readonly mayLeaveRacks: (racks: readonly string[]) => boolean;
}

/**
 * Chooses a worker for each member of a gang, which answers gangs that prefer one rack while it is busy or lost: the rack of
 * their data, or any rack that holds them all. Such a gang waits as long as other tasks that prefer a rack.
 * @returns `undefined` if not all members can be placed
 */
export function placeGang(step: Step, options: GangPlacementOptions): ReadonlyMap<Task, SchedulableWorker> | undefined {
	const racks = preferredRacks(step, options.workers);
	const inRack = (onlyRack: string | undefined): ReadonlyMap<Task, SchedulableWorker> | undefined => {
		const assigned = assignTasks(step.tasks, { ...options, onlyRack });
		return assigned.size === step.tasks.length ? assigned : undefined;
	};
	return (
		firstDefined(racks, inRack) ?? (racks.length === 0 || options.mayLeaveRacks(racks) ? inRack(undefined) : undefined)
	);
}

function firstDefined<Key, Value>(keys: readonly Key[], find: (key: Key) => Value | undefined): Value | undefined {
	for (const key of keys) {
		const found = find(key);
		if (found !== undefined) {
			return found;
		}
	}
	return undefined;
}

/** Returns the racks in which a gang runs at full speed or loses the least; empty if any workers will do. */
function preferredRacks({ spec }: Step, workers: readonly SchedulableWorker[]): readonly string[] {
	const { dataRack, sameRack } = spec;
	const data = dataRack === undefined ? [] : [dataRack];
	return sameRack ? [...new Set([...data, ...workers.map(({ rack }) => rack)])] : data;
}
