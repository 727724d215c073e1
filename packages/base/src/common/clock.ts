/** A point on this process's monotonic clock, in milliseconds. Never compared between processes. */
export type MonotonicTime = number;

/** Source of time, injected so that tests and replays step it. */
export interface Clock {
	/** Milliseconds on the monotonic clock. Goes on while the process is paused. */
	now(): MonotonicTime;
	/** Milliseconds since 1970 on the wall clock; only for display. */
	wallNow(): number;
}

/** A clock that moves only when it is told to. */
export interface SteppedClock extends Clock {
	/** Moves the clock forward. @param milliseconds not negative */
	advance(milliseconds: number): void;
}

/** Creates a clock for tests and replays that starts at zero. */
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
