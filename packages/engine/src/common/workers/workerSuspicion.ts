import type { RunOutcome, WorkerState } from './workerState.js';

/** Outcomes of runs that are remembered of a worker. */
const MAXIMUM_OUTCOMES = 16;

/** Outcomes older than this say nothing about a worker any more, in milliseconds. */
const OUTCOME_RETENTION_MS = 6_000;

/** Failures in a row after which a worker is set aside; by chance alone hopeless tasks rarely come that close. */
const CONSECUTIVE_FAILURES = 3;

/** Jobs that these failures must belong to, since one hopeless job fails everywhere. */
const MINIMUM_FAILED_JOBS = 2;

/** Time for which a worker is set aside after its last failure; then one more task tries it. */
const QUARANTINE_MS = 2_000;

/** Load that a worker gets added in placement when all its recent runs have failed, as a share of its room. */
const MAXIMUM_LOAD_PENALTY = 2;

/** What the outcomes of its runs say about a worker whose own signs are good. */
export interface WorkerSuspicion {
	/** Load that the doubt adds to the worker in placement. */
	readonly loadPenalty: number;
	/** Until when the worker gets no new work; 0 for none. */
	readonly quarantinedUntil: number;
}

/** Remembers how a run ended. */
export function recordOutcome({ outcomes }: Pick<WorkerState, 'outcomes'>, outcome: RunOutcome): void {
	outcomes.push(outcome);
	if (outcomes.length > MAXIMUM_OUTCOMES) {
		outcomes.shift();
	}
}

const noSuspicion: WorkerSuspicion = { loadPenalty: 0, quarantinedUntil: 0 };

/**
 * Judges a worker that fails what it starts while it calls itself sound. Such a worker is always free, so that without this
 * it would draw task after task.
 */
export function suspicionOf({ outcomes }: Pick<WorkerState, 'outcomes'>, now: number): WorkerSuspicion {
	const recent = outcomes.filter(({ endedAt: at }) => now - at < OUTCOME_RETENTION_MS);
	const failed = recent.filter(({ hasSucceeded: good }) => !good);
	const last = failed.at(-1);
	if (last === undefined || new Set(failed.map(({ job }) => job)).size < MINIMUM_FAILED_JOBS) {
		return noSuspicion;
	}
	const loadPenalty = (MAXIMUM_LOAD_PENALTY * failed.length) / recent.length;
	const newest = recent.slice(-CONSECUTIVE_FAILURES);
	const isFailing =
		newest.length === CONSECUTIVE_FAILURES &&
		newest.every(({ hasSucceeded: good }) => !good) &&
		new Set(newest.map(({ job }) => job)).size >= MINIMUM_FAILED_JOBS;
	return { loadPenalty, quarantinedUntil: isFailing ? last.endedAt + QUARANTINE_MS : 0 };
}
