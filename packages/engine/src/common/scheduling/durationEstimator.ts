import type { QueueStatistics } from '../jobs/journalEvent.js';

/** What the tasks of a queue really take, learned from the steps that ended well. */
export interface DurationEstimator {
	/**
	 * Learns from one step.
	 * @param estimateMs declared time of a task, 0 when unknown
	 * @param actualMs times at work of its tasks, in milliseconds
	 */
	record(queue: string, estimateMs: number, actualMs: readonly number[]): void;
	/** Everything that was learned, for a successor. */
	exportStatistics(): readonly QueueStatistics[];
	/** Takes over what a predecessor has learned. */
	restore(queues: readonly QueueStatistics[]): void;
	/** Expected time of a task in milliseconds. */
	expectedMs(queue: string, estimateMs: number): number;
	/** Expected time of the longest of `count` tasks that begin together, in milliseconds. */
	expectedMaximumMs(queue: string, estimateMs: number, count: number): number;
}

/** Expected time of a task of a queue of which nothing is known and that declares nothing. */
const DEFAULT_TASK_MS = 1_000;

/** Weight of the newest step in the averages: some dozens of steps outweigh what was before. */
const SMOOTHING_FACTOR = 0.03;

/** How much of a declared deviation from the mean comes true before anything is known, on the logarithmic scale. */
const PRIOR_SLOPE = 0.3;

/** Steps that the first slope counts for against what is learned. */
const PRIOR_SLOPE_STEPS = 8;

/** Spread of the tasks of one step before anything is known, as a standard deviation on the logarithmic scale. */
const PRIOR_SPREAD = 0.2;

/** Variance of declared times before anything is known, on the logarithmic scale. */
const PRIOR_ESTIMATE_VARIANCE = 0.5;

/** Expected maximum of 1, 2, 4, 8, ... independent standard normal values; a standard table of order statistics. */
const EXPECTED_MAXIMA = [0, 0.564, 1.029, 1.424, 1.766, 2.07, 2.343];

/** Means, variances and the covariance of the logarithms of declared and actual times. */
type MutableQueueStatistics = { -readonly [Key in keyof QueueStatistics]: QueueStatistics[Key] };

/** Expected maximum of `count` independent standard normal values. */
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
 * Creates a record without steps. Declared times are off by a factor in either direction, and by how much differs from desk
 * to desk: the share of a declared deviation that comes true is the slope of a regression.
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
		expectedMs: expectedMs,
		expectedMaximumMs: (queue, estimateMs, count) => {
			const spread = Math.sqrt(queues.get(queue)?.spreadVariance ?? PRIOR_SPREAD ** 2);
			return expectedMs(queue, estimateMs) * Math.exp(spread * expectedMaximum(count));
		},
	};
}
