import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { FollowerStatus, NotLeader, PeerHandlers } from '../../common/peerProtocol.js';
import { refuseWhileBlocked, submitOnLeader } from './jobSubmission.js';
import type { WorkerFeed } from '@chestnutwheel/ports/common/feeds.js';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import { decodeBytes, encodeNewestOutcome, encodeReadOutcome } from '../../common/relayCodec.js';
import type { LeaderTerm } from '../leader/leaderTerm.js';
import type { LeaderElection } from '../leadership/leaderElection.js';
import { newestWaveOf, type PlanCache } from '../plan/planCache.js';

/** Options of {@link createPeerHandlers}. */
export interface PeerHandlersOptions {
	readonly self: { readonly entryHost: string };
	/** Returns whether this daemon may lead, and for how long its process has run. */
	readonly status: () => Omit<FollowerStatus, 'entryHost'>;
	readonly election: LeaderElection;
	/** Returns the term of this daemon while it leads. */
	readonly term: () => LeaderTerm | undefined;
	/** Returns the time since which the store does not serve the takeover of the journal by this daemon, if it does not. */
	readonly blockedSince: () => number | undefined;
	readonly planCache: PlanCache;
	readonly isStoreReachable: () => Promise<boolean>;
	/** Store of this daemon, to which it relays calls of a leader. */
	readonly log: LogService;
	readonly workerFeed: WorkerFeed;
	readonly signal: AbortSignal;
	readonly clock: Clock;
}

/** Creates the handlers of the peer protocol. */
export function createPeerHandlers(options: PeerHandlersOptions): PeerHandlers {
	const { self, status, election, term, blockedSince, planCache, isStoreReachable, clock } = options;
	const { log, workerFeed, signal } = options;
	const notLeading = (): NotLeader => ({ type: 'not-leading', leader: election.leader() });

	return {
		'peer.hello': async ({ entryHost }, session) => {
			session.peerName = entryHost;
			// A peer that has already read a new leader record of this daemon must not be told that it does not lead.
			await election.whenCandidacyDecided();
			return { entryHost: self.entryHost, leader: election.isLeading ? election.leader() : undefined };
		},
		'leader.heard': () => ({ leader: election.leader(), silentForMs: election.leaderSilenceMs() }),
		'leader.alive': alive => {
			election.recordHeartbeat(alive, clock.now());
			return {
				planVersion: planCache.current()?.version ?? 0,
				newestWave: newestWaveOf(planCache),
				entryHost: self.entryHost,
				...status(),
			};
		},
		'job.submit': submission => {
			const currentTerm = term();
			const now = clock.now();
			if (currentTerm !== undefined) {
				return submitOnLeader(currentTerm, submission, now);
			}
			const since = blockedSince();
			return (since === undefined ? undefined : refuseWhileBlocked(now - since)) ?? notLeading();
		},
		'job.cancel': async ({ id, team }) => {
			const currentTerm = term();
			if (currentTerm === undefined) {
				return notLeading();
			}
			const decision = currentTerm.engine.cancel(id, team, clock.now());
			currentTerm.flush();
			if (decision.type === 'cancelled') {
				await currentTerm.whenStored(decision.batch);
			}
			return decision;
		},
		'job.state': ({ id, team }) => term()?.engine.state(id, team) ?? notLeading(),
		'queue.pending': ({ queue }) => {
			const currentTerm = term();
			return currentTerm === undefined
				? notLeading()
				: { type: 'pending', pending: currentTerm.engine.pendingCount(queue) };
		},
		'plan.get': () => ({ plan: planCache.current(), waves: planCache.waves() }),
		'plan.offer': ({ plan: offered }) => {
			planCache.offer(offered);
			return { version: planCache.current()?.version ?? 0 };
		},
		'store.append': async ({ topic, records, conditions }) => ({
			outcome: await log.append(topic, records.map(decodeBytes), conditions, signal),
		}),
		'store.read': async ({ topic, from, waitMs }) => ({
			outcome: encodeReadOutcome(await log.read(topic, from, waitMs, signal)),
		}),
		'store.newest': async ({ topic }) => ({ outcome: encodeNewestOutcome(await log.newest(topic, signal)) }),
		'feed.workers': async ({ from }) => ({
			outcome: from === undefined ? await workerFeed.snapshot(signal) : await workerFeed.changes(from, 0, signal),
		}),
		'store.reachable': async () => ({ reachable: await isStoreReachable() }),
	};
}
