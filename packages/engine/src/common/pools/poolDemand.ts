import {
	addResources,
	maximumResources,
	noResources,
	scaleResources,
	type Resources,
} from '@chestnutwheel/ports/common/resources.js';
import type { JobSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import { effectiveDemand } from '../scheduling/placement.js';

/**
 * Least time over which arriving work is averaged, in milliseconds. A host needs about 2 s to come, longer than short jobs
 * can wait, so a few jobs that come close together have to be enough.
 */
const MINIMUM_WINDOW_MS = 500;

/** Part of its chain over which the work of a long job is averaged: it can wait for about as long. */
const WINDOW_FRACTION = 0.4;

/**
 * Parts of their window over which arrivals are counted besides: the average over the whole window sees only a third of a
 * load that has begun 0.2 s before.
 */
const BURST_WINDOW_FRACTIONS = [0.3, 0.6];

/** Arrivals are forgotten after this many of their windows, when less than 2 % of them counts. */
const RETENTION_WINDOWS = 4;

/** Arrivals of one pool that are remembered; the oldest ones are dropped beyond this. */
const MAXIMUM_ARRIVALS = 2_000;

/** Work that arrives for each pool, as the room that it keeps busy. */
export interface ArrivalEstimator {
	/**
	 * @param expect expected time of a task from its estimate, in milliseconds
	 * @param criticalPathMs expected time of the job's longest chain of steps
	 */
	recordJob(
		pool: string,
		spec: JobSpec,
		expect: (estimateMs: number) => number,
		criticalPathMs: number,
		now: number,
	): void;
	/** Room that the work of the last seconds keeps busy if it goes on to arrive at the same rate. */
	estimate(pool: string, now: number): Resources;
}

/** One job; its work counts less the older it is. */
interface Arrival {
	/** Work of the job over its window. */
	readonly resources: Resources;
	readonly at: number;
	readonly windowMs: number;
}

/** Room times milliseconds that the tasks of a job take; lasting tasks are counted apart. */
export function totalWork(spec: JobSpec, expect: (estimateMs: number) => number): Resources {
	return spec.steps
		.filter(step => !step.isLasting)
		.reduce(
			(sum, step) => addResources(sum, scaleResources(effectiveDemand(step), step.count * expect(step.estimateMs))),
			noResources,
		);
}

/** Room that the arrivals of a part of their window keep busy, less what chance may have added to their number. */
function burstDemand(arrivals: readonly Arrival[], fraction: number, now: number): Resources {
	const newest = arrivals.filter(({ at, windowMs }) => now - at < fraction * windowMs);
	const certainty = 1 - 1 / Math.sqrt(Math.max(1, newest.length));
	return newest.reduce((sum, { resources: room }) => addResources(sum, scaleResources(room, certainty / fraction)), noResources);
}

/** Creates a record without arrivals. */
export function createArrivalEstimator(): ArrivalEstimator {
	const pools = new Map<string, Arrival[]>();
	return {
		recordJob: (pool, spec, expect, criticalPathMs, now) => {
			const arrivals = pools.get(pool) ?? [];
			pools.set(pool, arrivals);
			const windowMs = Math.max(MINIMUM_WINDOW_MS, WINDOW_FRACTION * criticalPathMs);
			arrivals.push({ resources: scaleResources(totalWork(spec, expect), 1 / windowMs), at: now, windowMs });
			if (arrivals.length > MAXIMUM_ARRIVALS) {
				arrivals.shift();
			}
		},
		estimate: (pool, now) => {
			const recent = (pools.get(pool) ?? []).filter(({ at, windowMs }) => now < at + RETENTION_WINDOWS * windowMs);
			pools.set(pool, recent);
			const average = recent.reduce(
				(sum, { resources: room, at, windowMs }) => addResources(sum, scaleResources(room, Math.exp((at - now) / windowMs))),
				noResources,
			);
			return BURST_WINDOW_FRACTIONS.map(share => burstDemand(recent, share, now)).reduce(maximumResources, average);
		},
	};
}

/** What the tasks of a pool need. */
export interface PoolDemand {
	/** Room that lasting tasks take or wait for. */
	lasting: Resources;
	/** Room that other tasks take now. */
	running: Resources;
	/** Room that lets the waiting tasks begin as soon as their callers' objectives ask. */
	waiting: Resources;
	/** Workers that the widest step needs, since it may put only so many of its tasks on one. */
	minimumWorkers: number;
	/** Lowest priority number of the waiting tasks; `Infinity` without any. */
	priority: number;
}

/** Creates the demand of a pool without tasks. */
export function createPoolDemand(): PoolDemand {
	return { lasting: noResources, running: noResources, waiting: noResources, minimumWorkers: 0, priority: Infinity };
}

/** Part of a job's spare time that its waiting tasks may use; the rest is left for the steps behind them. */
const USABLE_SLACK_FRACTION = 0.5;

/** Time in milliseconds until a host that is ordered now serves: the platform's 1.5 s for a move, and its worker's entry. */
const HOST_ARRIVAL_MS = 1_900;

/**
 * Room for waiting tasks: the more time their job has to spare when new hosts come, the more of them can follow each other on
 * the same room.
 * @param slackMs time until the step has to begin so that the job meets its objective
 */
export function resourcesForWaiting(demand: Resources, count: number, expectedMs: number, slackMs: number): Resources {
	const usableMs = USABLE_SLACK_FRACTION * Math.max(0, slackMs - HOST_ARRIVAL_MS);
	return scaleResources(demand, (count * expectedMs) / (expectedMs + usableMs));
}
