import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { kindError } from '@chestnutwheel/base/common/kindError.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import { JOURNAL_STALL_MS } from '@chestnutwheel/engine/common/jobs/journalStall.js';
import type { NotLeader, PeerHandlers, PeerSession, PeerMethods, StalePlan } from '../../common/peerProtocol.js';
import type { LeaderElection } from '../leadership/leaderElection.js';
import type { PlanCache } from '../plan/planCache.js';
import { journalUnavailable } from './jobSubmission.js';

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

/**
 * Results of calls that no leader may have executed, while the store does not serve the takeover of the journal. The calls
 * without an entry wait for the takeover.
 */
const resultsWhileBlocked: { readonly [Method in LeaderMethod]?: LeaderResult<Method> } = {
	'job.submit': journalUnavailable,
};

/** Client that calls the current leader. All methods are idempotent, so unanswered attempts are retried. */
export interface LeaderClient {
	/**
	 * Calls a method of the current leader, with retries until the deadline. A submission ends earlier when the store does not
	 * serve the leader's takeover of the journal: it is refused if no leader has received it, since only then it is certain that
	 * its job never runs.
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

/** Fields that a repeated call adds to its parameters when an earlier one got no answer. */
const uncertainFields: { readonly [Method in LeaderMethod]?: Partial<PeerMethods[Method]['parameters']> } = {
	'job.submit': { mayBeStored: true },
};

/** Fields that name the term of the leader for which a call is meant. The calls without an entry may be executed in any term. */
const termFields: {
	readonly [Method in LeaderMethod]?: (term: number) => Partial<PeerMethods[Method]['parameters']>;
} = {
	'job.submit': leaderTerm => ({ leaderTerm }),
};

type LocalHandler<Result> = (parameters: unknown, session: PeerSession) => Result | Promise<Result>;

const localSession: PeerSession = { peerName: undefined, peer: undefined };

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

	const callOnce = async <Method extends LeaderMethod>(
		method: Method,
		parameters: PeerMethods[Method]['parameters'],
		attemptMs: number,
	): Promise<PeerMethods[Method]['result']> => {
		if (election.isLeading) {
			return await (handlers()[method] as LocalHandler<PeerMethods[Method]['result']>)(parameters, localSession);
		}
		return (await election.leaderConnection()?.call(method, parameters, attemptMs)) ?? noLeader;
	};

	return {
		call: async (method, parameters, deadline, signal) => {
			type Result = PeerMethods[typeof method]['result'];
			/** Whether a leader may have executed the call, or an earlier call of the same submission. */
			let mayBeExecuted = false;
			/** Newest term whose leader was called and has not answered. */
			let unansweredTerm = -Infinity;
			const outcomeUnknown = (reason: string): Error => kindError('peer-unreachable', `${method}: ${reason}`);
			const leaderBy = clock.now() + leaderlessWaitMs[method];
			while (!signal.aborted && clock.now() < (mayBeExecuted ? deadline : Math.min(deadline, leaderBy))) {
				const attemptMs = Math.max(1, Math.min(ATTEMPT_TIMEOUT_MS, deadline - clock.now()));
				const leaderTerm = election.leader()?.term;
				const attempt: typeof parameters = {
					...parameters,
					...(mayBeExecuted && uncertainFields[method]),
					...(leaderTerm !== undefined && termFields[method]?.(leaderTerm)),
				};
				let result: Result;
				try {
					result = await callOnce(method, attempt, attemptMs);
					if (result.type === 'plan-behind') {
						await offerPlan(attemptMs);
						continue;
					}
				} catch {
					mayBeExecuted = true;
					unansweredTerm = Math.max(unansweredTerm, leaderTerm ?? 0);
					counters.add('leader_calls_failed_total', { method });
					await delay(RETRY_DELAY_MS, signal);
					continue;
				}
				if (result.type === 'refused' && (result.decidedBy?.term ?? 0) <= unansweredTerm) {
					// The same leader may still receive an earlier call, over a connection that has been closed since, and accept it.
					throw outcomeUnknown('a repeated call was refused, but an earlier one may be executed');
				}
				if (result.type !== 'not-leading') {
					return result as LeaderResult<typeof method>;
				}
				mayBeExecuted ||= result.mayBeStored === true;
				const whileBlocked = resultsWhileBlocked[method];
				if (whileBlocked !== undefined && (result.takeoverBlockedMs ?? 0) >= JOURNAL_STALL_MS) {
					if (mayBeExecuted) {
						throw outcomeUnknown('the leader cannot read the journal, which may contain the job');
					}
					return whileBlocked;
				}
				await delay(RETRY_DELAY_MS, signal);
			}
			throw mayBeExecuted
				? outcomeUnknown('the leader was called but did not answer in time')
				: kindError('no-leader', `${method}: there is no leader`);
		},
	};
}
