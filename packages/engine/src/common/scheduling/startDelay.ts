/** Time from the decision to start a task until its worker confirms it. */
export interface StartDelay {
	/** @param delayMs time of one start, in milliseconds */
	record(delayMs: number): void;
	/** What the next start is expected to take, in milliseconds. */
	readonly averageMs: number;
}

/** Weight of the newest start: some dozens, as a peak has in a few tenths of a second, outweigh what was before. */
const SMOOTHING_FACTOR = 0.03;

/**
 * Creates an average without starts. A task takes its room from the decision on: while the store is slow, the journal alone
 * takes half as long as a short task, so that a pool needs half as many hosts more.
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
