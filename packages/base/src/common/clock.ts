/** A point on this process's monotonic clock, in milliseconds. Never compared between processes. */
export type MonotonicTime = number;

/** Source of time, injected so that tests and replays control it. */
export interface Clock {
	/** Milliseconds on the monotonic clock, which keeps running while the process is paused. */
	now(): MonotonicTime;
	/** Milliseconds since 1970 on the wall clock; only for display. */
	wallNow(): number;
}

/** A clock that advances only on request. */
export interface SteppedClock extends Clock {
	/** Advances the clock. @param milliseconds not negative */
	advance(milliseconds: number): void;
}

/** Creates a manually stepped clock for tests and replays. */
export function createSteppedClock(startAt: MonotonicTime = 0): SteppedClock {
	let current = startAt;
	return {
		now: () => current,
		wallNow: () => current,
		advance: milliseconds => {
			current += milliseconds;
		},
	};
}
