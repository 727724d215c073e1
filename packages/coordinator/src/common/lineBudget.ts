const SECOND_MS = 1_000;

/** Share of the lines of a second that frequent decisions may use. The rest is reserved for rare ones. */
const SHARE_OF_FREQUENT_DECISIONS = 0.8;

/** Number of lines per second up to which a decision counts as rare. */
const RARE_LINES = 5;

/** Limits the number of decision lines per second. */
export interface LineBudget {
	/**
	 * Begins a new second if the last one has passed.
	 * @param now monotonic time in milliseconds
	 * @returns the number of lines left out in the second that has passed; 0 within a second
	 */
	beginSecond(now: number): number;
	/** Returns whether a line may be written. */
	admit(decision: string): boolean;
}

/**
 * Creates a budget. While hundreds of tasks start and end per second, their lines use up the budget; lines about leadership
 * and the store, which explain a gap in service, are few and must not be left out with them.
 */
export function createLineBudget(linesPerSecond: number): LineBudget {
	let second = 0;
	let lines = 0;
	let omitted = 0;
	const linesByDecision = new Map<string, number>();

	const isExhaustedFor = (decision: string): boolean => {
		const isRare = (linesByDecision.get(decision) ?? 0) < RARE_LINES;
		return lines >= linesPerSecond * (isRare ? 1 : SHARE_OF_FREQUENT_DECISIONS);
	};

	return {
		beginSecond: now => {
			const current = Math.floor(now / SECOND_MS);
			if (current === second) {
				return 0;
			}
			const omittedBefore = omitted;
			second = current;
			lines = 0;
			omitted = 0;
			linesByDecision.clear();
			return omittedBefore;
		},
		admit: decision => {
			if (isExhaustedFor(decision)) {
				omitted++;
				return false;
			}
			lines++;
			linesByDecision.set(decision, (linesByDecision.get(decision) ?? 0) + 1);
			return true;
		},
	};
}
