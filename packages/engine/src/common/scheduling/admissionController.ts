import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { createReturningCallers } from './returningCallers.js';
import { USEFUL_OBJECTIVE_MULTIPLE } from './stepUrgency.js';

/** Shortest retry delay given to a refused caller. */
const MINIMUM_RETRY_DELAY_MS = 1_000;

/** Estimated times that decide whether a job can end while its result is still useful to the caller. */
export interface AdmissionEstimate {
	readonly job: string;
	readonly team: string;
	/** Time in which the pool completes the work that runs before the job, in milliseconds. */
	readonly backlogMs: number;
	/** Time in which the whole pool would complete the job alone, in milliseconds. */
	readonly serviceTimeMs: number;
	/** Length of the critical path of the job, in milliseconds. */
	readonly criticalPathMs: number;
	/** Time from the first attempt within which the job meets its objective, in milliseconds. */
	readonly objectiveMs: number;
	/** Share of the pool that the team may use, 0 to 1. */
	readonly share: number;
}

/** Refuses jobs that would end too late to be useful. */
export interface AdmissionController {
	/**
	 * Returns the time from which the objective of a job counts: that of its first refusal if it returns while it can still be
	 * useful, otherwise now.
	 */
	firstAskedAt(job: string, times: Pick<AdmissionEstimate, 'criticalPathMs' | 'objectiveMs'>, now: number): number;
	/** Returns the retry delay for the caller in milliseconds; `undefined` if the job is admitted. */
	retryAfter(pool: string, estimate: AdmissionEstimate, now: number): number | undefined;
}

/**
 * Creates an admission controller for overload beyond the capacity of a pool including all hosts that may be moved
 * there. A job whose result would come too late is refused at once. Its caller is told when the work before it will be
 * done, after the callers that were refused earlier: those of its own team by the share of the team, or all of them if
 * that is sooner. No caller is told a time at which an idle pool could not serve it usefully any more.
 */
export function createAdmissionController(counters: Counters): AdmissionController {
	const returning = createReturningCallers(counters);

	const firstAskedAt: AdmissionController['firstAskedAt'] = (job, { criticalPathMs, objectiveMs }, now) => {
		const firstRefusedAt = returning.placeOf(job, now)?.firstRefusedAt ?? now;
		return now + criticalPathMs <= firstRefusedAt + USEFUL_OBJECTIVE_MULTIPLE * objectiveMs ? firstRefusedAt : now;
	};

	return {
		firstAskedAt,
		retryAfter: (pool, estimate, now) => {
			const { job, team, backlogMs, serviceTimeMs, criticalPathMs, objectiveMs, share } = estimate;
			const firstRefusedAt = firstAskedAt(job, estimate, now);
			const usefulForMs = firstRefusedAt + USEFUL_OBJECTIVE_MULTIPLE * objectiveMs - now;
			if (backlogMs + criticalPathMs <= usefulForMs) {
				returning.release(job);
				return undefined;
			}
			const heldMs = Math.min(
				returning.heldMs(pool, undefined, job, now),
				returning.heldMs(pool, team, job, now) / Math.max(1e-3, share),
			);
			const untilFeasibleMs = backlogMs + criticalPathMs - objectiveMs + heldMs;
			const latestMs = usefulForMs - criticalPathMs;
			const delayMs = Math.max(MINIMUM_RETRY_DELAY_MS, Math.min(untilFeasibleMs, latestMs));
			returning.hold({ job, pool, team, firstRefusedAt, returnsAt: now + delayMs, workMs: serviceTimeMs }, now);
			return delayMs;
		},
	};
}
