import type { MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';

/** Number of jobs that are remembered. The oldest is forgotten first, and counted. */
const MAXIMUM_JOBS = 10_000;

/** Time for which a job is remembered, in milliseconds. Callers have given up long before. */
const REMEMBERED_FOR_MS = 60_000;

/**
 * Jobs that an earlier leader was sent and did not answer for. A leader that has not read the journal cannot know whether they
 * are stored, so that none of their submissions may be refused as never run, through whichever daemon it arrives.
 */
export interface UncertainSubmissions {
	add(job: string, now: MonotonicTime): void;
	has(job: string, now: MonotonicTime): boolean;
}

/** Creates an empty set of uncertain submissions. */
export function createUncertainSubmissions(counters: Counters): UncertainSubmissions {
	/** Deadlines by job, in the order in which they pass. */
	const forgetAt = new Map<string, MonotonicTime>();

	const forgetOldest = (now: MonotonicTime): void => {
		for (const [job, deadline] of forgetAt) {
			if (deadline > now && forgetAt.size <= MAXIMUM_JOBS) {
				return;
			}
			if (deadline > now) {
				counters.add('uncertain_submissions_dropped_total');
			}
			forgetAt.delete(job);
		}
	};

	return {
		add: (job, now) => {
			forgetAt.delete(job);
			forgetAt.set(job, now + REMEMBERED_FOR_MS);
			forgetOldest(now);
		},
		has: (job, now) => (forgetAt.get(job) ?? -Infinity) > now,
	};
}
