/** Time without any answer of the store after which a leader asks whether the store serves other daemons. */
export const STORE_SUSPICION_MS = 500;

/** What a leader knows of its own calls to the store; all times are on its monotonic clock. */
export interface StoreHealth {
	/** When the oldest call that still fails or has no answer was sent; `undefined` without any. */
	readonly failingSince: number | undefined;
	/** When the newest call that the store has taken was sent. */
	readonly confirmedAt: number;
	readonly now: number;
}

/**
 * Whether the store may be turning this leader away. A store that is slow leaves single calls without an answer in time but
 * answers others; a leader that handed over then would be followed by one that is served no better.
 */
export function isRejectedByStore({ failingSince, confirmedAt, now }: StoreHealth): boolean {
	return failingSince !== undefined && now > failingSince + STORE_SUSPICION_MS && confirmedAt < failingSince;
}
