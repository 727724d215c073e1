import type { HostOrderOutcome, ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { EngineContext } from '../engineContext.js';
import type { HostAction } from '../jobs/journalEvent.js';
import type { WorkerState } from '../workers/workerState.js';
import type { WorkerWatch } from '../workers/workerWatch.js';
import type { Evacuation } from './evacuation.js';
import { createHostOrder, type HostOrder, type HostOrderPhase } from './hostBook.js';

/** Time that short tasks have to end by themselves before those that save their progress are stopped. */
const PATIENCE_MS = 1_500;

/** Time after which short tasks that are still at work are given up with the host. */
const LONGEST_PATIENCE_MS = 3_000;

/** Time after which a host whose lasting tasks cannot leave goes back to work. */
const GIVE_UP_MS = 8_000;

/** A host that is not empty after this time is not moved; a move is only worth it for hosts without work. */
const MOVE_PATIENCE_MS = 1_000;

/** Pause before an order that was refused for now is sent again. */
const BUSY_PAUSE_MS = 500;

/**
 * Beyond the platform's lease of a host's orderer a successor waits this long with orders to hosts that its predecessor has
 * ordered about: for clocks that differ while the predecessor may still be at work, and for calls on their way.
 */
const UNSURE_PAUSE_MS = 2_000;
const CALL_MARGIN_MS = 500;

/** Time after which a host that is listed as up again counts as back although its new worker was not seen. */
const RETURN_UNSEEN_MS = 1_500;

/** Time for which a host must be missing from the list before it counts as gone. */
const GONE_MS = 2_000;

/** Orders to hosts, one at a time for each host: empty it, write the order down, send it, wait for its return. */
export interface HostOrders {
	/** Whether an order to the host may begin. */
	isFree(host: string): boolean;
	/** Begins an order. @returns whether the host was free for one */
	begin(host: string, action: HostAction, now: number): boolean;
	/** The host service has answered an order; `not-sent` when the daemon was no longer sure to lead. */
	answered(host: string, answer: HostOrderOutcome | { readonly type: 'not-sent' }, now: number): void;
	/** A term begins: orders of a predecessor are sent again after a pause. */
	takeOver(now: number): void;
	advance(now: number): void;
	/** Whether any order waits for news from the list of hosts. */
	readonly needsList: boolean;
}

/** Creates the part of the engine that orders hosts about. */
export function createHostOrders(context: EngineContext, evacuation: Evacuation, watch: WorkerWatch): HostOrders {
	const { hosts, workers, note, counters } = context;

	const workerOf = (host: string): WorkerState | undefined => {
		const listed = hosts.hosts.get(host);
		const named = listed === undefined || listed.worker === '' ? undefined : workers.byName(listed.worker);
		const found = workers.byHost(host);
		const newer = found === undefined || (named !== undefined && named.life > found.life) ? named : found;
		return newer?.isOver === true ? undefined : newer;
	};

	/** A host without a known worker may be ordered only when its worker cannot be one that is still to be learned of. */
	const isSurelyIdle = (host: string): boolean => {
		const listed = hosts.hosts.get(host);
		return listed !== undefined && (listed.worker === '' || workers.isRead);
	};

	const enter = (order: HostOrder, phase: HostOrderPhase, now: number): void => {
		order.phase = phase;
		order.since = now;
	};

	const release = (host: string): void => {
		const state = workers.byHost(host);
		if (state !== undefined) {
			state.isClosing = false;
		}
		context.needsPass = true;
	};

	const settle = (order: HostOrder, isDone: boolean, reason: string, now: number): void => {
		note('host-settled', {
			host: order.host,
			...order.action,
			isDone,
			reason,
			tookMs: Math.round(now - order.begunAt),
		});
		counters.add('host_orders_settled_total', { action: order.action.type, outcome: isDone ? 'done' : 'given-up' });
		if (!order.isWritten) {
			hosts.orders.delete(order.host);
		} else {
			const last =
				order.acceptedAt === undefined ? undefined : ([order.host, context.term ?? 0, order.acceptedAt] as const);
			context.record({ type: 'host-settled', host: order.host, action: order.action, isDone, last }, now);
		}
		release(order.host);
	};

	const writeOrder = (order: HostOrder, now: number): void => {
		const { host, action } = order;
		order.workerKey = workerOf(host)?.key;
		if (order.isWritten) {
			enter(order, 'ordering', now);
			return;
		}
		note('host-ordered', { host, ...action, emptiedInMs: Math.round(now - order.begunAt) });
		const orderedAt = Math.round(context.wallNow());
		context.record({ type: 'host-ordered', order: { host, action, term: context.term ?? 0, orderedAt } }, now);
		send(order);
	};

	const send = (order: HostOrder): void => {
		order.isSent = true;
		context.afterBatch({ type: 'host-order', host: order.host, action: order.action });
	};

	/** When an order may be sent: those of a predecessor must not take turns with its own. */
	const notBefore = (order: HostOrder): number => {
		const { ledSince, predecessor, settings } = context;
		const afterPredecessor =
			predecessor.stoppedAt === undefined
				? ledSince + settings.hostLeaseMs + UNSURE_PAUSE_MS
				: predecessor.stoppedAt + settings.hostLeaseMs + CALL_MARGIN_MS;
		return order.isRepeated ? Math.max(order.notBefore, afterPredecessor) : order.notBefore;
	};

	/** A move of a predecessor needs no second order once the list shows that it was carried out. */
	const wasCarriedOut = ({ host, action, isRepeated, since }: HostOrder): boolean => {
		const listed = hosts.hosts.get(host);
		return (
			isRepeated &&
			action.type === 'move' &&
			hosts.askedAt !== undefined &&
			hosts.askedAt >= since &&
			listed?.pool === action.pool &&
			listed.state === 'up'
		);
	};

	const emptying = (order: HostOrder, now: number): void => {
		if (wasCarriedOut(order)) {
			settle(order, true, 'carried-out-before', now);
			return;
		}
		const state = workerOf(order.host);
		if (state === undefined) {
			if (now >= notBefore(order) && isSurelyIdle(order.host)) {
				writeOrder(order, now);
			}
			return;
		}
		state.isClosing = true;
		evacuation.moveLasting(state, now);
		const waited = now - order.begunAt;
		if (evacuation.hasLasting(state)) {
			// An order that was sent may still be carried out, so only one that was never written is given up.
			if (waited > GIVE_UP_MS && !order.isWritten) {
				settle(order, false, 'lasting-tasks-cannot-leave', now);
			}
			return;
		}
		if (now < notBefore(order)) {
			return;
		}
		if (order.action.type === 'move' && !order.isWritten && state.runs.size > 0 && waited > MOVE_PATIENCE_MS) {
			settle(order, false, 'not-empty', now);
			return;
		}
		if (state.runs.size === 0 || waited > LONGEST_PATIENCE_MS) {
			writeOrder(order, now);
		} else if (waited > PATIENCE_MS) {
			evacuation.stopSaving(state);
		}
	};

	const isGone = (order: HostOrder): boolean =>
		hosts.askedAt !== undefined && hosts.askedAt > order.since + GONE_MS && !hosts.hosts.has(order.host);

	const ordering = (order: HostOrder, now: number): void => {
		if (isGone(order)) {
			settle(order, true, 'host-gone', now);
			return;
		}
		if (!order.isSent && now >= order.notBefore) {
			send(order);
		}
	};

	const hasReturned = (order: HostOrder, listed: ListedHost, now: number): boolean => {
		const isThere = listed.state === 'up' && (order.action.type === 'upkeep' || listed.pool === order.action.pool);
		const isListNewer = (hosts.askedAt ?? 0) >= order.since;
		const state = workerOf(order.host);
		return isThere && isListNewer && (state?.contact === 'answering' || now > order.since + RETURN_UNSEEN_MS);
	};

	const away = (order: HostOrder, now: number): void => {
		const listed = hosts.hosts.get(order.host);
		if (
			listed !== undefined &&
			listed.state !== 'up' &&
			(hosts.askedAt ?? 0) >= order.since &&
			order.endedAt === undefined
		) {
			order.endedAt = now;
			endWorker(order, now);
		}
		if (listed !== undefined && hasReturned(order, listed, now)) {
			settle(order, true, 'returned', now);
		} else if (isGone(order)) {
			settle(order, true, 'host-gone', now);
		}
	};

	const phases: Readonly<Record<HostOrderPhase, (order: HostOrder, now: number) => void>> = {
		emptying,
		ordering,
		away,
	};

	/** The host has been taken from its worker: nothing of it is at work any more. */
	const endWorker = (order: HostOrder, now: number): void => {
		const state = order.workerKey === undefined ? undefined : workers.get(order.workerKey);
		if (state?.isOver === false) {
			watch.lifeEnded(state, `host-${order.action.type}`, now);
		}
	};

	const answers: {
		readonly [Type in HostOrderOutcome['type'] | 'not-sent']: (
			order: HostOrder,
			answer: Extract<HostOrderOutcome, { type: Type }>,
			now: number,
		) => void;
	} = {
		accepted: (order, _answer, now) => {
			enter(order, 'away', now);
			order.acceptedAt = Math.round(context.wallNow());
			if (!order.isRepeated) {
				endWorker(order, now);
			}
		},
		refused: (order, { reason }, now) => {
			counters.add('host_orders_refused_total', { action: order.action.type, reason });
			note('host-order-refused', { host: order.host, ...order.action, reason });
			if (reason === 'busy') {
				order.notBefore = now + BUSY_PAUSE_MS;
			} else if (reason === 'fenced') {
				context.atOnce({ type: 'deposed', reason: `host ${order.host} has seen a higher fence` });
			} else {
				if (order.action.type === 'move') {
					hosts.addMisfit(order.host, order.action.pool);
				}
				settle(order, reason === 'unknown-host', reason, now);
			}
		},
		throttled: (order, _answer, now) => {
			order.notBefore = now + BUSY_PAUSE_MS;
		},
		silent: (order, { reason }, now) => {
			note('host-order-unanswered', { host: order.host, ...order.action, reason });
			order.isRepeated = true;
			order.notBefore = now + BUSY_PAUSE_MS;
		},
		'not-sent': (order, _answer, now) => {
			order.notBefore = now + BUSY_PAUSE_MS;
		},
	};

	/** Whether no order is open and none of an earlier leader can be so recent that the two would take turns. */
	const isFree = (host: string): boolean => {
		const last = hosts.lastOrder(host);
		const isRecent =
			last !== undefined &&
			last[1] !== context.term &&
			context.wallNow() < last[2] + context.settings.hostLeaseMs + UNSURE_PAUSE_MS;
		return !hosts.orders.has(host) && !isRecent;
	};

	return {
		isFree,
		begin: (host, action, now) => {
			if (!isFree(host)) {
				return false;
			}
			note('host-chosen', { host, ...action });
			hosts.orders.set(host, createHostOrder(host, action, false, now));
			const state = workerOf(host);
			if (state !== undefined) {
				state.isClosing = true;
			}
			return true;
		},
		answered: (host, answer, now) => {
			const order = hosts.orders.get(host);
			if (order?.phase === 'ordering') {
				order.isSent = false;
				(answers[answer.type] as (o: HostOrder, a: typeof answer, n: number) => void)(order, answer, now);
			}
		},
		takeOver: now => {
			for (const order of hosts.orders.values()) {
				order.since = now;
				const state = workerOf(order.host);
				if (state !== undefined) {
					state.isClosing = true;
				}
			}
		},
		advance: now => {
			for (const order of [...hosts.orders.values()]) {
				phases[order.phase](order, now);
			}
		},
		get needsList() {
			return [...hosts.orders.values()].some(({ phase }) => phase !== 'emptying');
		},
	};
}
