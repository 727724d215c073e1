import type { RunOutcome, WorkerState } from './workerState.js';

/** Number of run outcomes kept for each worker. */
const MAXIMUM_OUTCOMES = 16;

/** Age beyond which an outcome no longer counts against a worker, in milliseconds. */
const OUTCOME_RETENTION_MS = 6_000;

/**
 * Number of consecutive failures that quarantines a worker. Tasks that fail on any worker rarely produce this many in a
 * row.
 */
const CONSECUTIVE_FAILURES = 3;

/** Number of different jobs that the failures must span, since a single faulty job fails on every worker. */
const MINIMUM_FAILED_JOBS = 2;

/**
 * Length of the quarantine after the last failure, in milliseconds. After it, the worker is probed with another task.
 */
const QUARANTINE_MS = 2_000;

/** Load added in placement to a worker whose recent runs have all failed, as a fraction of its resources. */
const MAXIMUM_LOAD_PENALTY = 2;

/** Assessment of a worker that reports itself healthy, derived from the outcomes of its runs. */
export interface WorkerSuspicion {
	/** Load added to the worker in placement, as a fraction of its resources. */
	readonly loadPenalty: number;
	/** Time until which the worker gets no new work; 0 if it is not quarantined. */
	readonly quarantinedUntil: number;
}

/** Adds the outcome of a run and drops the oldest one beyond the limit. */
export function recordOutcome({ outcomes }: Pick<WorkerState, 'outcomes'>, outcome: RunOutcome): void {
	outcomes.push(outcome);
	if (outcomes.length > MAXIMUM_OUTCOMES) {
		outcomes.shift();
	}
}

const noSuspicion: WorkerSuspicion = { loadPenalty: 0, quarantinedUntil: 0 };

/**
 * Assesses a worker by its recent run outcomes. A worker that fails its tasks quickly while reporting itself healthy
 * always has free resources, so without this check it would attract one task after another.
 */
export function suspicionOf({ outcomes }: Pick<WorkerState, 'outcomes'>, now: number): WorkerSuspicion {
	const recent = outcomes.filter(({ endedAt }) => now - endedAt < OUTCOME_RETENTION_MS);
	const failed = recent.filter(({ hasSucceeded }) => !hasSucceeded);
	const last = failed.at(-1);
	if (last === undefined || new Set(failed.map(({ job }) => job)).size < MINIMUM_FAILED_JOBS) {
		return noSuspicion;
	}
	const loadPenalty = (MAXIMUM_LOAD_PENALTY * failed.length) / recent.length;
	const newest = recent.slice(-CONSECUTIVE_FAILURES);
	const isFailing =
		newest.length === CONSECUTIVE_FAILURES &&
		newest.every(({ hasSucceeded }) => !hasSucceeded) &&
		new Set(newest.map(({ job }) => job)).size >= MINIMUM_FAILED_JOBS;
	return { loadPenalty, quarantinedUntil: isFailing ? last.endedAt + QUARANTINE_MS : 0 };
}
