/** Capacity of a worker, demand of a task or usage of a team, in three dimensions. */
export interface Resources {
	/** Processor time, in thousandths of a core. */
	readonly milliCores: number;
	/** Memory, in megabytes. */
	readonly memoryMb: number;
	/** Number of accelerators. */
	readonly accelerators: number;
}

/** Zero in every dimension. */
export const noResources: Resources = { milliCores: 0, memoryMb: 0, accelerators: 0 };

/** Returns the sum in each dimension. */
export function addResources(left: Resources, right: Resources): Resources {
	return {
		milliCores: left.milliCores + right.milliCores,
		memoryMb: left.memoryMb + right.memoryMb,
		accelerators: left.accelerators + right.accelerators,
	};
}

/** Multiplies each dimension by a factor. */
export function scaleResources(resources: Resources, factor: number): Resources {
	return {
		milliCores: resources.milliCores * factor,
		memoryMb: resources.memoryMb * factor,
		accelerators: resources.accelerators * factor,
	};
}

/** Returns the difference in each dimension, which may be negative. */
export function subtractResources(left: Resources, right: Resources): Resources {
	return addResources(left, scaleResources(right, -1));
}

/** Whether a demand fits into the free resources in every dimension. */
export function fitsInto(demand: Resources, free: Resources): boolean {
	return (
		demand.milliCores <= free.milliCores && demand.memoryMb <= free.memoryMb && demand.accelerators <= free.accelerators
	);
}

/** Whether a demand fits into what the used resources leave of a capacity. */
export function fitsBeside(demand: Resources, used: Resources, capacity: Resources): boolean {
	return (
		demand.milliCores <= capacity.milliCores - used.milliCores &&
		demand.memoryMb <= capacity.memoryMb - used.memoryMb &&
		demand.accelerators <= capacity.accelerators - used.accelerators
	);
}

function shareOf(need: number, total: number): number {
	return need <= 0 ? 0 : total <= 0 ? Infinity : need / total;
}

/**
 * Returns the dominant share: the largest fraction of the capacity that a demand takes in any dimension. It is infinite
 * when a needed dimension has no capacity.
 */
export function dominantShare(demand: Resources, capacity: Resources): number {
	return Math.max(
		shareOf(demand.milliCores, capacity.milliCores),
		shareOf(demand.memoryMb, capacity.memoryMb),
		shareOf(demand.accelerators, capacity.accelerators),
	);
}

/** Returns the dominant share of a demand together with the resources that are used already. */
export function dominantShareBeside(demand: Resources, used: Resources, capacity: Resources): number {
	return Math.max(
		shareOf(used.milliCores + demand.milliCores, capacity.milliCores),
		shareOf(used.memoryMb + demand.memoryMb, capacity.memoryMb),
		shareOf(used.accelerators + demand.accelerators, capacity.accelerators),
	);
}

/** Returns the larger value in each dimension. */
export function maximumResources(left: Resources, right: Resources): Resources {
	return {
		milliCores: Math.max(left.milliCores, right.milliCores),
		memoryMb: Math.max(left.memoryMb, right.memoryMb),
		accelerators: Math.max(left.accelerators, right.accelerators),
	};
}

/** Returns the smaller value in each dimension. */
export function minimumResources(left: Resources, right: Resources): Resources {
	return {
		milliCores: Math.min(left.milliCores, right.milliCores),
		memoryMb: Math.min(left.memoryMb, right.memoryMb),
		accelerators: Math.min(left.accelerators, right.accelerators),
	};
}
