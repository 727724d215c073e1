import type { ListedEnd, ListedRun, WorkerListing } from '@chestnutwheel/ports/common/workerService.js';
import type { TaskRun } from '../jobs/job.js';
import { isFenced, runKey, type WorkerState } from './workerState.js';

/** Clock readings closer than this in two answers may be out of order, in milliseconds. */
const CLOCK_READING_TOLERANCE_MS = 20;

/** Differences between a worker's listing and the leader's view of its runs. */
export interface Reconciliation {
	/** Ends that have not been read before, in index order. */
	readonly newEnds: readonly ListedEnd[];
	/** Runs that the worker lists as running. */
	readonly confirmed: readonly { readonly run: TaskRun; readonly listed: ListedRun }[];
	/** Runs that are not on the worker and can no longer start there. */
	readonly absent: readonly TaskRun[];
	/** Runs on the worker that the leader does not know of. */
	readonly orphaned: readonly ListedRun[];
	/** Keys of starts sent to an earlier incarnation that this one has not executed and refuses from now on. */
	readonly preventedStarts: readonly string[];
}

/**
 * Compares a worker's listing with the leader's view. The listing must be the newest one of the same incarnation. A run
 * that is listed neither as running nor as ended is over or never began, unless its start may still be in flight or its end
 * may wait behind those listed.
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
		} else if (
			isFenced(state) &&
			!listing.mayHaveMoreEnds &&
			!endedKeys.has(key) &&
			isAbsenceConclusive(run, listing.clockMs)
		) {
			absent.push(run);
		}
	}
	const orphaned = listing.running.filter(run => !state.runs.has(runKey(run.task, run.run)));
	const preventedStarts =
		isFenced(state) && !listing.mayHaveMoreEnds
			? [...state.blockedStarts.keys()].filter(key => !runningByKey.has(key))
			: [];
	return { newEnds, confirmed, absent, orphaned, preventedStarts };
}

/** Returns the keys of all runs that a worker lists, as running or as ended. */
export function listedRunKeys({ running, ended }: WorkerListing): ReadonlySet<string> {
	return new Set([...running, ...ended].map(({ task, run }) => runKey(task, run)));
}

/**
 * Checks that a run missing from a listing taken at `clockMs` can neither start later nor appear in a later listing.
 */
function isAbsenceConclusive(run: TaskRun, clockMs: number): boolean {
	const latestStartClockMs = run.confirmedClockMs ?? run.startByMs;
	return clockMs > latestStartClockMs + CLOCK_READING_TOLERANCE_MS;
}
