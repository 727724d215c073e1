import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { LatencyRecorder } from '@chestnutwheel/base/node/latencyRecorder.js';
import { formatLabels, formatMetricLines } from '@chestnutwheel/base/node/metricsText.js';
import type { NetworkMeter } from './networkMeter.js';

/** Writes the counters, the latencies and the bytes on the network in the Prometheus text format, version 0.0.4. */
export function formatMetrics(counters: Counters, latencies: LatencyRecorder, meter: NetworkMeter): string {
	const lines = formatMetricLines(counters, latencies);
	for (const [use, { read, written }] of meter.totals()) {
		lines.push(`chestnutwheel_network_bytes_total${formatLabels({ use, direction: 'read' })} ${read}`);
		lines.push(`chestnutwheel_network_bytes_total${formatLabels({ use, direction: 'written' })} ${written}`);
	}
	return `${lines.join('\n')}\n`;
}
