import { CLOCK_RATE_MARGIN, SHORTEST_START_WINDOW_MS, START_WINDOW_MS } from './dispatchPolicy.js';

/** Latest start of a task on both clocks. */
export interface StartDeadline {
	/** Reading of the worker's clock. */
	readonly startByMs: number;
	/** A time on the leader's clock by which the worker's clock has passed `startByMs`. */
	readonly latestStartAt: number;
}

/** Readings of the workers' monotonic clocks, taken from their status answers. */
export interface WorkerClocks {
	/** Keeps a reading that was taken between the question and its answer, both on the leader's clock. */
	sample(host: string, clockMs: number, requestedAt: number, receivedAt: number): void;
	/** The boot ended; its clock is of no use any more. */
	forget(host: string): void;
	/**
	 * The latest start on a host, never later than the leader's lease.
	 * @returns `undefined` without a sample or with too little time left
	 */
	startDeadline(host: string, now: number, leaseUntil: number): StartDeadline | undefined;
}

/** Creates an empty table of clocks. */
export function createWorkerClocks(): WorkerClocks {
	const samples = new Map<string, { clockMs: number; requestedAt: number; receivedAt: number }>();
	return {
		sample: (host, clockMs, requestedAt, receivedAt) => {
			samples.set(host, { clockMs, requestedAt, receivedAt });
		},
		forget: host => {
			samples.delete(host);
		},
		startDeadline: (host, now, leaseUntil) => {
			const sample = samples.get(host);
			if (sample === undefined) {
				return undefined;
			}
			const latestStartAt = Math.min(leaseUntil, now + START_WINDOW_MS);
			// The clock read `clockMs` at `receivedAt` or earlier, and it may be slow. It has therefore passed this value
			// by `latestStartAt`.
			const startByMs = sample.clockMs + (latestStartAt - sample.receivedAt) * (1 - CLOCK_RATE_MARGIN);
			const fastestReading = sample.clockMs + (now - sample.requestedAt) * (1 + CLOCK_RATE_MARGIN);
			if (startByMs - fastestReading < SHORTEST_START_WINDOW_MS) {
				return undefined;
			}
			return { startByMs: Math.floor(startByMs), latestStartAt };
		},
	};
}
