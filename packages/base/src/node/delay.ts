import { setTimeout as wait } from 'node:timers/promises';

/** Waits for a time; resolves early, without an error, when the signal is aborted. */
export async function delay(milliseconds: number, signal: AbortSignal): Promise<void> {
	try {
		await wait(milliseconds, undefined, { signal });
	} catch {
		// The signal was aborted; callers check it themselves.
	}
}
