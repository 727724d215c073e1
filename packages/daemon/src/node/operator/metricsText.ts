import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { LatencyRecorder } from './latencyRecorder.js';
import type { NetworkMeter } from './networkMeter.js';

/** Writes the counters and latencies in the Prometheus text format, version 0.0.4. */
export function formatMetrics(counters: Counters, latencies: LatencyRecorder, meter: NetworkMeter): string {
	const lines = counters
		.samples()
		.map(({ name, labels, value }) => `chestnutwheel_${name}${formatLabels(labels)} ${value}`);
	for (const { name, labels, quantiles, count } of latencies.summaries()) {
		for (const [quantile, value] of Object.entries(quantiles)) {
			lines.push(`chestnutwheel_${name}${formatLabels({ ...labels, quantile })} ${value}`);
		}
		lines.push(`chestnutwheel_${name}_count${formatLabels(labels)} ${count}`);
	}
	for (const [use, { read, written }] of meter.totals()) {
		lines.push(`chestnutwheel_network_bytes_total${formatLabels({ use, direction: 'read' })} ${read}`);
		lines.push(`chestnutwheel_network_bytes_total${formatLabels({ use, direction: 'written' })} ${written}`);
	}
	return `${lines.join('\n')}\n`;
}

function formatLabels(labels: Readonly<Record<string, string>>): string {
	const pairs = Object.entries(labels).map(([key, value]) => `${key}="${value.replace(/["\\\n]/g, '_')}"`);
	return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
}
