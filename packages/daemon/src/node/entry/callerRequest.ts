import type { WorkClass } from '@chestnutwheel/dispatch/common/dispatchMessages.js';

/** A short request as it came from a caller. */
export interface CallerRequest {
	readonly queue: string;
	/** The key that came with the request, if any. */
	readonly key: string | undefined;
	readonly class: WorkClass;
	/** Monotonic time by which the caller wants the answer. */
	readonly deadline: number;
	/** Whether a second run would do no harm. */
	readonly repeatable: boolean;
	/** Chosen by the caller; the same key marks the same request. Required when the request may not be repeated. */
	readonly requestKey: string | undefined;
	readonly contentType: string;
	readonly body: Uint8Array;
	/** Aborted when the caller has gone. */
	readonly signal: AbortSignal;
}

/** The endpoint's whole answer. */
export interface CallerAnswer {
	readonly requestId: string;
	readonly status: number;
	readonly contentType: string;
	readonly body: Uint8Array;
	readonly attempts: number;
	/** Host that gave the answer. */
	readonly host: string;
}

/** Longest time that a caller may ask for, in milliseconds; in-doubt periods after a failover depend on it. */
export const MAXIMUM_DEADLINE_MS = 60_000;

/** Largest request body, in bytes. */
export const MAXIMUM_BODY_BYTES = 1_048_576;

/** Longest request key, in characters. */
export const MAXIMUM_REQUEST_KEY_LENGTH = 128;
