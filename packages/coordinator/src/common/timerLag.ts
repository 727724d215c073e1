/**
 * Moving average of how late the timers of a process fire. While the process is short of processor time, each turn of its event
 * loop takes long, and timers wait for the end of the turn.
 */
export interface TimerLag {
	/** Records how late a timer has fired. */
	record(lateMs: number): void;
	/** Expected lateness of the next timer, in milliseconds. */
	readonly averageMs: number;
}

/** Weight of the newest timer; some dozens fire in a second. */
const SMOOTHING_FACTOR = 0.1;

/** Creates an average without timers. */
export function createTimerLag(): TimerLag {
	let averageMs = 0;
	return {
		record: lateMs => {
			averageMs += SMOOTHING_FACTOR * (Math.max(0, lateMs) - averageMs);
		},
		get averageMs() {
			return averageMs;
		},
	};
}
