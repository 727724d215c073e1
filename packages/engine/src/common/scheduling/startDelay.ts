/** Moving average of the time from the decision to start a task until its worker confirms the start. */
export interface StartDelay {
	/** Records the delay of one start. */
	record(delayMs: number): void;
	/** Expected delay of the next start, in milliseconds. */
	readonly averageMs: number;
}

/**
 * Weight of the newest start; a few dozen starts, as a load peak has within tenths of a second, outweigh all earlier
 * ones.
 */
const SMOOTHING_FACTOR = 0.03;

/**
 * Creates an average without starts. A task occupies its resources from the decision on. While the store is slow, the
 * journal write alone takes half as long as a short task, and the pool needs half as many hosts again.
 */
export function createStartDelay(): StartDelay {
	let averageMs = 0;
	return {
		record: delayMs => {
			averageMs += SMOOTHING_FACTOR * (delayMs - averageMs);
		},
		get averageMs() {
			return averageMs;
		},
	};
}
