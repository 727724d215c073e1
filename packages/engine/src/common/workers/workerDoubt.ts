import type { RunOutcome, WorkerState } from './workerState.js';

/** Outcomes of runs that are remembered of a worker. */
const REMEMBERED_OUTCOMES = 16;

/** Outcomes older than this say nothing about a worker any more, in milliseconds. */
const OUTCOME_AGE_MS = 6_000;

/** Failures in a row after which a worker is set aside; by chance alone hopeless tasks rarely come that close. */
const FAILURES_IN_A_ROW = 3;

/** Jobs that these failures must belong to, since one hopeless job fails everywhere. */
const LEAST_JOBS = 2;

/** Time for which a worker is set aside after its last failure; then one more task tries it. */
const SET_ASIDE_MS = 2_000;

/** Load that a worker gets added in placement when all its recent runs have failed, as a share of its room. */
const FULL_DOUBT = 2;

/** What the outcomes of its runs say about a worker whose own signs are good. */
export interface WorkerDoubt {
	/** Load that the doubt adds to the worker in placement. */
	readonly load: number;
	/** Until when the worker gets no new work; 0 for none. */
	readonly asideUntil: number;
}

/** Remembers how a run ended. */
export function recordOutcome({ outcomes }: Pick<WorkerState, 'outcomes'>, outcome: RunOutcome): void {
	outcomes.push(outcome);
	if (outcomes.length > REMEMBERED_OUTCOMES) {
		outcomes.shift();
	}
}

const noDoubt: WorkerDoubt = { load: 0, asideUntil: 0 };

/**
 * Judges a worker that fails what it starts while it calls itself sound. Such a worker is always free, so that without this
 * it would draw task after task.
 */
export function doubtOf({ outcomes }: Pick<WorkerState, 'outcomes'>, now: number): WorkerDoubt {
	const recent = outcomes.filter(({ at }) => now - at < OUTCOME_AGE_MS);
	const failed = recent.filter(({ good }) => !good);
	const last = failed.at(-1);
	if (last === undefined || new Set(failed.map(({ job }) => job)).size < LEAST_JOBS) {
		return noDoubt;
	}
	const load = (FULL_DOUBT * failed.length) / recent.length;
	const row = recent.slice(-FAILURES_IN_A_ROW);
	const isFailing =
		row.length === FAILURES_IN_A_ROW &&
		row.every(({ good }) => !good) &&
		new Set(row.map(({ job }) => job)).size >= LEAST_JOBS;
	return { load, asideUntil: isFailing ? last.at + SET_ASIDE_MS : 0 };
}
