/** What a daemon that does not hear the leader knows. */
export interface CandidacyFacts {
	/** What the store says: nothing yet, no leader, one that stepped down, or one that may live. */
	readonly record: 'unreadable' | 'none' | 'resigned' | 'own-former' | 'other';
	/** Whether the process at the leader's address says that it does not lead. */
	readonly isDenied: boolean;
	/** Other daemons that answered whether they hear the leader. */
	readonly peersAnswered: number;
	/** Whether one of them hears it. */
	readonly isHeardByPeer: boolean;
	/** Time for which the leader's records in the store have not moved, as this daemon has seen it. */
	readonly standstillMs: number;
}

/** What the daemon does next. `follow`: the leader lives and only this daemon does not hear it. */
export type CandidacyDecision = 'stand' | 'wait' | 'follow';

/**
 * Whether the term is surely without a leader, so that the other daemons need not be asked: its leader stepped down, was an
 * earlier process of this entry host, or its process says that it does not lead. Whoever appends first has the next term.
 * After all daemons were lost together, asking those that are still starting takes a quarter of a second.
 */
export function isTermVacant(record: CandidacyFacts['record'], isDenied: boolean): boolean {
	return record === 'resigned' || record === 'own-former' || isDenied;
}

/**
 * Decides whether a daemon that does not hear the leader takes its place. A daemon that alone is cut off must not depose
 * a leader that the others hear, and a daemon that reaches nobody relies on the leader's records in the store.
 * @param standstillMs standstill that proves that the leader does not reach the store either
 */
export function decideCandidacy(facts: CandidacyFacts, standstillMs: number): CandidacyDecision {
	if (facts.record === 'unreadable') {
		return facts.isHeardByPeer ? 'follow' : 'wait';
	}
	if (facts.record === 'none' || facts.record === 'own-former') {
		return 'stand';
	}
	if (facts.isHeardByPeer) {
		return 'follow';
	}
	if (facts.record === 'resigned' || facts.isDenied || facts.peersAnswered > 0) {
		return 'stand';
	}
	return facts.standstillMs >= standstillMs ? 'stand' : 'wait';
}
