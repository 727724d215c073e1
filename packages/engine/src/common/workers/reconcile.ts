import type { ListedEnd, ListedRun, WorkerListing } from '@chestnutwheel/ports/common/workerService.js';
import type { TaskRun } from '../jobs/job.js';
import { runKey, type WorkerState } from './workerState.js';

/** Readings of one clock closer than this may stand in either order in two answers. */
const CLOCK_READING_TOLERANCE_MS = 20;

/** What a listing says about the runs that were thought to be there. */
export interface Reconciliation {
	/** Ends that were not read before, in order. */
	readonly newEnds: readonly ListedEnd[];
	/** Runs that the worker confirms. */
	readonly confirmed: readonly { readonly run: TaskRun; readonly listed: ListedRun }[];
	/** Runs that are not there and never will be. */
	readonly absent: readonly TaskRun[];
	/** Runs at work that the leader did not know of there. */
	readonly orphaned: readonly ListedRun[];
	/** Keys of starts of an earlier life that can no longer begin. */
	readonly preventedStarts: readonly string[];
}

/**
 * Compares a worker's listing with what the leader believes. The listing is the newest one of the same life.
 * A run that is in neither list is over or never began, unless its start may still be on its way.
 */
export function reconcile(state: WorkerState, listing: WorkerListing): Reconciliation {
	const newEnds = listing.ended.filter(end => end.index > state.lastReadEndIndex);
	const endedKeys = new Set(listing.ended.map(end => runKey(end.task, end.run)));
	const runningByKey = new Map(listing.running.map(run => [runKey(run.task, run.run), run]));
	const confirmed: { run: TaskRun; listed: ListedRun }[] = [];
	const absent: TaskRun[] = [];
	for (const [key, run] of state.runs) {
		const listed = runningByKey.get(key);
		if (listed !== undefined) {
			confirmed.push({ run, listed });
		} else if (!endedKeys.has(key) && isAbsenceConclusive(run, listing.clockMs)) {
			absent.push(run);
		}
	}
	const orphaned = listing.running.filter(run => !state.runs.has(runKey(run.task, run.run)));
	const preventedStarts = [...state.blockedStarts]
		.filter(
			([key, { stoppedClockMs }]) =>
				!runningByKey.has(key) &&
				stoppedClockMs !== undefined &&
				listing.clockMs > stoppedClockMs + CLOCK_READING_TOLERANCE_MS,
		)
		.map(([key]) => key);
	return { newEnds, confirmed, absent, orphaned, preventedStarts };
}

/** Whether a run that a listing does not name can no longer begin or be about to be listed. */
function isAbsenceConclusive(run: TaskRun, clockMs: number): boolean {
	const latestStartClockMs = run.confirmedClockMs ?? run.startByMs;
	return clockMs > latestStartClockMs + CLOCK_READING_TOLERANCE_MS;
}
