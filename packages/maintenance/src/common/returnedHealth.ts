/** The first results of hosts that a wave has returned. */
export interface ReturnedHealth {
	/** Counts one result. @returns whether the host began or ceased to count as failing */
	readonly takeResult: (host: string, succeeded: boolean) => boolean;
	/** Counts a host as failing without results, when a stop reason names it. */
	readonly markFailing: (host: string) => void;
	readonly isFailing: (host: string) => boolean;
	readonly clear: () => void;
}

/** Results by which a returned host is judged. */
const FIRST_RESULTS = 3;
/** Failures among them that make the host count as failing. */
const FAILURES_OF_FIRST = 2;
/** Successes in a row after which a failing host counts as well again. */
const SUCCESSES_TO_RECOVER = 3;

/** Creates an empty record. */
export function createReturnedHealth(): ReturnedHealth {
	const records = new Map<string, { seen: number; failures: number; successesInARow: number }>();

	const recordOf = (host: string): { seen: number; failures: number; successesInARow: number } => {
		const known = records.get(host);
		if (known !== undefined) {
			return known;
		}
		const created = { seen: 0, failures: 0, successesInARow: 0 };
		records.set(host, created);
		return created;
	};

	const isFailing = (host: string): boolean => (records.get(host)?.failures ?? 0) >= FAILURES_OF_FIRST;

	return {
		takeResult: (host, succeeded) => {
			const record = recordOf(host);
			const before = isFailing(host);
			record.successesInARow = succeeded ? record.successesInARow + 1 : 0;
			if (record.seen < FIRST_RESULTS) {
				record.seen++;
				record.failures += succeeded ? 0 : 1;
			}
			if (record.seen >= FIRST_RESULTS && record.successesInARow >= SUCCESSES_TO_RECOVER) {
				record.failures = 0;
			}
			return before !== isFailing(host);
		},
		markFailing: host => {
			records.set(host, { seen: FIRST_RESULTS, failures: FAILURES_OF_FIRST, successesInARow: 0 });
		},
		isFailing,
		clear: () => records.clear(),
	};
}

/** Tells whether so many of the returned hosts fail that the wave has to stop: a fifth, and at least 2. */
export function tooManyFailing(failing: number, returned: number): boolean {
	return failing >= 2 && failing * 5 >= returned;
}
