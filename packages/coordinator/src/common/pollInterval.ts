/** Minimum interval between two polls of one worker, so that results close in time are read together. */
const MINIMUM_POLL_INTERVAL_MS = 30;

/** Maximum of that interval, which delays the notice of an end and the next start on the worker. */
const MAXIMUM_POLL_INTERVAL_MS = 250;

/** Multiple of the lateness of timers that the interval lasts at least. */
const LAG_MULTIPLE = 3;

/**
 * Returns the minimum interval between two polls of one worker, in milliseconds. A leader that is short of processor time reads
 * more results with each poll, which leaves more of its time for starts; they wait for it longer than for the results.
 * @param timerLagMs average lateness of the leader's timers, in milliseconds
 */
export function pollIntervalMs(timerLagMs: number): number {
	return Math.min(MAXIMUM_POLL_INTERVAL_MS, Math.max(MINIMUM_POLL_INTERVAL_MS, LAG_MULTIPLE * timerLagMs));
}
