import type { TaskRun } from '../jobs/job.js';

/** Progress from which on the speed of a run is known well enough to forecast its end, in percent. */
const RELIABLE_PROGRESS_PERCENT = 10;

/**
 * Fraction of the time that a run has taken so far by which it is at least expected to go on near the end of its expected duration.
 * The longer such a run has taken, the longer its task is likely to be.
 */
const OVERRUN_FRACTION = 0.25;

/**
 * Forecasts how much longer a run takes, from its listed progress or else from the expected duration of its task.
 * @param expectedMs expected duration of the whole run where it runs, in milliseconds
 * @returns the remaining time in milliseconds; `Infinity` for a run of a service task
 */
export function expectedRemainingMs(run: TaskRun, expectedMs: number, now: number): number {
	if (run.task.step.spec.isLasting) {
		return Infinity;
	}
	const elapsedMs = Math.max(0, now - (run.confirmedAt ?? run.decidedAt));
	const overrunMs = OVERRUN_FRACTION * elapsedMs;
	const byProgressMs = totalMsByProgress(run);
	if (byProgressMs !== undefined) {
		return byProgressMs > elapsedMs ? byProgressMs - elapsedMs : overrunMs;
	}
	return Math.max(expectedMs - elapsedMs, overrunMs);
}

/** Extrapolates the duration of a run from its progress; `undefined` if the progress says too little. */
function totalMsByProgress({ progress, firstClockMs, startCheckpoint }: TaskRun): number | undefined {
	// A run that resumes from a checkpoint begins with progress that it has not made.
	if (progress === undefined || firstClockMs === undefined || startCheckpoint !== '') {
		return undefined;
	}
	return progress.percent < RELIABLE_PROGRESS_PERCENT
		? undefined
		: ((progress.clockMs - firstClockMs) * 100) / progress.percent;
}
