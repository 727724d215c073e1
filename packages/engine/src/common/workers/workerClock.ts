import type { WorkerState } from './workerState.js';

/** Largest fraction by which a worker's monotonic clock may lag behind real time, as guaranteed by the platform. */
export const MAXIMUM_CLOCK_DRIFT = 0.02;

/**
 * Extrapolates the newest reading of a worker's clock to the local time `now`. The real clock may be ahead by the
 * network delay of the reading, and behind by no more than {@link MAXIMUM_CLOCK_DRIFT}.
 * @returns the clock in milliseconds, or `undefined` before the first reading
 */
export function estimateWorkerClock(worker: WorkerState, now: number): number | undefined {
	return worker.clock === undefined ? undefined : worker.clock.clockMs + (now - worker.clock.readAt);
}

/** Computes the latest local time at which the worker's clock reaches `clockMs`, allowing for clock drift. */
export function latestLocalTime(worker: WorkerState, clockMs: number): number | undefined {
	const { clock } = worker;
	return clock === undefined
		? undefined
		: clock.readAt + Math.max(0, clockMs - clock.clockMs) / (1 - MAXIMUM_CLOCK_DRIFT);
}

/** Upper bound for the age of an answer on arrival, in milliseconds. Calls time out before this. */
export const MAXIMUM_ANSWER_AGE_MS = 300;

/**
 * Checks whether a clock reading must come from an incarnation other than the given one. Answers to orders do not name the
 * incarnation, but the clock starts anew in each one, at any value. A reading that fits may still be one of another incarnation.
 */
export function isFromOtherIncarnation({ clock }: WorkerState, clockMs: number, now: number): boolean {
	if (clock === undefined) {
		return false;
	}
	const elapsedMs = now - clock.readAt;
	const earliestMs = clock.clockMs + elapsedMs * (1 - MAXIMUM_CLOCK_DRIFT) - MAXIMUM_ANSWER_AGE_MS;
	return clockMs < earliestMs || clockMs > clock.clockMs + elapsedMs + MAXIMUM_ANSWER_AGE_MS;
}
