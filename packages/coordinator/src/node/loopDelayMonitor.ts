import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { DecisionLogger } from '@chestnutwheel/engine/common/engineMessages.js';

/** Interval between two measurements. */
const MEASURE_INTERVAL_MS = 50;

/** Interval between two log lines. */
const LOG_INTERVAL_MS = 1_000;

/** Shorter delays are not logged; calls between daemons and to workers allow for them. */
const MINIMUM_LOGGED_DELAY_MS = 100;

/** Options of {@link monitorLoopDelay}. */
export interface LoopDelayMonitorOptions {
	readonly clock: Clock;
	readonly counters: Counters;
	readonly logDecision: DecisionLogger;
}

/**
 * Measures how late timers fire, until the signal is aborted, and logs the longest delay of a second. A process that is short
 * of processor time answers its peers late, and takes answers that have arrived for missing.
 */
export async function monitorLoopDelay(
	{ clock, counters, logDecision }: LoopDelayMonitorOptions,
	signal: AbortSignal,
): Promise<void> {
	let longestMs = 0;
	let nextLogAt = clock.now() + LOG_INTERVAL_MS;
	while (!signal.aborted) {
		const dueAt = clock.now() + MEASURE_INTERVAL_MS;
		await delay(MEASURE_INTERVAL_MS, signal);
		const now = clock.now();
		longestMs = Math.max(longestMs, now - dueAt);
		if (now >= nextLogAt) {
			nextLogAt = now + LOG_INTERVAL_MS;
			if (longestMs >= MINIMUM_LOGGED_DELAY_MS) {
				counters.add('loop_delays_total');
				logDecision('loop-delayed', { longestMs: Math.round(longestMs) });
			}
			longestMs = 0;
		}
	}
}
