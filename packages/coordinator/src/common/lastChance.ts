import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';

/** Time that a caller needs to return, in addition to the time that it was told to wait. */
const RETURN_MARGIN_MS = 150;

/** Refusals whose cause may pass at any moment. The others come from a decision that a repeat would not change. */
const passingRefusals: ReadonlySet<ErrorKind> = new Set<ErrorKind>(['log-unavailable']);

/**
 * Returns whether a refused submission should be repeated by this daemon instead of being answered. While the store is away
 * for about as long as callers wait, a refusal during the last second of a caller's time is final, because the caller cannot
 * return in time. Its request is then worth repeating until the store returns or the time is up. A caller that can still
 * return is refused at once.
 * @param retryAfterMs time after which the caller would be told to return
 * @param remainingMs time for which the caller still waits
 */
export function isLastChance(kind: ErrorKind, retryAfterMs: number, remainingMs: number): boolean {
	return passingRefusals.has(kind) && remainingMs < retryAfterMs + RETURN_MARGIN_MS;
}
