import { addResources, noResources, scaleResources, type Resources } from '@chestnutwheel/ports/common/resources.js';

/** Shortest time over which arrivals are counted to tell a peak from the time between peaks, in milliseconds. */
const MINIMUM_WINDOW_MS = 500;

/** Time over which arrivals are counted before the rate of the pool's peaks is known, in milliseconds. */
const FIRST_WINDOW_MS = 1_000;

/** Longest time over which arrivals are counted, in milliseconds. A slower load cannot be told from random gaps in time. */
const MAXIMUM_WINDOW_MS = 3_000;

/** Number of jobs that a window holds at the rate of a peak, so that random gaps rarely look like the end of the peak. */
const JOBS_PER_WINDOW = 8;

/** Number of jobs in a window with which a peak may begin. */
const JOBS_AT_BEGIN = 3;

/** A peak has at least this many times the rate of the time before it. */
const PEAK_CONTRAST = 3;

/** A peak has ended when the rate falls below this fraction of its mean. */
const END_FRACTION = 0.25;

/** A peak that seemed to have ended goes on when the rate is at least this fraction of its mean. */
const RESUMED_FRACTION = 0.5;

/** Time over which the rate between peaks is averaged, in milliseconds. */
const CALM_AVERAGE_MS = 30_000;

/** A peak that resumes within this many windows of its end is the same peak. */
const RESUMED_WITHIN_WINDOWS = 2;

/** A peak of the arrivals of a pool. */
export interface Turn {
	readonly beganAt: number;
	/** Time of the last arrivals of the peak; `undefined` while it lasts. */
	endedAt: number | undefined;
	/** Work that arrived in the peak, in resources times milliseconds. */
	work: Resources;
	jobs: number;
}

/** Work that a pool has received since the previous look at it. */
export interface ArrivedWork {
	readonly jobs: number;
	/** Resources times milliseconds. */
	readonly work: Resources;
}

interface TimedArrival extends ArrivedWork {
	readonly at: number;
}

/** A change of a pool's peaks. */
export interface TurnChange {
	readonly kind: 'began' | 'ended' | 'resumed';
	readonly turn: Turn;
}

/** Finds the peaks in the arrivals of one pool: times with several times the rate of the time before. */
export interface TurnDetector {
	/**
	 * Counts the work that arrived since the previous call.
	 * @returns the peak that has been found to have begun or ended, or to go on although it seemed to have ended
	 */
	observe(arrived: ArrivedWork, now: number): TurnChange | undefined;
	/** Whether few arrivals come in comparison with the pool's newest peak. */
	readonly isCalm: boolean;
	/** Time by which the begin of a peak may differ from the first arrival that shows it, in milliseconds. */
	readonly toleranceMs: number;
	/** Time after which a peak that was due has not come, in milliseconds. */
	readonly missingAfterMs: number;
}

/** Returns the resources that the work of a peak keeps busy while it lasts. */
export function turnResources({ beganAt, endedAt, work }: Turn, now: number): Resources {
	return scaleResources(work, 1 / Math.max(MINIMUM_WINDOW_MS, (endedAt ?? now) - beganAt));
}

/**
 * Creates a detector that has seen no arrivals. Arrivals that are under way when it begins are no peak, since their begin is
 * not known.
 */
export function createTurnDetector(): TurnDetector {
	/** Arrivals of the longest window, at most one entry a call. */
	let history: TimedArrival[] = [];
	/** Those of the present window. */
	let recent: readonly TimedArrival[] = [];
	let firstLookAt: number | undefined;
	let windowMs = FIRST_WINDOW_MS;
	/** Jobs per millisecond between peaks. */
	let calmRate = 0;
	let lookedAt = 0;
	let turn: Turn | undefined;
	/** Whether the peak has enough jobs to be told from random arrivals. */
	let isConfirmed = false;
	/** Whether the arrivals since the first look have been few for a whole window. */
	let hasSeenCalm = false;
	let lastBusyAt = 0;
	/** Time from which arrivals are not counted in the newest peak. */
	let calmAt = 0;
	let calmSince: number | undefined;
	let lastTurn: Turn | undefined;
	let newestRate = 0;

	const rateOf = ({ jobs, beganAt }: Turn, until: number): number =>
		jobs / Math.max(MINIMUM_WINDOW_MS, until - beganAt);

	/**
	 * Returns the arrivals since the most likely time at which the rate rose from that between peaks to the present one: each
	 * arrival speaks for the peak, and the time without arrivals against it.
	 */
	const arrivalsSinceRise = (now: number): readonly TimedArrival[] => {
		const peakRate = recent.reduce((sum, { jobs }) => sum + jobs, 0) / windowMs;
		const lowRate = Math.max(calmRate, 1 / CALM_AVERAGE_MS);
		let jobs = 0;
		let best = { index: history.length, likelihood: -Infinity };
		for (let index = history.length - 1; index >= 0 && (history[index]?.at ?? 0) > calmAt; index--) {
			jobs += history[index]?.jobs ?? 0;
			const elapsedMs = now - (history[index]?.at ?? now);
			const likelihood = jobs * Math.log(peakRate / lowRate) - (peakRate - lowRate) * elapsedMs;
			if (likelihood > best.likelihood) {
				best = { index, likelihood };
			}
		}
		return history.slice(best.index);
	};

	const begin = (now: number): TurnChange | undefined => {
		const newest = recent.filter(({ at }) => at > calmAt);
		const [first] = newest;
		lastBusyAt = now;
		if (lastTurn?.endedAt !== undefined && (first?.at ?? now) <= lastTurn.endedAt + RESUMED_WITHIN_WINDOWS * windowMs) {
			turn = lastTurn;
			turn.endedAt = undefined;
			turn.jobs += newest.reduce((sum, { jobs }) => sum + jobs, 0);
			turn.work = newest.reduce((sum, { work }) => addResources(sum, work), turn.work);
			return { kind: 'resumed', turn };
		}
		turn = createTurn(newest, now);
		isConfirmed = false;
		return undefined;
	};

	const observeCalm = (rate: number, now: number): TurnChange | undefined => {
		const jobs = recent.reduce((sum, arrived) => sum + arrived.jobs, 0);
		const isAfterTurn = now <= (lastTurn?.endedAt ?? -Infinity) + (RESUMED_WITHIN_WINDOWS + 1) * windowMs;
		const resumesAt = isAfterTurn && lastTurn !== undefined ? RESUMED_FRACTION * rateOf(lastTurn, lastBusyAt) : 0;
		if (jobs >= JOBS_AT_BEGIN && rate >= Math.max(resumesAt, PEAK_CONTRAST * calmRate) && hasSeenCalm) {
			return begin(now);
		}
		calmSince ??= lookedAt;
		const averagedMs = Math.min(CALM_AVERAGE_MS, Math.max(windowMs, now - calmSince));
		calmRate += Math.min(1, (now - lookedAt) / averagedMs) * (rate - calmRate);
		hasSeenCalm ||= now - (firstLookAt ?? now) >= MAXIMUM_WINDOW_MS && jobs < JOBS_AT_BEGIN;
		return undefined;
	};

	const observeTurn = (current: Turn, rate: number, now: number): TurnChange | undefined => {
		const meanRate = rateOf(current, now);
		const isOld = now >= current.beganAt + MAXIMUM_WINDOW_MS;
		if (isOld && rateOf(current, lastBusyAt) < JOBS_PER_WINDOW / MAXIMUM_WINDOW_MS) {
			calmRate = meanRate;
			return finish(current, now);
		}
		if (rate >= END_FRACTION * meanRate) {
			lastBusyAt = recent.at(-1)?.at ?? now;
		} else if (now >= lastBusyAt + windowMs) {
			return finish(current, now);
		}
		if (!isConfirmed && current.jobs >= JOBS_PER_WINDOW + JOBS_AT_BEGIN && now >= current.beganAt + windowMs) {
			isConfirmed = meanRate >= Math.max(PEAK_CONTRAST * calmRate, JOBS_PER_WINDOW / MAXIMUM_WINDOW_MS);
			windowMs = windowFor(meanRate);
			const isRecent = now < current.beganAt + MAXIMUM_WINDOW_MS;
			const confirmed = isRecent ? createTurn(arrivalsSinceRise(now), now) : current;
			turn = isConfirmed ? confirmed : current;
			return isConfirmed ? { kind: 'began', turn } : undefined;
		}
		return undefined;
	};

	const finish = (current: Turn, now: number): TurnChange | undefined => {
		turn = undefined;
		calmAt = now;
		if (!isConfirmed) {
			return undefined;
		}
		current.endedAt = Math.max(lastBusyAt, current.beganAt + 1);
		lastTurn = current;
		windowMs = windowFor(rateOf(current, current.endedAt));
		return { kind: 'ended', turn: current };
	};

	return {
		observe: (arrived, now) => {
			firstLookAt ??= now;
			if (arrived.jobs > 0) {
				history.push({ ...arrived, at: now });
			}
			history = history.filter(({ at }) => at > now - MAXIMUM_WINDOW_MS);
			recent = history.filter(({ at }) => at > now - windowMs);
			const rate = recent.reduce((sum, { jobs }) => sum + jobs, 0) / windowMs;
			newestRate = rate;
			if (turn === undefined) {
				const change = observeCalm(rate, now);
				lookedAt = now;
				return change;
			}
			lookedAt = now;
			turn.jobs += arrived.jobs;
			turn.work = addResources(turn.work, arrived.work);
			return observeTurn(turn, rate, now);
		},
		get isCalm() {
			return lastTurn?.endedAt !== undefined && newestRate < END_FRACTION * rateOf(lastTurn, lastTurn.endedAt);
		},
		get toleranceMs() {
			return Math.max(MINIMUM_WINDOW_MS, windowMs / 2);
		},
		get missingAfterMs() {
			return FIRST_WINDOW_MS + 2 * windowMs;
		},
	};
}

function createTurn(arrivals: readonly TimedArrival[], now: number): Turn {
	return {
		beganAt: arrivals[0]?.at ?? now,
		endedAt: undefined,
		work: arrivals.reduce((sum, { work }) => addResources(sum, work), noResources),
		jobs: arrivals.reduce((sum, { jobs }) => sum + jobs, 0),
	};
}

function windowFor(jobsPerMs: number): number {
	return Math.min(MAXIMUM_WINDOW_MS, Math.max(MINIMUM_WINDOW_MS, JOBS_PER_WINDOW / jobsPerMs));
}
