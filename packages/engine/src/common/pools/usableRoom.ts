import { addResources, dominantShare, noResources, type Resources } from '@chestnutwheel/ports/common/resources.js';

/** Weight of the newest pass in the moving average. */
const SMOOTHING_FACTOR = 0.05;

/** Smallest fraction assumed, so that a pool whose workers just arrived is not taken as full. */
const MINIMUM_FRACTION = 0.6;

/** Measures which part of a pool's resources tasks use while others wait. */
export interface UsableRoom {
	/** Records the state of a pool after a pass that left tasks waiting. */
	readonly record: (
		pool: string,
		workers: Iterable<{ readonly used: Resources; readonly resources: Resources }>,
	) => void;
	/** Returns the usable part of a pool's resources, 0 to 1. */
	fractionOf(pool: string): number;
}

/**
 * Creates the measurement. Under a load beyond the room of a pool, tasks that take a third of a host or more leave parts of
 * the hosts unused, and a forecast that counted on the whole room would promise more than the pool completes in time.
 */
export function createUsableRoom(): UsableRoom {
	const fractions = new Map<string, number>();
	const fractionOf = (pool: string): number => fractions.get(pool) ?? 1;
	return {
		record: (pool, workers) => {
			let used = noResources;
			let total = noResources;
			for (const worker of workers) {
				used = addResources(used, worker.used);
				total = addResources(total, worker.resources);
			}
			const fraction = Math.max(MINIMUM_FRACTION, Math.min(1, dominantShare(used, total)));
			fractions.set(pool, fractionOf(pool) + SMOOTHING_FACTOR * (fraction - fractionOf(pool)));
		},
		fractionOf,
	};
}
