import type { DecidingLeader } from '../../common/peerProtocol.js';
import type { LeaderTerm } from './leaderTerm.js';

/** Describes the leader of a term for a response that is sent now. */
export function decidingLeader({ identity, proof }: Pick<LeaderTerm, 'identity' | 'proof'>): DecidingLeader {
	return { leader: identity.entryHost, term: identity.term, proofAgeMs: Math.round(proof.ageMs()) };
}
