import type { Grant } from '@chestnutwheel/dispatch/common/dispatchMessages.js';

/** The grants under which this daemon runs attempts now. */
export interface HeldGrants {
	/**
	 * Takes a grant before its attempt starts.
	 * @returns false when a leader with a later term has already asked for the list, which this grant then lacked
	 */
	take(cell: string, grant: Grant): boolean;
	/** Drops a grant after its attempt has ended. */
	drop(cell: string, grantId: string): void;
	/** The list for a new leader; grants of earlier terms that arrive later are not taken any more. */
	report(cell: string, term: number): readonly Grant[];
	readonly size: number;
}

/** Creates an empty table. */
export function createHeldGrants(): HeldGrants {
	const byCell = new Map<string, Map<string, Grant>>();
	const reportedTerms = new Map<string, number>();

	const grantsOf = (cell: string): Map<string, Grant> => {
		const known = byCell.get(cell) ?? new Map<string, Grant>();
		byCell.set(cell, known);
		return known;
	};

	return {
		take: (cell, grant) => {
			if (grant.permit.term < (reportedTerms.get(cell) ?? 0)) {
				return false;
			}
			grantsOf(cell).set(grant.grantId, grant);
			return true;
		},
		drop: (cell, grantId) => {
			grantsOf(cell).delete(grantId);
		},
		report: (cell, term) => {
			reportedTerms.set(cell, Math.max(term, reportedTerms.get(cell) ?? 0));
			return [...grantsOf(cell).values()];
		},
		get size() {
			return [...byCell.values()].reduce((sum, grants) => sum + grants.size, 0);
		},
	};
}
