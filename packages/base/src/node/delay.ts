import { setTimeout as wait } from 'node:timers/promises';

/** Waits for a while; returns early, without an error, when the signal is aborted. */
export async function delay(milliseconds: number, signal: AbortSignal): Promise<void> {
	try {
		await wait(milliseconds, undefined, { signal });
	} catch {
		// The wait ended early; callers check the signal themselves.
	}
}
