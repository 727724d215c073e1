import type { Counters } from '@chestnutwheel/base/common/counters.js';

/** The loss of a worker, which has crashed or does not answer any more. */
export interface LostWorker {
	/** Key of the incarnation. */
	readonly key: string;
	readonly pool: string;
	/** Names of the tasks that may be the cause. */
	readonly suspects: ReadonlySet<string>;
}

/**
 * How often workers of a pool are lost for other reasons than a given task, which answers the load of workers that crash time and
 * again by themselves: a task that was started on some of them is no more likely to be the cause than chance has it.
 */
export interface CrashRate {
	/** Records a loss. An incarnation counts once. */
	record(lost: LostWorker, now: number): void;
	/**
	 * Returns the estimated probability that a worker of the pool is lost while it starts a task, for a reason other than that task.
	 * @param workerCount workers of the pool
	 */
	chanceDuringStart(task: string, pool: string, workerCount: number, now: number): number;
}

/** Time for which a loss counts, in milliseconds. */
const WINDOW_MS = 30_000;

/** Time for which a start is exposed to a loss that would be attributed to it, in milliseconds. */
const START_EXPOSURE_MS = 250;

/** The estimate begins as if one worker had been lost in this time of observation of one worker, in milliseconds. */
const PRIOR_OBSERVATION_MS = 120_000;

/** Maximum number of losses that are remembered; the oldest are dropped first. */
const MAXIMUM_LOSSES = 500;

/** Creates the estimate. @param startedAt beginning of the observation */
export function createCrashRate(counters: Counters, startedAt: () => number): CrashRate {
	const losses = new Map<string, LostWorker & { readonly at: number }>();
	return {
		record: (lost, now) => {
			for (const [key, { at }] of losses) {
				if (now - at > WINDOW_MS) {
					losses.delete(key);
				}
			}
			// A crash that becomes known after the runs of a silent worker were given up has no suspects left.
			const known = losses.get(lost.key);
			const suspects = new Set([...(known?.suspects ?? []), ...lost.suspects]);
			losses.set(lost.key, { ...lost, suspects, at: known?.at ?? now });
			const [oldest] = losses.keys();
			if (losses.size > MAXIMUM_LOSSES && oldest !== undefined) {
				losses.delete(oldest);
				counters.add('crash_records_dropped_total');
			}
		},
		chanceDuringStart: (task, pool, workerCount, now) => {
			const others = [...losses.values()].filter(
				lost => lost.pool === pool && now - lost.at <= WINDOW_MS && !lost.suspects.has(task),
			).length;
			const observedMs = Math.min(WINDOW_MS, Math.max(0, now - startedAt())) * workerCount;
			return Math.min(1, (START_EXPOSURE_MS * (others + 1)) / (observedMs + PRIOR_OBSERVATION_MS));
		},
	};
}
