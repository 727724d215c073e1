import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { FollowerStatus, LeaderIdentity, PeerMethods } from '../../common/peerProtocol.js';
import { chooseSuccessor, type SuccessorCandidate } from '../../common/successorChoice.js';
import type { MemberList } from '../leadership/memberList.js';
import type { PeerConnection } from '../peers/peerConnection.js';
import type { PeerNetwork } from '../peers/peerNetwork.js';
import { newestWaveOf, type PlanCache } from '../plan/planCache.js';

/** Timeout of a call to a follower. */
const FOLLOWER_CALL_TIMEOUT_MS = 1_000;

/** What a resigning leader announces. */
export interface Resignation {
	/** End offset of the leader topic; `undefined` if the successor has to read it. */
	readonly topicEnd?: number | undefined;
	/** Entry host of the chosen successor. */
	readonly successor?: string | undefined;
}

/** Followers of a leader, as far as they are connected to it. */
export interface Followers {
	/** Sends a heartbeat to every follower, or announces that the leader resigns. */
	sendHeartbeats(resignation?: Resignation): void;
	/** Announces the term to the daemons that are not connected yet. They connect when they learn of it. */
	announce(signal: AbortSignal): Promise<void>;
	/** Asks the followers whether the store serves at least one of them. */
	isStoreServingOne(): Promise<boolean>;
	/** Returns the entry host that should lead next; `undefined` when no follower is known that can. */
	chooseSuccessor(): string | undefined;
	/** Number of connected followers. */
	readonly count: number;
}

/** Options of {@link createFollowers}. */
export interface FollowersOptions {
	readonly identity: LeaderIdentity;
	readonly network: PeerNetwork;
	readonly members: MemberList;
	readonly planCache: PlanCache;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly connectTimeoutMs: number;
	/** Called whenever a follower has said what it can do for the leader. */
	readonly onFollowerStatus: (connection: PeerConnection, status: FollowerStatus) => void;
}

/** Creates the followers of a term. */
export function createFollowers(options: FollowersOptions): Followers {
	const { identity, network, members, planCache, clock, counters, connectTimeoutMs, onFollowerStatus } = options;
	const statuses = new WeakMap<PeerConnection, SuccessorCandidate<string>>();

	/** Brings the fleet plans of leader and follower in line; the store may be rejecting one of the two. */
	const exchangePlans = async (
		connection: PeerConnection,
		{ planVersion, newestWave, newestEvacuation }: PeerMethods['leader.alive']['result'],
	): Promise<void> => {
		const current = planCache.current();
		if (current !== undefined && planVersion < current.version) {
			await connection.call('plan.offer', { plan: current }, FOLLOWER_CALL_TIMEOUT_MS);
		} else if (
			planVersion > (current?.version ?? 0) ||
			newestWave > newestWaveOf(planCache) ||
			(newestEvacuation ?? -1) > planCache.newestEvacuation
		) {
			const { plan: newer, waves, evacuations } = await connection.call('plan.get', {}, FOLLOWER_CALL_TIMEOUT_MS);
			if (newer !== undefined) {
				planCache.offer(newer);
			}
			planCache.offerWaves(waves);
			planCache.offerEvacuations(evacuations ?? []);
		}
	};

	const sendHeartbeat = async (connection: PeerConnection, resignation: Resignation | undefined): Promise<void> => {
		const planVersion = planCache.current()?.version ?? 0;
		const parameters = { leader: identity, planVersion, isResigning: resignation !== undefined, ...resignation };
		try {
			const answer = await connection.call('leader.alive', parameters, FOLLOWER_CALL_TIMEOUT_MS);
			const { entryHost: follower, canLead, uptimeMs } = answer;
			statuses.set(connection, { follower, canLead, startedAt: clock.now() - uptimeMs });
			onFollowerStatus(connection, answer);
			await exchangePlans(connection, answer);
		} catch {
			counters.add('followers_silent_total');
		}
	};

	return {
		sendHeartbeats: resignation => {
			network.incoming().forEach(connection => void sendHeartbeat(connection, resignation));
		},
		announce: async signal => {
			await members.refresh(signal);
			for (const address of members.otherAddresses()) {
				network.dial(address, connectTimeoutMs).then(
					connection => sendHeartbeat(connection, undefined),
					() => counters.add('members_unreachable_total'),
				);
			}
		},
		isStoreServingOne: async () => {
			const answers = await Promise.all(
				network.incoming().map(async connection => {
					try {
						return (await connection.call('store.reachable', {}, FOLLOWER_CALL_TIMEOUT_MS)).reachable;
					} catch {
						return false;
					}
				}),
			);
			return answers.includes(true);
		},
		chooseSuccessor: () => chooseSuccessor(network.incoming().flatMap(connection => statuses.get(connection) ?? [])),
		get count() {
			return network.incoming().length;
		},
	};
}
