/** Number of followers that make calls to workers for the leader. Fewer ones receive more calls with each message. */
const MAXIMUM_RELAYS = 8;

/** A follower that can make calls for the leader. */
export interface RelayCandidate {
	readonly entryHost: string;
	/** Whether the follower has as much processor time as a leader needs. */
	readonly canLead: boolean;
}

const HASH_OFFSET = 0x811c9dc5;
const HASH_PRIME = 0x01000193;
const AVALANCHE_PRIME = 0x85ebca6b;

/** Returns a 32-bit hash (FNV-1a) of a text, mixed so that similar texts give unrelated values. */
function hash(text: string): number {
	let value = HASH_OFFSET;
	for (let index = 0; index < text.length; index++) {
		value = Math.imul(value ^ text.charCodeAt(index), HASH_PRIME);
	}
	value = Math.imul(value ^ (value >>> 16), AVALANCHE_PRIME);
	return (value ^ (value >>> 13)) >>> 0;
}

/** A latency up to this one is no reason to call past a relay, in milliseconds. */
const UNSUSPICIOUS_LATENCY_MS = 100;

/** Multiple of the median latency from which on a relay is slow. */
const SLOW_MULTIPLE = 3;

/** Whether a relay takes much longer than the others, which a leader that is slow itself does not cause. */
export function isSlowRelay(latencyMs: number, latenciesOfAll: readonly number[]): boolean {
	const sorted = latenciesOfAll.toSorted((left, right) => left - right);
	const medianMs = sorted[Math.floor(sorted.length / 2)] ?? 0;
	return latencyMs > Math.max(UNSUSPICIOUS_LATENCY_MS, SLOW_MULTIPLE * medianMs);
}

/**
 * Chooses the followers that make calls for the leader. The choice depends on the names alone, so that the next leader chooses
 * mostly the same ones, whose connections to the workers are open.
 */
export function chooseRelays<Candidate extends RelayCandidate>(candidates: readonly Candidate[]): readonly Candidate[] {
	return candidates
		.toSorted(
			(left, right) =>
				Number(right.canLead) - Number(left.canLead) ||
				hash(left.entryHost) - hash(right.entryHost) ||
				left.entryHost.localeCompare(right.entryHost),
		)
		.slice(0, MAXIMUM_RELAYS);
}

/** Chooses the relay of a worker by rendezvous hashing, so that the loss of a relay moves no worker of the others. */
export function relayOf<Candidate extends RelayCandidate>(
	relays: readonly Candidate[],
	address: string,
): Candidate | undefined {
	let best: Candidate | undefined;
	let bestHash = -1;
	for (const relay of relays) {
		const value = hash(`${relay.entryHost} ${address}`);
		if (value > bestHash) {
			best = relay;
			bestHash = value;
		}
	}
	return best;
}
