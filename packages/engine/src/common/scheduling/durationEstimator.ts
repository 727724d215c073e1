import type { QueueStatistics } from '../jobs/journalEvent.js';

/** Estimates task durations per queue from the steps that succeeded. */
export interface DurationEstimator {
	/**
	 * Updates the statistics of a queue with one completed step.
	 * @param estimateMs declared duration of a task in milliseconds; 0 if not declared
	 * @param actualMs measured run times of its tasks in milliseconds
	 */
	record(queue: string, estimateMs: number, actualMs: readonly number[]): void;
	/** Returns the statistics of all queues for the journal, from which the next leader restores them. */
	exportStatistics(): readonly QueueStatistics[];
	/** Restores statistics that a former leader recorded. */
	restore(queues: readonly QueueStatistics[]): void;
	/** Returns the expected duration of a task in milliseconds. */
	expectedMs(queue: string, estimateMs: number): number;
	/** Returns the expected duration of the longest of `count` tasks that start together, in milliseconds. */
	expectedMaximumMs(queue: string, estimateMs: number, count: number): number;
}

/** Expected duration of a task without a declared duration, in a queue without statistics. */
const DEFAULT_TASK_MS = 1_000;

/** Weight of the newest step in the moving averages; a few dozen steps outweigh all earlier ones. */
const SMOOTHING_FACTOR = 0.03;

/** Prior regression slope of actual on declared durations, on the logarithmic scale. */
const PRIOR_SLOPE = 0.3;

/** Number of steps for which the prior slope counts. */
const PRIOR_SLOPE_STEPS = 8;

/** Prior standard deviation of the task durations within a step, on the logarithmic scale. */
const PRIOR_SPREAD = 0.2;

/** Prior variance of declared durations, on the logarithmic scale. */
const PRIOR_ESTIMATE_VARIANCE = 0.5;

/** Expected maximum of 1, 2, 4, 8, ... independent standard normal values, from tables of order statistics. */
const EXPECTED_MAXIMA = [0, 0.564, 1.029, 1.424, 1.766, 2.07, 2.343];

/** Means, variances and covariance of the logarithms of declared and actual durations. */
type MutableQueueStatistics = { -readonly [Key in keyof QueueStatistics]: QueueStatistics[Key] };

/** Returns the expected maximum of `count` independent standard normal values, interpolated between table entries. */
function expectedMaximum(count: number): number {
	const position = Math.min(EXPECTED_MAXIMA.length - 1, Math.log2(Math.max(1, count)));
	const index = Math.floor(position);
	const before = EXPECTED_MAXIMA[index] ?? 0;
	const after = EXPECTED_MAXIMA[index + 1] ?? before;
	return before + (position - index) * (after - before);
}

function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

/**
 * Creates an estimator without statistics. Declared durations are wrong by a factor in either direction, and the factor
 * differs between the desks that submit jobs. Each queue therefore has a linear regression of actual on declared
 * durations, on the logarithmic scale.
 */
export function createDurationEstimator(): DurationEstimator {
	const queues = new Map<string, MutableQueueStatistics>();

	const expectedMs = (queue: string, estimateMs: number): number => {
		const statistics = queues.get(queue);
		if (statistics === undefined) {
			return estimateMs > 0 ? estimateMs : DEFAULT_TASK_MS;
		}
		const slope = statistics.covariance / statistics.estimateVariance;
		const deviation = estimateMs > 0 ? slope * (Math.log(estimateMs) - statistics.logEstimate) : 0;
		return Math.exp(statistics.logActual + deviation);
	};

	const updateSpread = (statistics: MutableQueueStatistics, logs: readonly number[], weight: number): void => {
		if (logs.length < 2) {
			return;
		}
		const average = mean(logs);
		const squares = logs.reduce((sum, value) => sum + (value - average) ** 2, 0);
		statistics.spreadVariance += weight * (squares / (logs.length - 1) - statistics.spreadVariance);
	};

	return {
		record: (queue, estimateMs, actualMs) => {
			if (actualMs.length === 0) {
				return;
			}
			const logs = actualMs.map(value => Math.log(Math.max(1, value)));
			const logActual = mean(logs);
			const logEstimate = estimateMs > 0 ? Math.log(estimateMs) : logActual;
			let statistics = queues.get(queue);
			if (statistics === undefined) {
				statistics = {
					queue,
					logActual,
					logEstimate,
					estimateVariance: PRIOR_ESTIMATE_VARIANCE,
					covariance: PRIOR_SLOPE * PRIOR_ESTIMATE_VARIANCE,
					spreadVariance: PRIOR_SPREAD ** 2,
					steps: 0,
				};
				queues.set(queue, statistics);
			}
			statistics.steps++;
			const meanWeight = Math.max(SMOOTHING_FACTOR, 1 / statistics.steps);
			const weight = Math.max(SMOOTHING_FACTOR, 1 / (statistics.steps + PRIOR_SLOPE_STEPS));
			const actualDeviation = logActual - statistics.logActual;
			const estimateDeviation = logEstimate - statistics.logEstimate;
			statistics.logActual += meanWeight * actualDeviation;
			statistics.logEstimate += meanWeight * estimateDeviation;
			if (estimateMs > 0) {
				statistics.estimateVariance += weight * (estimateDeviation ** 2 - statistics.estimateVariance);
				statistics.covariance += weight * (estimateDeviation * actualDeviation - statistics.covariance);
			}
			updateSpread(statistics, logs, weight);
		},
		exportStatistics: () => [...queues.values()].map(known => ({ ...known })),
		restore: learned => learned.forEach(known => queues.set(known.queue, { ...known })),
		expectedMs,
		expectedMaximumMs: (queue, estimateMs, count) => {
			const spread = Math.sqrt(queues.get(queue)?.spreadVariance ?? PRIOR_SPREAD ** 2);
			return expectedMs(queue, estimateMs) * Math.exp(spread * expectedMaximum(count));
		},
	};
}
