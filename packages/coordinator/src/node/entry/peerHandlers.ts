import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { NotLeader, PeerHandlers } from '../../common/peerProtocol.js';
import type { LeaderTerm } from '../leader/leaderTerm.js';
import type { LeaderElection } from '../leadership/leaderElection.js';
import type { PlanCache } from '../plan/planCache.js';

/** Options of {@link createPeerHandlers}. */
export interface PeerHandlersOptions {
	readonly self: { readonly entryHost: string };
	readonly election: LeaderElection;
	/** Returns the term of this daemon while it leads. */
	readonly term: () => LeaderTerm | undefined;
	readonly planCache: PlanCache;
	readonly isStoreReachable: () => Promise<boolean>;
	readonly clock: Clock;
}

/** Creates the handlers of the peer protocol. */
export function createPeerHandlers(options: PeerHandlersOptions): PeerHandlers {
	const { self, election, term, planCache, isStoreReachable, clock } = options;
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
			return { planVersion: planCache.current()?.version ?? 0 };
		},
		'job.submit': async submission => {
			const currentTerm = term();
			if (currentTerm === undefined) {
				return notLeading();
			}
			const { engine } = currentTerm;
			if ((engine.plan?.version ?? 0) < submission.planVersion) {
				return { type: 'plan-behind', version: engine.plan?.version ?? 0 };
			}
			const decision = engine.submit(submission, clock.now());
			currentTerm.flush();
			if (decision.type === 'accepted') {
				await currentTerm.whenStored(decision.batch);
			}
			return decision;
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
		'plan.get': () => ({ plan: planCache.current() }),
		'plan.offer': ({ plan: offered }) => {
			planCache.offer(offered);
			return { version: planCache.current()?.version ?? 0 };
		},
		'store.reachable': async () => ({ reachable: await isStoreReachable() }),
	};
}
