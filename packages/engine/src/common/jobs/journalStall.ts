/**
 * Time without a confirmed append after which the journal counts as stalled. A store that is merely slow answers within this
 * time, and jobs that wait for it are accepted late rather than refused.
 */
export const JOURNAL_STALL_MS = 700;

const SHORT_RETRY_MS = 1_000;
const LONG_RETRY_MS = 2_000;

/**
 * Returns the time after which a caller refused during a stall of the journal should return, in milliseconds. Outages last
 * seconds, and a caller returns only a few times: one that is refused early in an outage returns soon, in case the outage is
 * short, and later ones wait longer so that their attempts outlast it.
 * @param stalledForMs time since the first append that is not stored
 */
export function stallRetryDelay(stalledForMs: number): number {
	return stalledForMs < JOURNAL_STALL_MS + SHORT_RETRY_MS ? SHORT_RETRY_MS : LONG_RETRY_MS;
}
