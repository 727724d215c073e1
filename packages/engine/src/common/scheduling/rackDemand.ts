import {
	addResources,
	dominantShare,
	noResources,
	scaleResources,
	type Resources,
} from '@chestnutwheel/ports/common/resources.js';

/** Shortest time over which the work that wants a rack is averaged, in milliseconds. */
const MINIMUM_AVERAGING_MS = 2_000;

/** Number of runs of a task over which its work is averaged. */
const AVERAGED_RUNS = 2;

/** Most sums that are remembered, one for each rack and averaging time. Beyond it, the one with the oldest arrival is forgotten. */
const MAXIMUM_SUMS = 1_000;

/** Work of a step that became ready to start. */
export interface RackWork {
	/** Resources of its tasks multiplied by their expected durations in milliseconds. */
	readonly work: Resources;
	/** Expected duration of a task, in milliseconds. */
	readonly durationMs: number;
	/** Time at which it became ready. */
	readonly at: number;
}

/** Measures how much of a rack the tasks that prefer it would fill. */
export interface RackDemand {
	/** Records work that prefers a rack. */
	record(rack: string, work: RackWork): void;
	/**
	 * Returns the share of a rack that newcomers keep busy at their recent rate; 1 or more if they fill it.
	 * @param own work of the step that asks, which is no newcomer to itself
	 */
	utilisation(rack: string, capacity: Resources, own: RackWork | undefined, now: number): number;
}

/** Returns the time over which work is averaged, as a power of two times the shortest one. */
function averagingMs({ durationMs }: RackWork): number {
	const runs = Math.max(1, (AVERAGED_RUNS * durationMs) / MINIMUM_AVERAGING_MS);
	return MINIMUM_AVERAGING_MS * 2 ** Math.ceil(Math.log2(runs));
}

/** Returns the resources that work keeps busy on average, discounted by its age. */
function rateOf(work: RackWork, now: number): Resources {
	const windowMs = averagingMs(work);
	return scaleResources(work.work, Math.exp((work.at - now) / windowMs) / windowMs);
}

/** Creates the measurement without arrivals. */
export function createRackDemand(): RackDemand {
	/** Discounted rates by rack and averaging time, in the order of the latest arrivals. */
	const sums = new Map<string, { readonly rack: string; readonly windowMs: number; rate: Resources; at: number }>();

	return {
		record: (rack, work) => {
			const windowMs = averagingMs(work);
			const key = `${rack} ${windowMs}`;
			const known = sums.get(key);
			const before =
				known === undefined ? noResources : scaleResources(known.rate, Math.exp((known.at - work.at) / windowMs));
			sums.delete(key);
			sums.set(key, { rack, windowMs, rate: addResources(before, rateOf(work, work.at)), at: work.at });
			const [oldest] = sums.keys();
			if (sums.size > MAXIMUM_SUMS && oldest !== undefined) {
				sums.delete(oldest);
			}
		},
		utilisation: (rack, capacity, own, now) => {
			let rate = noResources;
			for (const sum of sums.values()) {
				if (sum.rack === rack) {
					rate = addResources(rate, scaleResources(sum.rate, Math.exp((sum.at - now) / sum.windowMs)));
				}
			}
			const ownRate = own === undefined ? noResources : rateOf(own, now);
			return Math.max(0, dominantShare(addResources(rate, scaleResources(ownRate, -1)), capacity));
		},
	};
}
