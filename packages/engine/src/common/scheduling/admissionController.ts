import { USEFUL_OBJECTIVE_MULTIPLE } from './stepUrgency.js';

/** Shortest retry delay given to a refused caller. */
const MINIMUM_RETRY_DELAY_MS = 1_000;

/** Estimated times that decide whether a job can end while its result is still useful to the caller. */
export interface AdmissionEstimate {
	/** Time in which the pool completes the work ahead of the job, in milliseconds. */
	readonly backlogMs: number;
	/** Time in which the whole pool would complete the job alone, in milliseconds. */
	readonly serviceTimeMs: number;
	/** Length of the critical path of the job, in milliseconds. */
	readonly criticalPathMs: number;
	/** Time from acceptance within which the job meets its objective, in milliseconds. */
	readonly objectiveMs: number;
}

/** Refuses jobs that would end too late to be useful. */
export interface AdmissionController {
	/** Returns the retry delay for the caller in milliseconds; `undefined` if the job is admitted. */
	retryAfter(pool: string, estimate: AdmissionEstimate, now: number): number | undefined;
}

/**
 * Creates an admission controller for overload beyond the capacity of a pool including all hosts that may be moved
 * there. A job whose result would come too late is refused at once. The retry times of refused callers are staggered by
 * the service time of their jobs, so that the callers do not return all at once.
 */
export function createAdmissionController(): AdmissionController {
	/** Earliest retry time for the next refused caller, by pool. */
	const nextRetryAt = new Map<string, number>();
	return {
		retryAfter: (pool, { backlogMs, serviceTimeMs, criticalPathMs, objectiveMs }, now) => {
			const excessMs = backlogMs + criticalPathMs - USEFUL_OBJECTIVE_MULTIPLE * objectiveMs;
			if (excessMs <= 0) {
				return undefined;
			}
			const untilFeasibleMs = backlogMs + criticalPathMs - objectiveMs;
			const retryAt = Math.max(now + MINIMUM_RETRY_DELAY_MS, now + untilFeasibleMs, nextRetryAt.get(pool) ?? 0);
			nextRetryAt.set(pool, retryAt + serviceTimeMs);
			return retryAt - now;
		},
	};
}
