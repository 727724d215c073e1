import type { LearnedQueue } from '../jobs/journalEvent.js';

/** What the tasks of a queue really take, learned from the steps that ended well. */
export interface Durations {
	/**
	 * Learns from one step.
	 * @param estimateMs declared time of a task, 0 when unknown
	 * @param actualMs times at work of its tasks, in milliseconds
	 */
	record(queue: string, estimateMs: number, actualMs: readonly number[]): void;
	/** Everything that was learned, for a successor. */
	learned(): readonly LearnedQueue[];
	/** Takes over what a predecessor has learned. */
	restore(queues: readonly LearnedQueue[]): void;
	/** Expected time of a task in milliseconds. */
	expect(queue: string, estimateMs: number): number;
	/** Expected time of the longest of `count` tasks that begin together, in milliseconds. */
	expectLongest(queue: string, estimateMs: number, count: number): number;
}

/** Expected time of a task of a queue of which nothing is known and that declares nothing. */
const UNKNOWN_TASK_MS = 1_000;

/** Weight of the newest step in the averages: some dozens of steps outweigh what was before. */
const NEWEST_WEIGHT = 0.03;

/** How much of a declared deviation from the mean comes true before anything is known, on the logarithmic scale. */
const FIRST_SLOPE = 0.3;

/** Steps that the first slope counts for against what is learned. */
const FIRST_SLOPE_STEPS = 8;

/** Spread of the tasks of one step before anything is known, as a standard deviation on the logarithmic scale. */
const FIRST_SPREAD = 0.2;

/** Variance of declared times before anything is known, on the logarithmic scale. */
const FIRST_ESTIMATE_VARIANCE = 0.5;

/** Expected maximum of 1, 2, 4, 8, ... independent standard normal values; a standard table of order statistics. */
const EXPECTED_MAXIMA = [0, 0.564, 1.029, 1.424, 1.766, 2.07, 2.343];

/** Means, variances and the covariance of the logarithms of declared and actual times. */
type QueueAverages = { -readonly [Key in keyof LearnedQueue]: LearnedQueue[Key] };

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
export function createDurations(): Durations {
	const queues = new Map<string, QueueAverages>();

	const expect = (queue: string, estimateMs: number): number => {
		const known = queues.get(queue);
		if (known === undefined) {
			return estimateMs > 0 ? estimateMs : UNKNOWN_TASK_MS;
		}
		const slope = known.covariance / known.estimateVariance;
		const deviation = estimateMs > 0 ? slope * (Math.log(estimateMs) - known.logEstimate) : 0;
		return Math.exp(known.logActual + deviation);
	};

	const learnSpread = (known: QueueAverages, logs: readonly number[], weight: number): void => {
		if (logs.length < 2) {
			return;
		}
		const centre = mean(logs);
		const squares = logs.reduce((sum, value) => sum + (value - centre) ** 2, 0);
		known.spreadVariance += weight * (squares / (logs.length - 1) - known.spreadVariance);
	};

	return {
		record: (queue, estimateMs, actualMs) => {
			if (actualMs.length === 0) {
				return;
			}
			const logs = actualMs.map(value => Math.log(Math.max(1, value)));
			const logActual = mean(logs);
			const logEstimate = estimateMs > 0 ? Math.log(estimateMs) : logActual;
			let known = queues.get(queue);
			if (known === undefined) {
				known = {
					queue,
					logActual,
					logEstimate,
					estimateVariance: FIRST_ESTIMATE_VARIANCE,
					covariance: FIRST_SLOPE * FIRST_ESTIMATE_VARIANCE,
					spreadVariance: FIRST_SPREAD ** 2,
					steps: 0,
				};
				queues.set(queue, known);
			}
			known.steps++;
			const meanWeight = Math.max(NEWEST_WEIGHT, 1 / known.steps);
			const weight = Math.max(NEWEST_WEIGHT, 1 / (known.steps + FIRST_SLOPE_STEPS));
			const actualDeviation = logActual - known.logActual;
			const estimateDeviation = logEstimate - known.logEstimate;
			known.logActual += meanWeight * actualDeviation;
			known.logEstimate += meanWeight * estimateDeviation;
			if (estimateMs > 0) {
				known.estimateVariance += weight * (estimateDeviation ** 2 - known.estimateVariance);
				known.covariance += weight * (estimateDeviation * actualDeviation - known.covariance);
			}
			learnSpread(known, logs, weight);
		},
		learned: () => [...queues.values()].map(known => ({ ...known })),
		restore: learned => learned.forEach(known => queues.set(known.queue, { ...known })),
		expect,
		expectLongest: (queue, estimateMs, count) => {
			const spread = Math.sqrt(queues.get(queue)?.spreadVariance ?? FIRST_SPREAD ** 2);
			return expect(queue, estimateMs) * Math.exp(spread * expectedMaximum(count));
		},
	};
}
