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
 * Shortest window over which arriving work is averaged, in milliseconds. A host needs about 2 s to arrive, longer than
 * short jobs can wait, so a few jobs in quick succession must suffice to raise the estimate.
 */
const MINIMUM_WINDOW_MS = 500;

/** Fraction of a job's critical path over which its work is averaged, which is about as long as the job can wait. */
const WINDOW_FRACTION = 0.4;

/**
 * Fractions of the window over which arrivals are also counted to detect bursts. The average over the whole window
 * reflects only a third of a load that began 0.2 s earlier.
 */
const BURST_WINDOW_FRACTIONS = [0.3, 0.6];

/** Number of windows after which an arrival is discarded, when less than 2 % of its work still counts. */
const RETENTION_WINDOWS = 4;

/** Largest number of arrivals kept for each pool. Beyond it, the oldest ones are dropped. */
const MAXIMUM_ARRIVALS = 2_000;

/** Estimates the resources that newly arriving work keeps busy in each pool. */
export interface ArrivalEstimator {
	/**
	 * Records an accepted job.
	 * @param expect returns the expected duration of a task from its estimate, in milliseconds
	 * @param criticalPathMs expected duration of the job's critical path
	 */
	recordJob(
		pool: string,
		spec: JobSpec,
		expect: (estimateMs: number) => number,
		criticalPathMs: number,
		now: number,
	): void;
	/** Returns the resources kept busy if work continues to arrive at its recent rate. */
	estimate(pool: string, now: number): Resources;
}

/** An accepted job, whose work is discounted with its age. */
interface Arrival {
	/** Work of the job divided by its window. */
	readonly resources: Resources;
	readonly at: number;
	readonly windowMs: number;
}

/**
 * Returns the total work of a job's tasks, in resources times milliseconds. Service tasks are accounted for separately.
 */
export function totalWork(spec: JobSpec, expect: (estimateMs: number) => number): Resources {
	return spec.steps
		.filter(step => !step.isLasting)
		.reduce(
			(sum, step) => addResources(sum, scaleResources(effectiveDemand(step), step.count * expect(step.estimateMs))),
			noResources,
		);
}

/** Returns the resources kept busy by arrivals within a fraction of their window, discounted for random clustering. */
function burstDemand(arrivals: readonly Arrival[], fraction: number, now: number): Resources {
	const newest = arrivals.filter(({ at, windowMs }) => now - at < fraction * windowMs);
	const certainty = 1 - 1 / Math.sqrt(Math.max(1, newest.length));
	return newest.reduce(
		(sum, { resources }) => addResources(sum, scaleResources(resources, certainty / fraction)),
		noResources,
	);
}

/** Creates an estimator without arrivals. */
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
				(sum, { resources, at, windowMs }) =>
					addResources(sum, scaleResources(resources, Math.exp((at - now) / windowMs))),
				noResources,
			);
			return BURST_WINDOW_FRACTIONS.map(share => burstDemand(recent, share, now)).reduce(maximumResources, average);
		},
	};
}

/** Demand of the tasks of a pool. */
export interface PoolDemand {
	/** Resources that service tasks use or wait for. */
	lasting: Resources;
	/** Resources that other running tasks use. */
	running: Resources;
	/** Resources that waiting tasks need so that their jobs meet their objectives. */
	waiting: Resources;
	/** Number of workers needed by the widest step, because of its limit on tasks per worker. */
	minimumWorkers: number;
	/** Lowest priority number (the most urgent) of the waiting tasks; `Infinity` if there are none. */
	priority: number;
}

/** Creates the demand of a pool without tasks. */
export function createPoolDemand(): PoolDemand {
	return { lasting: noResources, running: noResources, waiting: noResources, minimumWorkers: 0, priority: Infinity };
}

/** Fraction of a job's slack that its waiting tasks may use. The rest is reserved for later steps. */
const USABLE_SLACK_FRACTION = 0.5;

/**
 * Time until a host ordered now accepts work, in milliseconds: the platform's 1.5 s for a move plus worker
 * registration.
 */
export const HOST_ARRIVAL_MS = 1_900;

/**
 * Returns the resources needed for waiting tasks. The more slack a job has left when new hosts arrive, the more of its
 * tasks can run one after another on the same resources.
 * @param slackMs time until the step must begin for the job to meet its objective, in milliseconds
 */
export function resourcesForWaiting(demand: Resources, count: number, expectedMs: number, slackMs: number): Resources {
	const usableMs = USABLE_SLACK_FRACTION * Math.max(0, slackMs - HOST_ARRIVAL_MS);
	return scaleResources(demand, (count * expectedMs) / (expectedMs + usableMs));
}
