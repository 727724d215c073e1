/** Time without any response of the store after which a leader asks its followers whether the store serves them. */
export const STORE_SUSPICION_MS = 500;

/** Health of the store as the leader sees it from its own calls. All times are on its monotonic clock, in milliseconds. */
export interface StoreHealth {
	/** Send time of the oldest call that still fails or has no response; `undefined` without such a call. */
	readonly failingSince: number | undefined;
	/** Send time of the newest call that the store has accepted. */
	readonly confirmedAt: number;
	readonly now: number;
}

/**
 * Returns whether the store may be rejecting this leader. A slow store lets single calls time out but answers others; it
 * does not count, because a successor would be served no better.
 */
export function isRejectedByStore({ failingSince, confirmedAt, now }: StoreHealth): boolean {
	return failingSince !== undefined && now > failingSince + STORE_SUSPICION_MS && confirmedAt < failingSince;
}
