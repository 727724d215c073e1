/** Limits retries to a fraction of the requests, so that a failing pool is not loaded further. */
export interface RetryBudget {
	/** Counts a first attempt, which earns part of a retry. */
	earn(team: string): void;
	/** Takes one retry; false when the budget is spent. */
	take(team: string): boolean;
}

/** Retries earned by one request. */
const EARNED_PER_REQUEST = 0.1;
/** Most retries that a team can have in store. */
const BUCKET_SIZE = 10;

/** Creates a budget with a full bucket for each team. */
export function createRetryBudget(): RetryBudget {
	const buckets = new Map<string, number>();
	const level = (team: string): number => buckets.get(team) ?? BUCKET_SIZE;
	return {
		earn: team => {
			buckets.set(team, Math.min(BUCKET_SIZE, level(team) + EARNED_PER_REQUEST));
		},
		take: team => {
			const present = level(team);
			if (present < 1) {
				return false;
			}
			buckets.set(team, present - 1);
			return true;
		},
	};
}
