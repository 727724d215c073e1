import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { LeaderElectionSettings } from '../../common/coordinatorSettings.js';
import type { LeaderIdentity } from '../../common/peerProtocol.js';
import type { PeerNetwork } from '../peers/peerNetwork.js';
import type { MemberList } from './memberList.js';

/** Number of peers that are asked first. While a leader is alive, most daemons have contact to it. */
const FIRST_PEERS = 6;

/**
 * Number of further peers that are asked if none of the first has contact to a leader. After more than half of the daemons
 * have restarted at once, it is very unlikely that none of all these has contact to a leader that is alive.
 */
const FURTHER_PEERS = 24;

/** What peers know of the leader. */
export interface PeerAnswers {
	/** Number of peers that answered. */
	readonly answered: number;
	/** Leader of the newest term to which a peer has contact. */
	readonly knownLeader: LeaderIdentity | undefined;
}

/** Options of {@link createPeerQuery}. */
export interface PeerQueryOptions {
	readonly settings: LeaderElectionSettings;
	readonly network: PeerNetwork;
	readonly members: MemberList;
	readonly random: SeededRandom;
}

/**
 * Creates a query of the peers for their contact to a leader. It asks a random sample, since all daemons ask at the same
 * time when they have lost the leader or have been restarted together: if each asked every other one, the calls would grow
 * with the square of their number and slow the leader down further.
 */
export function createPeerQuery({ settings, network, members, random }: PeerQueryOptions): () => Promise<PeerAnswers> {
	const shuffledAddresses = (): string[] => {
		const addresses = [...members.otherAddresses()];
		for (let last = addresses.length - 1; last > 0; last--) {
			const other = random.nextInteger(last + 1);
			[addresses[last], addresses[other]] = [addresses[other] ?? '', addresses[last] ?? ''];
		}
		return addresses;
	};

	const ask = async (addresses: readonly string[]): Promise<PeerAnswers> => {
		const answers = await Promise.all(
			addresses.map(async address => {
				try {
					const peer = await network.dial(address, settings.askPeersMs);
					return await peer.call('leader.heard', {}, settings.askPeersMs);
				} catch {
					network.disconnect(address);
					return undefined;
				}
			}),
		);
		const answered = answers.filter(answer => answer !== undefined);
		const knownLeader = answered
			.filter(answer => answer.silentForMs < settings.silenceMs && answer.leader !== undefined)
			.flatMap(answer => (answer.leader === undefined ? [] : [answer.leader]))
			.sort((left, right) => right.term - left.term)[0];
		return { answered: answered.length, knownLeader };
	};

	return async () => {
		const addresses = shuffledAddresses();
		const first = await ask(addresses.slice(0, FIRST_PEERS));
		if (first.knownLeader !== undefined) {
			return first;
		}
		const further = await ask(addresses.slice(FIRST_PEERS, FIRST_PEERS + FURTHER_PEERS));
		return { answered: first.answered + further.answered, knownLeader: further.knownLeader };
	};
}
