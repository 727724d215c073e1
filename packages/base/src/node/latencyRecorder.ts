import { build, type Histogram } from 'hdr-histogram-js';

/** Summary of one latency histogram. Quantiles are in milliseconds. */
export interface LatencySummary {
	readonly name: string;
	readonly labels: Readonly<Record<string, string>>;
	readonly count: number;
	readonly quantiles: Readonly<Record<string, number>>;
}

/** Records one latency histogram for each queue. */
export interface LatencyRecorder {
	/** Records one request. @param milliseconds time from arrival to response */
	record(queue: string, milliseconds: number): void;
	/** Returns a summary of each histogram. */
	summaries(): readonly LatencySummary[];
}

/** Latencies of further queues are not recorded. The configuration bounds the number of queues. */
const MAXIMUM_HISTOGRAMS = 512;
/** Histograms store latencies in microseconds, with two significant digits. */
const MICROSECONDS = 1_000;
const LONGEST_MICROSECONDS = 120_000_000;

/** Creates a recorder without histograms. */
export function createLatencyRecorder(): LatencyRecorder {
	const histograms = new Map<string, Histogram>();

	const histogramOf = (queue: string): Histogram | undefined => {
		const known = histograms.get(queue);
		if (known !== undefined || histograms.size >= MAXIMUM_HISTOGRAMS) {
			return known;
		}
		const created = build({
			lowestDiscernibleValue: 1,
			highestTrackableValue: LONGEST_MICROSECONDS,
			numberOfSignificantValueDigits: 2,
			bitBucketSize: 32,
		});
		histograms.set(queue, created);
		return created;
	};

	return {
		record: (queue, milliseconds) => {
			const microseconds = Math.min(LONGEST_MICROSECONDS, Math.max(1, Math.round(milliseconds * MICROSECONDS)));
			histogramOf(queue)?.recordValue(microseconds);
		},
		summaries: () =>
			[...histograms].map(([queue, histogram]) => ({
				name: 'request_milliseconds',
				labels: { queue },
				count: histogram.totalCount,
				quantiles: {
					'0.5': histogram.getValueAtPercentile(50) / MICROSECONDS,
					'0.99': histogram.getValueAtPercentile(99) / MICROSECONDS,
					'1': histogram.maxValue / MICROSECONDS,
				},
			})),
	};
}
