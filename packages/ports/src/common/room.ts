/** Capacity of a worker, demand of a task, or usage of a team, in three dimensions. */
export interface Room {
	/** Thousandths of a processor core. */
	readonly milliCores: number;
	/** Megabytes of memory. */
	readonly memoryMb: number;
	/** Accelerators. */
	readonly accelerators: number;
}

/** No room at all. */
export const noRoom: Room = { milliCores: 0, memoryMb: 0, accelerators: 0 };

/** The sum of two rooms. */
export function addRoom(left: Room, right: Room): Room {
	return {
		milliCores: left.milliCores + right.milliCores,
		memoryMb: left.memoryMb + right.memoryMb,
		accelerators: left.accelerators + right.accelerators,
	};
}

/** A room multiplied in each dimension. */
export function scaleRoom(room: Room, factor: number): Room {
	return {
		milliCores: room.milliCores * factor,
		memoryMb: room.memoryMb * factor,
		accelerators: room.accelerators * factor,
	};
}

/** What is left of a room; dimensions may be negative. */
export function subtractRoom(left: Room, right: Room): Room {
	return addRoom(left, scaleRoom(right, -1));
}

/** Whether a demand fits into what is free. */
export function fitsInto(demand: Room, free: Room): boolean {
	return (
		demand.milliCores <= free.milliCores && demand.memoryMb <= free.memoryMb && demand.accelerators <= free.accelerators
	);
}

/** The largest share of any dimension that a demand takes of a room; infinite when the room lacks a dimension. */
export function largestShare(demand: Room, room: Room): number {
	const shareOf = (need: number, has: number): number => (need <= 0 ? 0 : has <= 0 ? Infinity : need / has);
	return Math.max(
		shareOf(demand.milliCores, room.milliCores),
		shareOf(demand.memoryMb, room.memoryMb),
		shareOf(demand.accelerators, room.accelerators),
	);
}

/** The larger of two rooms in each dimension. */
export function maximumRoom(left: Room, right: Room): Room {
	return {
		milliCores: Math.max(left.milliCores, right.milliCores),
		memoryMb: Math.max(left.memoryMb, right.memoryMb),
		accelerators: Math.max(left.accelerators, right.accelerators),
	};
}
