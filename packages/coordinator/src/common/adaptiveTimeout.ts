/** Bounds of an {@link AdaptiveTimeout}, in milliseconds. */
export interface AdaptiveTimeoutOptions {
	readonly minimumMs: number;
	readonly maximumMs: number;
}

/** How long to wait for an answer before a call that may be repeated is repeated. */
export interface AdaptiveTimeout {
	/** Time for the next call, in milliseconds. */
	readonly currentMs: number;
	/** An answer came. @param latencyMs time from the call to its answer */
	recordLatency(latencyMs: number): void;
	/** No answer came within the time. */
	recordTimeout(): void;
}

/** A call may take this many times as long as the ones before it. */
const LATENCY_MULTIPLIER = 4;

/** Weight of the newest latency in the average. */
const SMOOTHING_FACTOR = 0.25;

/** Creates a timeout that follows the latencies that are seen, and doubles with each missing answer. */
export function createAdaptiveTimeout({ minimumMs, maximumMs }: AdaptiveTimeoutOptions): AdaptiveTimeout {
	let averageMs = minimumMs / LATENCY_MULTIPLIER;
	let consecutiveTimeouts = 0;
	return {
		get currentMs() {
			return Math.min(maximumMs, Math.max(minimumMs, LATENCY_MULTIPLIER * averageMs) * 2 ** consecutiveTimeouts);
		},
		recordLatency: latencyMs => {
			averageMs += SMOOTHING_FACTOR * (latencyMs - averageMs);
			// After misses the average knows nothing of how slow the other end has become.
			averageMs = consecutiveTimeouts > 0 ? Math.max(averageMs, latencyMs) : averageMs;
			consecutiveTimeouts = 0;
		},
		recordTimeout: () => {
			consecutiveTimeouts = Math.min(consecutiveTimeouts + 1, 8);
		},
	};
}
