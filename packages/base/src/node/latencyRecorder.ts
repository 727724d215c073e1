import { build, type Histogram } from 'hdr-histogram-js';

/** Summary of one latency histogram. Quantiles are in milliseconds. */
export interface LatencySummary {
	readonly name: string;
	readonly labels: Readonly<Record<string, string>>;
	readonly count: number;
	readonly quantiles: Readonly<Record<string, number>>;
}

/** Records one latency histogram for each queue, and one for changes of the leader. */
export interface LatencyRecorder {
	/** Records one request. @param milliseconds time from arrival to response */
	record(queue: string, milliseconds: number): void;
	/** Records a change of the leader. @param milliseconds time from the last sign of the old leader to the next start of a task */
	recordHandover(milliseconds: number): void;
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

	const handovers = createHistogram();

	const histogramOf = (queue: string): Histogram | undefined => {
		const known = histograms.get(queue);
		if (known !== undefined || histograms.size >= MAXIMUM_HISTOGRAMS) {
			return known;
		}
		const created = createHistogram();
		histograms.set(queue, created);
		return created;
	};

	return {
		record: (queue, milliseconds) => histogramOf(queue)?.recordValue(toMicroseconds(milliseconds)),
		recordHandover: milliseconds => handovers.recordValue(toMicroseconds(milliseconds)),
		summaries: () => [
			...[...histograms].map(([queue, histogram]) => summarize('request_milliseconds', { queue }, histogram)),
			...(handovers.totalCount > 0 ? [summarize('handover_milliseconds', {}, handovers)] : []),
		],
	};
}

function createHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: LONGEST_MICROSECONDS,
		numberOfSignificantValueDigits: 2,
		bitBucketSize: 32,
	});
}

function toMicroseconds(milliseconds: number): number {
	return Math.min(LONGEST_MICROSECONDS, Math.max(1, Math.round(milliseconds * MICROSECONDS)));
}

function summarize(name: string, labels: Readonly<Record<string, string>>, histogram: Histogram): LatencySummary {
	return {
		name,
		labels,
		count: histogram.totalCount,
		quantiles: {
			'0.5': histogram.getValueAtPercentile(50) / MICROSECONDS,
			'0.99': histogram.getValueAtPercentile(99) / MICROSECONDS,
			'1': histogram.maxValue / MICROSECONDS,
		},
	};
}
