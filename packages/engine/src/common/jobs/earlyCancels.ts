import type { MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { EarlyCancel } from './journalEvent.js';

/** Time for which a cancel is remembered, in milliseconds. A daemon repeats a submission for at most ten seconds. */
export const EARLY_CANCEL_KEPT_MS = 60_000;

/** Number of cancels that are remembered. The oldest is dropped first, and counted. */
const MAXIMUM_CANCELS = 10_000;

/**
 * Cancels of jobs that the leader did not know. The submission of such a job may still be on its way, and must not start tasks
 * once its cancel has been acknowledged.
 */
export interface EarlyCancels {
	/**
	 * Remembers cancels whose records were written or read at `now`. The later of two deadlines of a cancel applies.
	 * @param recordedAt earliest time at which the record may have been written; `-Infinity` if it was read from the journal
	 */
	add(cancels: readonly EarlyCancel[], now: MonotonicTime, recordedAt?: MonotonicTime): void;
	/** Whether a team has cancelled a job that was not known. @param team `undefined` for an open queue */
	has(job: string, team: string | undefined, now: MonotonicTime): boolean;
	/** Returns the cancels that are still to be remembered at `now`, the oldest first. */
	current(now: MonotonicTime): readonly EarlyCancel[];
	/** Whether the record of a cancel may have been written before the given time. */
	hasRecordBefore(time: MonotonicTime): boolean;
	/** Removes the cancels that need no longer be remembered. */
	removeExpired(now: MonotonicTime): void;
	/** Number of cancels. */
	readonly size: number;
}

interface Entry {
	readonly job: string;
	readonly team: string;
	readonly deadline: MonotonicTime;
	readonly recordedAt: MonotonicTime;
}

/** Creates an empty table of early cancels. */
export function createEarlyCancels(counters: Counters): EarlyCancels {
	/** Entries by job and team, in the order in which they were added. */
	const entries = new Map<string, Entry>();

	const keyOf = (job: string, team: string): string => JSON.stringify([job, team]);

	const dropOldest = (now: MonotonicTime): void => {
		for (const [key, { deadline }] of entries) {
			if (entries.size <= MAXIMUM_CANCELS) {
				return;
			}
			entries.delete(key);
			if (deadline > now) {
				counters.add('early_cancels_dropped_total');
			}
		}
	};

	return {
		add: (cancels, now, recordedAt = now) => {
			for (const [job, team, keptMs] of cancels) {
				const key = keyOf(job, team);
				const deadline = Math.max(entries.get(key)?.deadline ?? -Infinity, now + keptMs);
				entries.delete(key);
				entries.set(key, { job, team, deadline, recordedAt });
			}
			dropOldest(now);
		},
		has: (job, team, now) => (entries.get(keyOf(job, team ?? ''))?.deadline ?? -Infinity) > now,
		current: now =>
			[...entries.values()]
				.filter(({ deadline }) => deadline > now)
				.map(({ job, team, deadline }) => [job, team, Math.ceil(deadline - now)]),
		hasRecordBefore: time => [...entries.values()].some(({ recordedAt }) => recordedAt < time),
		removeExpired: now => {
			for (const [key, { deadline }] of entries) {
				if (deadline <= now) {
					entries.delete(key);
				}
			}
		},
		get size() {
			return entries.size;
		},
	};
}
