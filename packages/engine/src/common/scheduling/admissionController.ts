import { USEFUL_OBJECTIVE_MULTIPLE } from './stepUrgency.js';

/** Least time after which a refused caller is asked to come back, in milliseconds. */
const MINIMUM_RETRY_DELAY_MS = 1_000;

/** What decides whether a job can still be of use to its caller. */
export interface AdmissionEstimate {
	/** Time that the pool needs for the work that goes before the job, in milliseconds. */
	readonly backlogMs: number;
	/** Time that the pool needs for the job itself when it had the pool for itself, in milliseconds. */
	readonly serviceTimeMs: number;
	/** Longest chain of the job, in milliseconds. */
	readonly criticalPathMs: number;
	/** Time in which the job meets its objective, in milliseconds. */
	readonly objectiveMs: number;
}

/** Refuses jobs that would end too late for anybody. */
export interface AdmissionController {
	/** @returns the time after which the caller should come back; `undefined` to take the job */
	retryAfter(pool: string, facts: AdmissionEstimate, now: number): number | undefined;
}

/**
 * Answers a load far above what a pool can do even with all hosts that may be moved there: whoever would wait beyond the
 * last use of the answer is told so at once. Refused callers get one return time after the other, as the backlog makes room
 * for them, so that they do not come back as one wave.
 */
export function createAdmissionController(): AdmissionController {
	/** When the next refused caller of a pool should come back. */
	const nextRetryAt = new Map<string, number>();
	return {
		retryAfter: (pool, { backlogMs, serviceTimeMs: ownMs, criticalPathMs: chainMs, objectiveMs }, now) => {
			const excessMs = backlogMs + chainMs - USEFUL_OBJECTIVE_MULTIPLE * objectiveMs;
			if (excessMs <= 0) {
				return undefined;
			}
			const untilFeasibleMs = backlogMs + chainMs - objectiveMs;
			const retryAt = Math.max(now + MINIMUM_RETRY_DELAY_MS, now + untilFeasibleMs, nextRetryAt.get(pool) ?? 0);
			nextRetryAt.set(pool, retryAt + ownMs);
			return retryAt - now;
		},
	};
}
