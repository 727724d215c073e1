import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { kindError } from '@chestnutwheel/base/common/kindError.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { NotLeader, PeerHandlers, PeerSession, PeerMethods, StalePlan } from '../../common/peerProtocol.js';
import type { LeaderElection } from '../leadership/leaderElection.js';
import type { PlanCache } from '../plan/planCache.js';

/** Methods of the peer protocol that only the leader executes. */
export type LeaderMethod = 'job.submit' | 'job.cancel' | 'job.state' | 'queue.pending';

/** Result of a method that the leader has executed. */
export type LeaderResult<Method extends LeaderMethod> = Exclude<PeerMethods[Method]['result'], NotLeader | StalePlan>;

/** Timeout of one attempt. The retry may go to another leader. */
const ATTEMPT_TIMEOUT_MS = 1_500;

/** Delay before a retry after a failed attempt or while there is no leader. */
const RETRY_DELAY_MS = 25;

/**
 * Longest time that a call waits while no leader is known to have received it. A change of leader usually takes less. A
 * submission is then refused, so that its caller can return in time; the other calls change nothing by waiting longer.
 */
const leaderlessWaitMs: Readonly<Record<LeaderMethod, number>> = {
	'job.submit': 1_500,
	'job.cancel': Infinity,
	'job.state': Infinity,
	'queue.pending': Infinity,
};

/** Client that calls the current leader. All methods are idempotent, so unanswered attempts are retried. */
export interface LeaderClient {
	/**
	 * Calls a method of the current leader, with retries until the deadline.
	 * @param deadline time on the monotonic clock of this daemon, in milliseconds
	 * @throws `no-leader` when no call was sent to a leader, `peer-unreachable` when one was and its outcome is unknown
	 */
	call<Method extends LeaderMethod>(
		method: Method,
		parameters: PeerMethods[Method]['parameters'],
		deadline: number,
		signal: AbortSignal,
	): Promise<LeaderResult<Method>>;
}

type LocalHandler<Result> = (parameters: unknown, session: PeerSession) => Result | Promise<Result>;

const noLeader: NotLeader = { type: 'not-leading', leader: undefined };

/** Options of {@link createLeaderClient}. */
export interface LeaderClientOptions {
	readonly election: LeaderElection;
	readonly handlers: () => PeerHandlers;
	readonly planCache: PlanCache;
	readonly clock: Clock;
	readonly counters: Counters;
}

/** Creates the leader client of a daemon. */
export function createLeaderClient({
	election,
	handlers,
	planCache,
	clock,
	counters,
}: LeaderClientOptions): LeaderClient {
	const offerPlan = async (attemptMs: number): Promise<void> => {
		const current = planCache.current();
		if (current !== undefined) {
			await election.leaderConnection()?.call('plan.offer', { plan: current }, attemptMs);
		}
	};

	return {
		call: async (method, parameters, deadline, signal) => {
			type Result = PeerMethods[typeof method]['result'];
			let wasCallSent = false;
			const leaderBy = clock.now() + leaderlessWaitMs[method];
			while (!signal.aborted && clock.now() < (wasCallSent ? deadline : Math.min(deadline, leaderBy))) {
				const attemptMs = Math.max(1, Math.min(ATTEMPT_TIMEOUT_MS, deadline - clock.now()));
				const connection = election.leaderConnection();
				try {
					const result: Result = election.isLeading
						? await (handlers()[method] as LocalHandler<Result>)(parameters, { peerName: undefined, peer: undefined })
						: ((await connection?.call(method, parameters, attemptMs)) ?? noLeader);
					if (result.type === 'not-leading') {
						await delay(RETRY_DELAY_MS, signal);
					} else if (result.type === 'plan-behind') {
						await offerPlan(attemptMs);
					} else {
						return result as LeaderResult<typeof method>;
					}
				} catch {
					wasCallSent = true;
					counters.add('leader_calls_failed_total', { method });
					await delay(RETRY_DELAY_MS, signal);
				}
			}
			throw wasCallSent
				? kindError('peer-unreachable', `${method}: the leader was called but did not answer in time`)
				: kindError('no-leader', `${method}: there is no leader`);
		},
	};
}
