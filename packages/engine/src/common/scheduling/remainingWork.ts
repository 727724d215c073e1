import { scaleResources, type Resources } from '@chestnutwheel/ports/common/resources.js';
import type { Job, Step, TaskRun } from '../jobs/job.js';
import { effectiveDemand } from './placement.js';

/** Progress in percent from which the pace of a run says more about its end than the durations of its queue. */
const TELLING_PERCENT = 10;

/** Fraction of the expected duration that a run is assumed to need once it has taken longer than expected. */
const OVERRUN_FRACTION = 0.1;

/**
 * Returns the time until a run ends, in milliseconds, from its progress, or from its expected duration while it has shown
 * little progress.
 */
export function remainingRunMs({ progress, confirmedAt, decidedAt }: TaskRun, expectedMs: number, now: number): number {
	const elapsedMs = now - (confirmedAt ?? decidedAt);
	if (progress !== undefined && progress.percent >= TELLING_PERCENT && elapsedMs > 0) {
		return (elapsedMs * Math.max(0, 100 - progress.percent)) / progress.percent;
	}
	return Math.max(OVERRUN_FRACTION * expectedMs, expectedMs - elapsedMs);
}

/** Work of a job that is still to be done, in resources times milliseconds. */
export interface RemainingWork {
	/** Tasks that run now. */
	readonly running: readonly { readonly demand: Resources; readonly remainingMs: number }[];
	/** Work of its tasks that wait, by step. */
	readonly waiting: readonly { readonly step: Step; readonly work: Resources; readonly taskMs: number }[];
}

/**
 * Sums what is still to be done of the steps of a job, without its service tasks.
 * @param expectedMs returns the time for which a task of a step occupies its resources, in milliseconds
 */
export function remainingWork(job: Job, expectedMs: (step: Step) => number, now: number): RemainingWork {
	const running: { demand: Resources; remainingMs: number }[] = [];
	const waiting: { step: Step; work: Resources; taskMs: number }[] = [];
	for (const { steps } of job.occurrences.values()) {
		for (const step of steps) {
			const { spec, waitingCount, doneCount, tasks } = step;
			if (spec.isLasting || doneCount >= tasks.length) {
				continue;
			}
			const demand = effectiveDemand(spec);
			const taskMs = expectedMs(step);
			if (waitingCount > 0) {
				waiting.push({ step, work: scaleResources(demand, waitingCount * taskMs), taskMs });
			}
			for (const { state, runs } of waitingCount + doneCount < tasks.length ? tasks : []) {
				const newest = state === 'active' ? runs.at(-1) : undefined;
				if (newest !== undefined) {
					running.push({ demand, remainingMs: remainingRunMs(newest, taskMs, now) });
				}
			}
		}
	}
	return { running, waiting };
}

/** A run that holds a part of the room of its pool. */
export interface RoomHold {
	/** Part of the room, 0 to 1. */
	readonly fraction: number;
	/** Time for which it holds that part, in milliseconds. */
	readonly forMs: number;
}

/** Returns a function that tells the work of the runs within a time, both in milliseconds of the whole room. */
export function createRunningWork(holds: readonly RoomHold[]): (untilMs: number) => number {
	const sorted = holds.toSorted((left, right) => left.forMs - right.forMs);
	/** Work and fractions of the holds before each one. */
	const before: { readonly workMs: number; readonly fraction: number }[] = [];
	let workMs = 0;
	let fraction = 0;
	for (const hold of sorted) {
		before.push({ workMs, fraction });
		workMs += hold.fraction * hold.forMs;
		fraction += hold.fraction;
	}
	return untilMs => {
		let low = 0;
		let high = sorted.length;
		while (low < high) {
			const middle = (low + high) >> 1;
			if ((sorted[middle]?.forMs ?? Infinity) <= untilMs) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}
		const ended = before[low] ?? { workMs, fraction };
		return ended.workMs + (fraction - ended.fraction) * Math.max(0, untilMs);
	};
}
