import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { NotLeading, PeerHandlers } from '../../common/peerProtocol.js';
import type { LeaderTerm } from '../leader/leaderTask.js';
import type { LeadershipTask } from '../leadership/leadershipTask.js';
import type { PlanKeeper } from '../plan/planKeeper.js';

/** Options of {@link createPeerHandlers}. */
export interface PeerHandlersOptions {
	readonly self: { readonly entryHost: string };
	readonly leadership: LeadershipTask;
	/** The term of this daemon, while it leads. */
	readonly term: () => LeaderTerm | undefined;
	readonly plan: PlanKeeper;
	readonly storeReachable: () => Promise<boolean>;
	readonly clock: Clock;
}

/** Creates the answers to other daemons. */
export function createPeerHandlers(options: PeerHandlersOptions): PeerHandlers {
	const { self, leadership, term, plan, storeReachable, clock } = options;
	const notLeading = (): NotLeading => ({ type: 'not-leading', leader: leadership.leader() });

	return {
		'peer.hello': async ({ entryHost }, link) => {
			link.peer = entryHost;
			// Whoever has read a new record of this daemon must not be told that it does not lead.
			await leadership.decided();
			return { entryHost: self.entryHost, leader: leadership.isLeading ? leadership.leader() : undefined };
		},
		'leader.heard': () => ({ leader: leadership.leader(), silentForMs: leadership.silentForMs() }),
		'leader.alive': alive => {
			leadership.heard(alive, clock.now());
			return { planVersion: plan.current()?.version ?? 0 };
		},
		'job.submit': async submission => {
			const leading = term();
			if (leading === undefined) {
				return notLeading();
			}
			const { engine } = leading;
			if ((engine.plan?.version ?? 0) < submission.planVersion) {
				return { type: 'plan-behind', version: engine.plan?.version ?? 0 };
			}
			const decision = engine.submit(submission, clock.now());
			leading.flush();
			if (decision.type === 'accepted') {
				await leading.stored(decision.batch);
			}
			return decision;
		},
		'job.cancel': async ({ id, team }) => {
			const leading = term();
			if (leading === undefined) {
				return notLeading();
			}
			const decision = leading.engine.cancel(id, team, clock.now());
			leading.flush();
			if (decision.type === 'cancelled') {
				await leading.stored(decision.batch);
			}
			return decision;
		},
		'job.state': ({ id, team }) => term()?.engine.state(id, team) ?? notLeading(),
		'queue.pending': ({ queue }) => {
			const leading = term();
			return leading === undefined ? notLeading() : { type: 'pending', pending: leading.engine.pending(queue) };
		},
		'plan.get': () => ({ plan: plan.current() }),
		'plan.offer': ({ plan: offered }) => {
			plan.offer(offered);
			return { version: plan.current()?.version ?? 0 };
		},
		'store.reachable': async () => ({ reachable: await storeReachable() }),
	};
}
