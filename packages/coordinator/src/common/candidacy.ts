/** Observations on which a daemon without contact to the leader decides whether to become a candidate. */
export interface CandidacyFacts {
	/**
	 * State of the leader record in the store: not readable, absent, of a leader that resigned, of an earlier process of this
	 * entry host, or of another leader that may still be alive.
	 */
	readonly record: 'unreadable' | 'none' | 'resigned' | 'own-former' | 'other';
	/** Whether the process at the leader's address answers that it does not lead. */
	readonly isDenied: boolean;
	/** Number of peers that answered whether they have contact to the leader. */
	readonly peersAnswered: number;
	/** Whether at least one peer has contact to the leader. */
	readonly isHeardByPeer: boolean;
	/** Time for which this daemon has seen no new leader record in the store, in milliseconds. */
	readonly standstillMs: number;
}

/**
 * Next action of the daemon. `stand`: become a candidate. `wait`: try again later. `follow`: the leader is alive, and only
 * this daemon has lost contact to it.
 */
export type CandidacyDecision = 'stand' | 'wait' | 'follow';

/**
 * Returns whether the term certainly has no leader, so that the peers need not be queried: the leader resigned, was an
 * earlier process of this entry host, or its process answers that it does not lead. The first daemon to append a record
 * obtains the next term. Skipping the query matters after all daemons were lost together, since querying peers that are
 * still starting takes a quarter of a second.
 */
export function isTermVacant(record: CandidacyFacts['record'], isDenied: boolean): boolean {
	return record === 'resigned' || record === 'own-former' || isDenied;
}

/**
 * Decides whether a daemon without contact to the leader becomes a candidate. A daemon that alone is partitioned from the
 * leader must not depose it while peers are still in contact with it. A daemon that reaches no peer relies on the leader
 * records in the store.
 * @param standstillMs time without a new leader record that proves that the leader does not reach the store either
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
