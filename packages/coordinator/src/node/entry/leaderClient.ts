import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { kindError } from '@chestnutwheel/base/common/kindError.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { NotLeader, PeerHandlers, PeerSession, PeerMethods, StalePlan } from '../../common/peerProtocol.js';
import type { LeaderElection } from '../leadership/leaderElection.js';
import type { PlanCache } from '../plan/planCache.js';

/** Methods that only the leader answers. */
export type LeaderMethod = 'job.submit' | 'job.cancel' | 'job.state' | 'queue.pending';

/** The answer of a leader. */
export type LeaderResult<Method extends LeaderMethod> = Exclude<PeerMethods[Method]['result'], NotLeader | StalePlan>;

/** Time that one attempt has before it is tried again, perhaps with another leader. */
const ATTEMPT_TIMEOUT_MS = 1_500;

/** Pause before the next attempt while nobody leads. */
const RETRY_DELAY_MS = 25;

/** Calls the leader, whoever it is by then. All methods are idempotent, so an attempt without an answer is repeated. */
export interface LeaderClient {
	/**
	 * @param deadline on this daemon's monotonic clock
	 * @throws `no-leader` when no leader was ever asked, `peer-unreachable` when one was and the outcome is unknown
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

/** Creates the calls of one daemon. */
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
			while (!signal.aborted && clock.now() < deadline) {
				const attemptMs = Math.max(1, Math.min(ATTEMPT_TIMEOUT_MS, deadline - clock.now()));
				const connection = election.leaderConnection();
				try {
					const result: Result = election.isLeading
						? await (handlers()[method] as LocalHandler<Result>)(parameters, { peerName: undefined })
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
				? kindError('peer-unreachable', `${method}: the leader was asked and has not answered in time`)
				: kindError('no-leader', `${method}: no daemon leads`);
		},
	};
}
