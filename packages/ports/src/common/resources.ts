/** Capacity of a worker, demand of a task, or usage of a team, in three dimensions. */
export interface Resources {
	/** Thousandths of a processor core. */
	readonly milliCores: number;
	/** Megabytes of memory. */
	readonly memoryMb: number;
	/** Accelerators. */
	readonly accelerators: number;
}

/** No room at all. */
export const noResources: Resources = { milliCores: 0, memoryMb: 0, accelerators: 0 };

/** The sum of two rooms. */
export function addResources(left: Resources, right: Resources): Resources {
	return {
		milliCores: left.milliCores + right.milliCores,
		memoryMb: left.memoryMb + right.memoryMb,
		accelerators: left.accelerators + right.accelerators,
	};
}

/** A room multiplied in each dimension. */
export function scaleResources(room: Resources, factor: number): Resources {
	return {
		milliCores: room.milliCores * factor,
		memoryMb: room.memoryMb * factor,
		accelerators: room.accelerators * factor,
	};
}

/** What is left of a room; dimensions may be negative. */
export function subtractResources(left: Resources, right: Resources): Resources {
	return addResources(left, scaleResources(right, -1));
}

/** Whether a demand fits into what is free. */
export function fitsInto(demand: Resources, free: Resources): boolean {
	return (
		demand.milliCores <= free.milliCores && demand.memoryMb <= free.memoryMb && demand.accelerators <= free.accelerators
	);
}

/** The largest share of any dimension that a demand takes of a room; infinite when the room lacks a dimension. */
export function dominantShare(demand: Resources, room: Resources): number {
	const shareOf = (need: number, has: number): number => (need <= 0 ? 0 : has <= 0 ? Infinity : need / has);
	return Math.max(
		shareOf(demand.milliCores, room.milliCores),
		shareOf(demand.memoryMb, room.memoryMb),
		shareOf(demand.accelerators, room.accelerators),
	);
}

/** The larger of two rooms in each dimension. */
export function maximumResources(left: Resources, right: Resources): Resources {
	return {
		milliCores: Math.max(left.milliCores, right.milliCores),
		memoryMb: Math.max(left.memoryMb, right.memoryMb),
		accelerators: Math.max(left.accelerators, right.accelerators),
	};
}
