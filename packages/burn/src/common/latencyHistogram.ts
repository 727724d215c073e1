import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js';

/** Latencies are kept in microseconds, with two significant digits, up to two minutes. */
const LONGEST_MICROSECONDS = 120_000_000;

/** Quantiles of latencies, in milliseconds. */
export interface LatencyQuantiles {
	readonly count: number;
	readonly p50: number;
	readonly p99: number;
	readonly highest: number;
}

/** Latencies of one series over the present hour and the hour before. */
export interface LatencyHistogram {
	record(minute: number, milliseconds: number): void;
	/** The histogram as text that {@link mergeLatencies} reads; `undefined` when nothing was recorded. */
	encode(minute: number): string | undefined;
}

const buildHistogram = (): Histogram =>
	build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: LONGEST_MICROSECONDS,
		numberOfSignificantValueDigits: 2,
		bitBucketSize: 32,
	});

/** Creates an empty histogram. */
export function createLatencyHistogram(): LatencyHistogram {
	const byHour = new Map<number, Histogram>();

	const dropBefore = (hour: number): void => {
		for (const known of [...byHour.keys()].filter(other => other < hour - 1)) {
			byHour.delete(known);
		}
	};

	return {
		record: (minute, milliseconds) => {
			const hour = Math.floor(minute / 60);
			let histogram = byHour.get(hour);
			if (histogram === undefined) {
				dropBefore(hour);
				histogram = buildHistogram();
				byHour.set(hour, histogram);
			}
			histogram.recordValue(Math.min(LONGEST_MICROSECONDS, Math.max(1, Math.round(milliseconds * 1_000))));
		},
		encode: minute => {
			dropBefore(Math.floor(minute / 60));
			if (byHour.size === 0) {
				return undefined;
			}
			const sum = buildHistogram();
			byHour.forEach(histogram => sum.add(histogram));
			return encodeIntoCompressedBase64(sum);
		},
	};
}

/** Quantiles over the histograms of several daemons; `undefined` when there is none. */
export function mergeLatencies(encoded: readonly string[]): LatencyQuantiles | undefined {
	if (encoded.length === 0) {
		return undefined;
	}
	const sum = buildHistogram();
	encoded.forEach(text => sum.add(decodeFromCompressedBase64(text, 32)));
	return {
		count: sum.totalCount,
		p50: sum.getValueAtPercentile(50) / 1_000,
		p99: sum.getValueAtPercentile(99) / 1_000,
		highest: sum.maxValue / 1_000,
	};
}
