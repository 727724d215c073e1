import type { WorkerState } from './workerState.js';

/** A worker's steady clock may run this much slower than true time; stated by the platform. */
export const MAXIMUM_CLOCK_DRIFT = 0.02;

/**
 * The worker's clock now, by the newest reading. The worker's own clock may be ahead by the time that the reading
 * travelled, never behind by more than its slowness.
 */
export function estimateWorkerClock(worker: WorkerState, now: number): number | undefined {
	return worker.clock === undefined ? undefined : worker.clock.clockMs + (now - worker.clock.readAt);
}

/** The latest local time at which the worker's clock reaches a value. */
export function latestLocalTime(worker: WorkerState, clockMs: number): number | undefined {
	const { clock } = worker;
	return clock === undefined
		? undefined
		: clock.readAt + Math.max(0, clockMs - clock.clockMs) / (1 - MAXIMUM_CLOCK_DRIFT);
}

/** An answer is at most this old when it arrives, in milliseconds; calls without an answer are given up sooner. */
const MAXIMUM_ANSWER_AGE_MS = 300;

/**
 * Whether a reading cannot be of the life that is known: the clock of a worker that starts again begins anew, and answers to
 * orders do not name the life.
 */
export function isFromOtherIncarnation({ clock }: WorkerState, clockMs: number, now: number): boolean {
	return (
		clock !== undefined &&
		clockMs < clock.clockMs + (now - clock.readAt) * (1 - MAXIMUM_CLOCK_DRIFT) - MAXIMUM_ANSWER_AGE_MS
	);
}
