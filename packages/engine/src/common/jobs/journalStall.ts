/**
 * Time without a confirmed append after which the journal counts as stalled. A store that is merely slow answers within this
 * time, and jobs that wait for it are accepted late rather than refused.
 */
export const JOURNAL_STALL_MS = 700;

/** Time after which a caller refused during a stall should return; callers are told whole seconds. */
export const STALL_RETRY_MS = 1_000;
