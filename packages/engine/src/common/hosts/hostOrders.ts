import type { HostOrderOutcome, ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { EngineContext } from '../engineContext.js';
import type { HostAction } from '../jobs/journalEvent.js';
import type { WorkerState } from '../workers/workerState.js';
import type { WorkerMonitor } from '../workers/workerMonitor.js';
import type { Evacuation } from './evacuation.js';
import { createHostOrder, type HostOrder, type HostOrderPhase } from './hostRegistry.js';

/** Time that short tasks have to end by themselves before those that save their progress are stopped. */
const COMPLETION_GRACE_MS = 1_500;

/** Time after which short tasks that are still at work are given up with the host. */
const MAXIMUM_EMPTYING_MS = 3_000;

/** Time after which a host whose lasting tasks cannot leave goes back to work. */
const SERVICE_TASK_TIMEOUT_MS = 8_000;

/** A host that is not empty after this time is not moved; a move is only worth it for hosts without work. */
const MOVE_TIMEOUT_MS = 1_000;

/** Pause before an order that was refused for now is sent again. */
const RETRY_BACKOFF_MS = 500;

/**
 * Beyond the platform's lease of a host's orderer a successor waits this long with orders to hosts that its predecessor has
 * ordered about: for clocks that differ while the predecessor may still be at work, and for calls on their way.
 */
const ACTIVE_PREDECESSOR_MARGIN_MS = 2_000;
const CALL_IN_FLIGHT_MARGIN_MS = 500;

/** Time after which a host that is listed as up again counts as back although its new worker was not seen. */
const UNSEEN_WORKER_TIMEOUT_MS = 1_500;

/** Time for which a host must be missing from the list before it counts as gone. */
const REMOVED_AFTER_MS = 2_000;

/** Orders to hosts, one at a time for each host: empty it, write the order down, send it, wait for its return. */
export interface HostOrders {
	/** Whether an order to the host may begin. */
	isAvailable(host: string): boolean;
	/** Begins an order. @returns whether the host was free for one */
	begin(host: string, action: HostAction, now: number): boolean;
	/** The host service has answered an order; `not-sent` when the daemon was no longer sure to lead. */
	handleAnswer(host: string, answer: HostOrderOutcome | { readonly type: 'not-sent' }, now: number): void;
	/** A term begins: orders of a predecessor are sent again after a pause. */
	takeOver(now: number): void;
	advance(now: number): void;
	/** Whether any order waits for news from the list of hosts. */
	readonly needsHostList: boolean;
}

/** Creates the part of the engine that orders hosts about. */
export function createHostOrders(context: EngineContext, evacuation: Evacuation, monitor: WorkerMonitor): HostOrders {
	const { hosts, workers, note, counters } = context;

	const workerOnHost = (host: string): WorkerState | undefined => {
		const listed = hosts.hosts.get(host);
		const named = listed === undefined || listed.worker === '' ? undefined : workers.byName(listed.worker);
		const found = workers.byHost(host);
		const newer = found === undefined || (named !== undefined && named.incarnation > found.incarnation) ? named : found;
		return newer?.hasEnded === true ? undefined : newer;
	};

	/** A host without a known worker may be ordered only when its worker cannot be one that is still to be learned of. */
	const isKnownWithoutWorker = (host: string): boolean => {
		const listed = hosts.hosts.get(host);
		return listed !== undefined && (listed.worker === '' || workers.hasReadEntries);
	};

	const enterPhase = (order: HostOrder, phase: HostOrderPhase, now: number): void => {
		order.phase = phase;
		order.phaseSince = now;
	};

	const uncordon = (host: string): void => {
		const state = workers.byHost(host);
		if (state !== undefined) {
			state.isCordoned = false;
		}
		context.needsPass = true;
	};

	const settle = (order: HostOrder, isDone: boolean, reason: string, now: number): void => {
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
			const last =
				order.acceptedAt === undefined ? undefined : ([order.host, context.term ?? 0, order.acceptedAt] as const);
			context.record({ type: 'host-settled', host: order.host, action: order.action, isDone, last }, now);
		}
		uncordon(order.host);
	};

	const journalOrder = (order: HostOrder, now: number): void => {
		const { host, action } = order;
		order.workerKey = workerOnHost(host)?.key;
		if (order.isJournaled) {
			enterPhase(order, 'ordering', now);
			return;
		}
		note('host-ordered', { host, ...action, emptiedInMs: Math.round(now - order.startedAt) });
		const orderedAt = Math.round(context.wallNow());
		context.record({ type: 'host-ordered', order: { host, action, term: context.term ?? 0, orderedAt } }, now);
		send(order);
	};

	const send = (order: HostOrder): void => {
		order.isInFlight = true;
		context.afterBatch({ type: 'host-order', host: order.host, action: order.action });
	};

	/** When an order may be sent: those of a predecessor must not take turns with its own. */
	const earliestSendTime = (order: HostOrder): number => {
		const { ledSince, predecessor, settings } = context;
		const afterPredecessor =
			predecessor.stoppedAt === undefined
				? ledSince + settings.hostLeaseMs + ACTIVE_PREDECESSOR_MARGIN_MS
				: predecessor.stoppedAt + settings.hostLeaseMs + CALL_IN_FLIGHT_MARGIN_MS;
		return order.isRetry ? Math.max(order.notBefore, afterPredecessor) : order.notBefore;
	};

	/** A move of a predecessor needs no second order once the list shows that it was carried out. */
	const wasCarriedOut = ({ host, action, isRetry: isRepeated, phaseSince: since }: HostOrder): boolean => {
		const listed = hosts.hosts.get(host);
		return (
			isRepeated &&
			action.type === 'move' &&
			hosts.listRequestedAt !== undefined &&
			hosts.listRequestedAt >= since &&
			listed?.pool === action.pool &&
			listed.state === 'up'
		);
	};

	const advanceEmptying = (order: HostOrder, now: number): void => {
		if (wasCarriedOut(order)) {
			settle(order, true, 'carried-out-before', now);
			return;
		}
		const state = workerOnHost(order.host);
		if (state === undefined) {
			if (now >= earliestSendTime(order) && isKnownWithoutWorker(order.host)) {
				journalOrder(order, now);
			}
			return;
		}
		state.isCordoned = true;
		evacuation.moveServiceTasks(state, now);
		const waited = now - order.startedAt;
		if (evacuation.hasServiceTasks(state)) {
			// An order that was sent may still be carried out, so only one that was never written is given up.
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
		if (isRemoved(order)) {
			settle(order, true, 'host-gone', now);
			return;
		}
		if (!order.isInFlight && now >= order.notBefore) {
			send(order);
		}
	};

	const hasReturned = (order: HostOrder, listed: ListedHost, now: number): boolean => {
		const isThere = listed.state === 'up' && (order.action.type === 'upkeep' || listed.pool === order.action.pool);
		const isListNewer = (hosts.listRequestedAt ?? 0) >= order.phaseSince;
		const state = workerOnHost(order.host);
		return (
			isThere &&
			isListNewer &&
			(state?.reachability === 'answering' || now > order.phaseSince + UNSEEN_WORKER_TIMEOUT_MS)
		);
	};

	const advanceAway = (order: HostOrder, now: number): void => {
		const listed = hosts.hosts.get(order.host);
		if (
			listed !== undefined &&
			listed.state !== 'up' &&
			(hosts.listRequestedAt ?? 0) >= order.phaseSince &&
			order.workerEndedAt === undefined
		) {
			order.workerEndedAt = now;
			endWorkerIncarnation(order, now);
		}
		if (listed !== undefined && hasReturned(order, listed, now)) {
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

	/** The host has been taken from its worker: nothing of it is at work any more. */
	const endWorkerIncarnation = (order: HostOrder, now: number): void => {
		const state = order.workerKey === undefined ? undefined : workers.get(order.workerKey);
		if (state?.hasEnded === false) {
			monitor.endIncarnation(state, `host-${order.action.type}`, now);
		}
	};

	const answerHandlers: {
		readonly [Type in HostOrderOutcome['type'] | 'not-sent']: (
			order: HostOrder,
			answer: Extract<HostOrderOutcome, { type: Type }>,
			now: number,
		) => void;
	} = {
		accepted: (order, _answer, now) => {
			enterPhase(order, 'away', now);
			order.acceptedAt = Math.round(context.wallNow());
			if (!order.isRetry) {
				endWorkerIncarnation(order, now);
			}
		},
		refused: (order, { reason }, now) => {
			counters.add('host_orders_refused_total', { action: order.action.type, reason });
			note('host-order-refused', { host: order.host, ...order.action, reason });
			if (reason === 'busy') {
				order.notBefore = now + RETRY_BACKOFF_MS;
			} else if (reason === 'fenced') {
				context.atOnce({ type: 'deposed', reason: `host ${order.host} has seen a higher fencing token` });
			} else {
				if (order.action.type === 'move') {
					hosts.addIncompatiblePool(order.host, order.action.pool);
				}
				settle(order, reason === 'unknown-host', reason, now);
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
			order.notBefore = now + RETRY_BACKOFF_MS;
		},
	};

	/** Whether no order is open and none of an earlier leader can be so recent that the two would take turns. */
	const isAvailable = (host: string): boolean => {
		const last = hosts.lastOrder(host);
		const isRecent =
			last !== undefined &&
			last[1] !== context.term &&
			context.wallNow() < last[2] + context.settings.hostLeaseMs + ACTIVE_PREDECESSOR_MARGIN_MS;
		return !hosts.orders.has(host) && !isRecent;
	};

	return {
		isAvailable,
		begin: (host, action, now) => {
			if (!isAvailable(host)) {
				return false;
			}
			note('host-chosen', { host, ...action });
			hosts.orders.set(host, createHostOrder(host, action, false, now));
			const state = workerOnHost(host);
			if (state !== undefined) {
				state.isCordoned = true;
			}
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
			for (const order of hosts.orders.values()) {
				order.phaseSince = now;
				const state = workerOnHost(order.host);
				if (state !== undefined) {
					state.isCordoned = true;
				}
			}
		},
		advance: now => {
			for (const order of [...hosts.orders.values()]) {
				phaseHandlers[order.phase](order, now);
			}
		},
		get needsHostList() {
			return [...hosts.orders.values()].some(({ phase }) => phase !== 'emptying');
		},
	};
}
