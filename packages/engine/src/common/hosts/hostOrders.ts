import type { HostOrderOutcome, ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { EngineContext } from '../engineContext.js';
import type { HostAction, LastHostOrder } from '../jobs/journalEvent.js';
import type { WorkerMonitor } from '../workers/workerMonitor.js';
import { standbyPools } from '../pools/standbyPools.js';
import type { Evacuation } from './evacuation.js';
import { CALL_IN_FLIGHT_MARGIN_MS, createHostOrderEvidence, type InheritedOutcome } from './hostOrderEvidence.js';
import { createHostOrder, type HostOrder, type HostOrderPhase } from './hostRegistry.js';

/** Time for finite tasks to complete before those with checkpoints are stopped, in milliseconds. */
const COMPLETION_GRACE_MS = 1_500;

/** Time after which the order proceeds even though finite tasks are still running, in milliseconds. */
const MAXIMUM_EMPTYING_MS = 3_000;

/** Time after which an order is cancelled because the host's service tasks cannot move, in milliseconds. */
const SERVICE_TASK_TIMEOUT_MS = 8_000;

/** Time after which a move of a host that still runs work is cancelled, since moves only pay off for idle hosts. */
const MOVE_TIMEOUT_MS = 1_000;

/** Back-off before an unsuccessful order is sent again, in milliseconds. */
const RETRY_BACKOFF_MS = 500;

/**
 * Margin added to the host lease before a new leader orders a host that its predecessor has ordered, in milliseconds.
 * It covers differences between clocks while the predecessor may still be active.
 */
const ACTIVE_PREDECESSOR_MARGIN_MS = 2_000;

/** Time after which a host that is listed as up counts as returned even if its new worker was not seen. */
const UNSEEN_WORKER_TIMEOUT_MS = 1_500;

/** Time for which a host must be missing from the list before it counts as removed. */
const REMOVED_AFTER_MS = 2_000;

/**
 * Orders to hosts, one at a time for each host: evacuate it, journal the order, send it, and await the host's return.
 */
export interface HostOrders {
	/** Whether a new order to the host may begin. */
	isAvailable(host: string, now: number): boolean;
	/** Begins an order. @returns whether the host was available */
	begin(host: string, action: HostAction, now: number): boolean;
	/** Handles the answer of the host service; `not-sent` means that the daemon was no longer sure to lead. */
	handleAnswer(host: string, answer: HostOrderOutcome | { readonly type: 'not-sent' }, now: number): void;
	/** Takes over the open orders of previous leaders when a term begins. They are sent again after a pause. */
	takeOver(now: number): void;
	advance(now: number): void;
	/** Whether any order waits for an update of the host list. */
	readonly needsHostList: boolean;
	/** Whether a list is due at once, because runs of an accepted order can start again as soon as it shows their worker's end. */
	readonly needsHostListNow: boolean;
}

/** Creates the component that executes orders to hosts. */
export function createHostOrders(context: EngineContext, evacuation: Evacuation, monitor: WorkerMonitor): HostOrders {
	const { hosts, workers, logDecision: note, counters } = context;
	const evidence = createHostOrderEvidence(context);
	/** Time from which a host that a predecessor has ordered may be ordered again, by host. */
	const availableFrom = new Map<string, number>();

	/** Whether a host without a known worker has none that is yet to be discovered; only then may it be ordered. */
	const isKnownWithoutWorker = (host: string): boolean => {
		const listed = hosts.hosts.get(host);
		return listed !== undefined && (listed.worker === '' || workers.hasReadEntries);
	};

	const enterPhase = (order: HostOrder, phase: HostOrderPhase, now: number): void => {
		order.phase = phase;
		order.phaseSince = now;
	};

	/** Returns a request that this leader, or a predecessor, may have sent until now. */
	const requestUntilNow = ({ host }: HostOrder): LastHostOrder => [
		host,
		context.term ?? 0,
		Math.round(context.wallNow()),
	];

	const acceptanceOf = ({ host, acceptedAt }: HostOrder): LastHostOrder | undefined =>
		acceptedAt === undefined ? undefined : [host, context.term ?? 0, acceptedAt];

	/** Closes an order. @param last the newest request for the host, if the journal does not hold it yet */
	const settle = (
		order: HostOrder,
		isDone: boolean,
		reason: string,
		now: number,
		last: LastHostOrder | undefined = acceptanceOf(order),
	): void => {
		note('host-settled', {
			host: order.host,
			...order.action,
			isDone,
			reason,
			tookMs: Math.round(now - order.startedAt),
		});
		counters.add('host_orders_settled_total', { action: order.action.type, outcome: isDone ? 'done' : 'given-up' });
		if (!order.isJournaled) {
			hosts.orders.delete(order.host);
		} else {
			context.record({ type: 'host-settled', host: order.host, action: order.action, isDone, last }, now);
		}
		context.needsSchedulingPass = true;
	};

	const journalOrder = (order: HostOrder, now: number): void => {
		const { host, action } = order;
		order.workerKey = workers.byHost(host)?.key;
		if (order.isJournaled) {
			enterPhase(order, 'ordering', now);
			return;
		}
		note('host-ordered', { host, ...action, emptiedInMs: Math.round(now - order.startedAt) });
		const orderedAt = Math.round(context.wallNow());
		order.previous = hosts.lastOrders.get(host);
		context.record({ type: 'host-ordered', order: { host, action, term: context.term ?? 0, orderedAt } }, now);
		send(order, now);
	};

	const send = (order: HostOrder, now: number): void => {
		order.isInFlight = true;
		const state = workers.byHost(order.host);
		if (!order.isRetry) {
			// The worker may have restarted since the order was journaled.
			order.workerKey = state?.key;
		}
		note('host-order-sent', {
			host: order.host,
			...order.action,
			worker: state?.key,
			endsWorker: order.workerKey,
			serviceTasks: state !== undefined && evacuation.hasServiceTasks(state),
			runs: state?.runs.size ?? 0,
			isRetry: order.isRetry,
			waitedMs: Math.round(now - order.phaseSince),
		});
		context.emitWhenStored({ type: 'host-order', host: order.host, action: order.action });
	};

	/** Returns the time from which orders of this leader cannot alternate with requests of its predecessors. */
	const afterPredecessors = (): number => {
		const { termBeganAt, predecessor, settings } = context;
		return predecessor.stoppedAt === undefined
			? termBeganAt + settings.hostLeaseMs + ACTIVE_PREDECESSOR_MARGIN_MS
			: predecessor.stoppedAt + settings.hostLeaseMs + CALL_IN_FLIGHT_MARGIN_MS;
	};

	/** Returns the earliest send time of an order. A retried order must not alternate with requests of a previous leader. */
	const earliestSendTime = (order: HostOrder): number =>
		order.isRetry ? Math.max(order.notBefore, afterPredecessors()) : order.notBefore;

	const inheritedOutcomeHandlers: Readonly<Record<InheritedOutcome, (order: HostOrder, now: number) => void>> = {
		'carried-out': (order, now) => settle(order, true, 'carried-out-before', now, requestUntilNow(order)),
		'under-way': (order, now) => {
			const acceptance = { worker: order.workerKey };
			context.record({ type: 'host-accepted', host: order.host, acceptance, last: requestUntilNow(order) }, now);
		},
		// The host serves on, instead of staying empty until a second request may be sent.
		'not-executed': (order, now) => settle(order, false, 'not-executed', now, requestUntilNow(order)),
	};

	const advanceEmptying = (order: HostOrder, now: number): void => {
		const outcome = evidence.inheritedOutcome(order, now);
		if (outcome !== undefined) {
			availableFrom.set(order.host, afterPredecessors());
			inheritedOutcomeHandlers[outcome](order, now);
			return;
		}
		const state = workers.byHost(order.host);
		if (state === undefined) {
			if (now >= earliestSendTime(order) && isKnownWithoutWorker(order.host)) {
				journalOrder(order, now);
			}
			return;
		}
		evacuation.moveServiceTasks(state, now);
		const waited = now - order.startedAt;
		if (evacuation.hasServiceTasks(state)) {
			// An order that was sent may still be executed, so only one that was never journaled is cancelled.
			if (waited > SERVICE_TASK_TIMEOUT_MS && !order.isJournaled) {
				settle(order, false, 'lasting-tasks-cannot-leave', now);
			}
			return;
		}
		if (now < earliestSendTime(order)) {
			return;
		}
		if (order.action.type === 'move' && !order.isJournaled && state.runs.size > 0 && waited > MOVE_TIMEOUT_MS) {
			settle(order, false, 'not-empty', now);
			return;
		}
		if (state.runs.size === 0 || waited > MAXIMUM_EMPTYING_MS) {
			journalOrder(order, now);
		} else if (waited > COMPLETION_GRACE_MS) {
			evacuation.stopCheckpointedTasks(state);
		}
	};

	const isRemoved = (order: HostOrder): boolean =>
		hosts.listRequestedAt !== undefined &&
		hosts.listRequestedAt > order.phaseSince + REMOVED_AFTER_MS &&
		!hosts.hosts.has(order.host);

	const advanceOrdering = (order: HostOrder, now: number): void => {
		// An answer names no order, and one to a request under way would be taken for one to the next order for the host.
		if (isRemoved(order) && !order.isInFlight) {
			settle(order, true, 'host-gone', now);
			return;
		}
		if (!order.isInFlight && now >= order.notBefore) {
			send(order, now);
		}
	};

	const hasReturned = (order: HostOrder, listed: ListedHost, now: number): boolean => {
		const isThere = listed.state === 'up' && (order.action.type === 'upkeep' || listed.pool === order.action.pool);
		const isListNewer = (hosts.listRequestedAt ?? 0) >= order.phaseSince;
		const state = workers.byHost(order.host);
		return (
			isThere &&
			isListNewer &&
			(standbyPools(context.plan).has(listed.pool) ||
				state?.reachability === 'answering' ||
				now > order.phaseSince + UNSEEN_WORKER_TIMEOUT_MS)
		);
	};

	const advanceAway = (order: HostOrder, now: number): void => {
		const listed = hosts.hosts.get(order.host);
		evidence.logEffect(order, now);
		endWorkerIncarnation(order, now);
		if (listed !== undefined && hasReturned(order, listed, now)) {
			if (order.action.type === 'move' && !standbyPools(context.plan).has(listed.pool)) {
				context.moveTime.record(now - order.startedAt);
			}
			settle(order, true, 'returned', now);
		} else if (isRemoved(order)) {
			settle(order, true, 'host-gone', now);
		}
	};

	const phaseHandlers: Readonly<Record<HostOrderPhase, (order: HostOrder, now: number) => void>> = {
		emptying: advanceEmptying,
		ordering: advanceOrdering,
		away: advanceAway,
	};

	/** Ends the worker incarnation that an order has ended, none of whose runs is at work any more. */
	const endWorkerIncarnation = (order: HostOrder, now: number): void => {
		const state = order.workerKey === undefined ? undefined : workers.get(order.workerKey);
		if (state?.hasEnded === false && evidence.showsEnd(order)) {
			monitor.endIncarnation(state, `host-${order.action.type}`, now);
		}
	};

	/** Whether an accepted order may have ended runs, while no list requested since has shown it. */
	const awaitsEffect = ({ phase, phaseSince, workerKey }: HostOrder): boolean => {
		const state = workerKey === undefined ? undefined : workers.get(workerKey);
		return (
			phase === 'away' &&
			state?.hasEnded === false &&
			state.runs.size > 0 &&
			(hosts.listRequestedAt ?? -Infinity) < phaseSince
		);
	};

	const answerHandlers: {
		readonly [Type in HostOrderOutcome['type'] | 'not-sent']: (
			order: HostOrder,
			answer: Extract<HostOrderOutcome, { type: Type }>,
			now: number,
		) => void;
	} = {
		accepted: (order, _answer, now) => {
			order.acceptedAt = Math.round(context.wallNow());
			const acceptance = { worker: order.workerKey };
			const last = [order.host, context.term ?? 0, order.acceptedAt] as const;
			context.record({ type: 'host-accepted', host: order.host, acceptance, last }, now);
		},
		refused: (order, { reason }, now) => {
			counters.add('host_orders_refused_total', { action: order.action.type, reason });
			note('host-order-refused', { host: order.host, ...order.action, reason });
			if (reason === 'busy') {
				order.notBefore = now + RETRY_BACKOFF_MS;
			} else if (reason === 'fenced') {
				context.emitNow({ type: 'deposed', reason: `host ${order.host} has seen a higher fencing token` });
			} else {
				if (order.action.type === 'move') {
					hosts.addIncompatiblePool(order.host, order.action.pool);
				}
				settle(order, reason === 'unknown-host', reason, now, requestUntilNow(order));
			}
		},
		throttled: (order, _answer, now) => {
			order.notBefore = now + RETRY_BACKOFF_MS;
		},
		silent: (order, { reason }, now) => {
			note('host-order-unanswered', { host: order.host, ...order.action, reason });
			order.isRetry = true;
			order.notBefore = now + RETRY_BACKOFF_MS;
		},
		'not-sent': (order, _answer, now) => {
			if (context.isQuiescent && !order.isRetry) {
				settle(order, false, 'not-sent', now, order.previous ?? [order.host, context.term ?? 0, 0]);
			} else {
				order.notBefore = now + RETRY_BACKOFF_MS;
			}
		},
	};

	/** Whether no order is open and no order of a previous leader is recent enough to interleave with a new one. */
	const isAvailable = (host: string, now: number): boolean =>
		!hosts.orders.has(host) && now >= (availableFrom.get(host) ?? -Infinity);

	return {
		isAvailable,
		begin: (host, action, now) => {
			if (!isAvailable(host, now)) {
				return false;
			}
			note('host-chosen', { host, ...action });
			hosts.orders.set(host, createHostOrder(host, action, false, now));
			return true;
		},
		handleAnswer: (host, answer, now) => {
			const order = hosts.orders.get(host);
			if (order?.phase === 'ordering') {
				order.isInFlight = false;
				(answerHandlers[answer.type] as (o: HostOrder, a: typeof answer, n: number) => void)(order, answer, now);
			}
		},
		takeOver: now => {
			// A predecessor orders a host only by an open order, so that the newest request for any other host is known.
			for (const [host, term, wallAt] of hosts.lastOrders.values()) {
				const orderedAt = now - context.leaderStamps.elapsedSince(term, wallAt);
				availableFrom.set(host, orderedAt + context.settings.hostLeaseMs + CALL_IN_FLIGHT_MARGIN_MS);
			}
			for (const order of hosts.orders.values()) {
				order.phaseSince = now;
			}
		},
		advance: now => {
			for (const order of [...hosts.orders.values()]) {
				phaseHandlers[order.phase](order, now);
			}
		},
		get needsHostList() {
			return [...hosts.orders.values()].some(({ phase, isRetry }) => phase !== 'emptying' || isRetry);
		},
		get needsHostListNow() {
			return [...hosts.orders.values()].some(awaitsEffect);
		},
	};
}
