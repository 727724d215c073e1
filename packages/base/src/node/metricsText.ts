import type { Counters } from '../common/counters.js';
import type { LatencyRecorder } from './latencyRecorder.js';

/** Formats the counters and latencies in the Prometheus text format, version 0.0.4; one sample in each line. */
export function formatMetricLines(counters: Counters, latencies: LatencyRecorder): string[] {
	const lines = counters
		.samples()
		.map(({ name, labels, value }) => `chestnutwheel_${name}${formatLabels(labels)} ${value}`);
	for (const { name, labels, quantiles, count } of latencies.summaries()) {
		for (const [quantile, value] of Object.entries(quantiles)) {
			lines.push(`chestnutwheel_${name}${formatLabels({ ...labels, quantile })} ${value}`);
		}
		lines.push(`chestnutwheel_${name}_count${formatLabels(labels)} ${count}`);
	}
	return lines;
}

/** Formats the labels of one series. Quotes, backslashes and line breaks in values are replaced by underscores. */
export function formatLabels(labels: Readonly<Record<string, string>>): string {
	const pairs = Object.entries(labels).map(([key, value]) => `${key}="${value.replace(/["\\\n]/g, '_')}"`);
	return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
}
