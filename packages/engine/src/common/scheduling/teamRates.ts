/** Burst allowance, as the time over which a share accrues; callers submit in bursts of about a second. */
const BURST_WINDOW_MS = 1_000;

/** Detects teams that submit more than their share. */
export interface TeamRates {
	/**
	 * Counts one job of a team.
	 * @param weight the team's share, in jobs per second
	 * @param at wall-clock time of the acceptance, in milliseconds since 1970
	 * @returns whether the job exceeds the share
	 */
	count(team: string, weight: number, at: number): boolean;
	/** Whether one more job of a team would exceed the share, without counting it. */
	wouldExceed(team: string, weight: number, at: number): boolean;
}

/**
 * Creates a token bucket per team that marks the jobs beyond the team's share. Marked jobs run after those of other
 * teams, so that one team's burst does not delay all teams; while resources are free, they run at once.
 */
export function createTeamRates(): TeamRates {
	const buckets = new Map<string, { tokens: number; at: number }>();
	const refill = (team: string, weight: number, at: number): { readonly tokens: number; readonly at: number } => {
		const depth = Math.max(1, (weight * BURST_WINDOW_MS) / 1_000);
		const known = buckets.get(team) ?? { tokens: depth, at };
		const tokens = Math.min(depth, known.tokens + (Math.max(0, at - known.at) * weight) / 1_000);
		return { tokens, at: Math.max(at, known.at) };
	};
	return {
		count: (team, weight, at) => {
			const refilled = refill(team, weight, at);
			const exceedsShare = refilled.tokens < 1;
			buckets.set(team, exceedsShare ? refilled : { ...refilled, tokens: refilled.tokens - 1 });
			return exceedsShare;
		},
		wouldExceed: (team, weight, at) => refill(team, weight, at).tokens < 1,
	};
}
