import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import type { LatencyRecorder } from '@chestnutwheel/base/node/latencyRecorder.js';
import { kindError, errorKindOf, errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import type { DecisionLogger } from '@chestnutwheel/engine/common/engineMessages.js';
import type { QueuePlan } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { JobSpec, JobState } from '@chestnutwheel/ports/common/jobSpec.js';
import type { PeerMethods } from '../../common/peerProtocol.js';
import { createRouteTable, type RouteTable } from '../../common/routeTable.js';
import type { PlanCache } from '../plan/planCache.js';
import type { LeaderClient, LeaderResult } from './leaderClient.js';

/** Injection token of the {@link CallService}. */
export const CALL_SERVICE = Symbol('CallService');

/** Time reserved to send the response before the caller's deadline. */
const RESPONSE_MARGIN_MS = 60;

/** Maximum time that a call waits for a leader. */
const MAXIMUM_CALL_MS = 10_000;

/** Request context of a call: its address, key, deadline and cancellation. */
export interface CallContext {
	readonly host: string;
	readonly path: string;
	readonly key: string | undefined;
	/** Time that the caller waits for the answer, in milliseconds. */
	readonly waitMs: number | undefined;
	readonly signal: AbortSignal;
}

/** Resolved route of a call: the queue, the team and the path after the prefix of the queue. */
export interface CallRoute {
	readonly queue: QueuePlan;
	readonly subpath: string;
	readonly team: string | undefined;
	readonly planVersion: number;
	/** Maximum size of the body of a call, in bytes. */
	readonly bodyBytes: number;
}

/** Result of a submission. */
export type SubmitResult =
	| { readonly type: 'accepted' }
	| { readonly type: 'refused'; readonly kind: ErrorKind; readonly reason: string; readonly retryAfterMs: number };

/** Service for the calls of API clients: routes them and forwards them to the leader. */
export interface CallService {
	/**
	 * Resolves the queue of a call and checks its key.
	 * @throws `not-ready` without a fleet plan, `unknown-queue` or `unknown-key` when the plan has no match
	 */
	route(context: CallContext): CallRoute;
	submit(route: CallRoute, id: string, spec: JobSpec, context: CallContext): Promise<SubmitResult>;
	/** @throws `unknown-job` */
	cancel(route: CallRoute, id: string, context: CallContext): Promise<void>;
	/** @throws `unknown-job` */
	state(route: CallRoute, id: string, context: CallContext): Promise<JobState>;
	pending(route: CallRoute, context: CallContext): Promise<number>;
}

/** Options of {@link createCallService}. */
export interface CallServiceOptions {
	readonly planCache: PlanCache;
	readonly leaderClient: LeaderClient;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly latencies: LatencyRecorder;
	readonly logDecision: DecisionLogger;
}

/** Creates the call service of a daemon. */
export function createCallService(options: CallServiceOptions): CallService {
	const { planCache, leaderClient, clock, counters, latencies, logDecision } = options;
	let routes: { readonly version: number; readonly table: RouteTable } | undefined;

	const currentRoutes = (): { readonly version: number; readonly table: RouteTable; readonly bodyBytes: number } => {
		const current = planCache.current();
		if (current === undefined) {
			throw kindError('not-ready', 'the fleet plan has not been read yet');
		}
		if (routes?.version !== current.version) {
			routes = { version: current.version, table: createRouteTable(current) };
		}
		return { ...routes, bodyBytes: current.limits.bodyBytes };
	};

	const deadlineOf = ({ waitMs }: CallContext): number =>
		clock.now() + Math.min(MAXIMUM_CALL_MS, Math.max(0, (waitMs ?? MAXIMUM_CALL_MS) - RESPONSE_MARGIN_MS));

	const callCancel = async (
		parameters: PeerMethods['job.cancel']['parameters'],
		context: CallContext,
	): Promise<LeaderResult<'job.cancel'>> => {
		try {
			return await leaderClient.call('job.cancel', parameters, deadlineOf(context), context.signal);
		} catch (error) {
			counters.add('cancels_total', { answer: 'unanswered' });
			logDecision('cancel-unanswered', {
				job: parameters.id,
				kind: errorKindOf(error),
				reason: errorMessageOf(error),
			});
			throw error;
		}
	};

	return {
		route: ({ host, path, key }) => {
			const { table, version, bodyBytes } = currentRoutes();
			const queue = table.findQueue(host, path);
			if (queue === undefined) {
				counters.add('calls_refused_total', { kind: 'unknown-queue' });
				throw kindError('unknown-queue', `no queue of plan ${version} matches ${host}${path}`);
			}
			const team = queue.isOpen || key === undefined ? undefined : table.findTeam(key);
			if (!queue.isOpen && team === undefined) {
				counters.add('calls_refused_total', { kind: 'unknown-key' });
				throw kindError('unknown-key', `the key is missing or not in plan ${version}`);
			}
			return { queue, subpath: path.slice(queue.pathPrefix.length), team, planVersion: version, bodyBytes };
		},
		submit: async ({ queue, team, planVersion }, id, spec, context) => {
			const receivedAt = clock.now();
			try {
				const decision = await leaderClient.call(
					'job.submit',
					{ id, queue: queue.name, team, spec, planVersion },
					deadlineOf(context),
					context.signal,
				);
				if (decision.type === 'refused') {
					logDecision('submission-refused', {
						job: id,
						queue: queue.name,
						kind: decision.kind,
						term: decision.decidedBy?.term,
						waitMs: context.waitMs,
					});
				}
				return decision.type === 'accepted'
					? decision
					: { type: 'refused', kind: decision.kind, reason: decision.reason, retryAfterMs: decision.retryAfterMs };
			} catch (error) {
				logDecision('submission-unanswered', {
					job: id,
					queue: queue.name,
					kind: errorKindOf(error),
					reason: errorMessageOf(error),
				});
				throw error;
			} finally {
				latencies.record(queue.name, clock.now() - receivedAt);
			}
		},
		cancel: async ({ team }, id, context) => {
			const decision = await callCancel({ id, team }, context);
			counters.add('cancels_total', { answer: decision.type });
			logDecision('cancel-answered', { job: id, answer: decision.type, ...decision.decidedBy });
			if (decision.type === 'unknown-job') {
				throw kindError('unknown-job', `there is no job ${id}`);
			}
		},
		state: async ({ team }, id, context) => {
			const decision = await leaderClient.call('job.state', { id, team }, deadlineOf(context), context.signal);
			if (decision.type === 'unknown-job') {
				counters.add('states_unknown_total');
				logDecision('state-unknown', { job: id, ...decision.decidedBy });
				throw kindError('unknown-job', `there is no job ${id}`);
			}
			return decision.state;
		},
		pending: async ({ queue }, context) => {
			const { pending } = await leaderClient.call(
				'queue.pending',
				{ queue: queue.name },
				deadlineOf(context),
				context.signal,
			);
			return pending;
		},
	};
}
