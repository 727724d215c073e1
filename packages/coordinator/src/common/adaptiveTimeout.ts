/** Lower and upper bound of an {@link AdaptiveTimeout}, in milliseconds. */
export interface AdaptiveTimeoutOptions {
	readonly minimumMs: number;
	readonly maximumMs: number;
	/** Latency of an earlier call to the same peer, in milliseconds; a short one is assumed if there was none. */
	readonly knownLatencyMs?: number | undefined;
}

/** Timeout of an idempotent call, adapted to the latency of earlier calls. The caller retries after it has passed. */
export interface AdaptiveTimeout {
	/** Timeout of the next call, in milliseconds. */
	readonly currentMs: number;
	/** Records the latency of an answered call. @param latencyMs time from the request to the response */
	recordLatency(latencyMs: number): void;
	/** Records that a call timed out. */
	recordTimeout(): void;
}

/** The timeout is this multiple of the average latency. */
const LATENCY_MULTIPLIER = 4;

/** Weight of the newest latency in the exponentially weighted moving average. */
const SMOOTHING_FACTOR = 0.25;

/** Creates a timeout that is proportional to the average latency and doubles with each consecutive time-out. */
export function createAdaptiveTimeout({
	minimumMs,
	maximumMs,
	knownLatencyMs = 0,
}: AdaptiveTimeoutOptions): AdaptiveTimeout {
	let averageMs = Math.max(knownLatencyMs, minimumMs / LATENCY_MULTIPLIER);
	let consecutiveTimeouts = 0;
	return {
		get currentMs() {
			return Math.min(maximumMs, Math.max(minimumMs, LATENCY_MULTIPLIER * averageMs) * 2 ** consecutiveTimeouts);
		},
		recordLatency: latencyMs => {
			averageMs += SMOOTHING_FACTOR * (latencyMs - averageMs);
			// Calls that timed out are missing from the average, so that it underestimates the current latency.
			averageMs = consecutiveTimeouts > 0 ? Math.max(averageMs, latencyMs) : averageMs;
			consecutiveTimeouts = 0;
		},
		recordTimeout: () => {
			consecutiveTimeouts = Math.min(consecutiveTimeouts + 1, 8);
		},
	};
}
