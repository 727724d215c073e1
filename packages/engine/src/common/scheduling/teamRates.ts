/** Time over which a team may send its share at once, in milliseconds; callers come in bursts of about a second. */
const BURST_WINDOW_MS = 1_000;

/** Whether teams send more than their share. */
export interface TeamRates {
	/**
	 * Counts one job of a team.
	 * @param weight jobs a second that are the team's share
	 * @param at wall clock of the acceptance, in milliseconds since 1970
	 * @returns whether the job is beyond the share
	 */
	count(team: string, weight: number, at: number): boolean;
}

/**
 * Finds the jobs of a team that sends many times its share. They run after those of the other teams, so that one team's
 * burst does not make all of them late; while there is room they run at once.
 */
export function createTeamRates(): TeamRates {
	const buckets = new Map<string, { tokens: number; at: number }>();
	return {
		count: (team, weight, at) => {
			const depth = Math.max(1, (weight * BURST_WINDOW_MS) / 1_000);
			const known = buckets.get(team) ?? { tokens: depth, at };
			const refilled = Math.min(depth, known.tokens + (Math.max(0, at - known.at) * weight) / 1_000);
			const exceedsShare = refilled < 1;
			buckets.set(team, { tokens: exceedsShare ? refilled : refilled - 1, at: Math.max(at, known.at) });
			return exceedsShare;
		},
	};
}
