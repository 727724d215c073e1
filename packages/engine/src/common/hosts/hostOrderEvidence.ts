import type { HostState, ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { EngineContext } from '../engineContext.js';
import type { HostAction } from '../jobs/journalEvent.js';
import { parseWorkerKey } from '../workers/workerKey.js';
import type { HostOrder } from './hostRegistry.js';

/**
 * Time after the predecessor has stopped for which its calls may still be in flight, in milliseconds. A list requested later
 * shows whether they were executed.
 */
export const CALL_IN_FLIGHT_MARGIN_MS = 500;

/** State of a host while an order is carried out. */
const AWAY_STATES: Readonly<Record<HostAction['type'], HostState>> = { move: 'moving', upkeep: 'upkeep' };

/** What the host list shows of an order that a previous leader has journaled. */
export type InheritedOutcome = 'carried-out' | 'under-way' | 'not-executed';

/** Reads from the list of hosts what became of orders. */
export interface HostOrderEvidence {
	/**
	 * Returns what the host list shows of an order that a previous leader has journaled, and that the host service may have
	 * executed or not; `undefined` while the list leaves it open.
	 */
	inheritedOutcome(order: HostOrder, now: number): InheritedOutcome | undefined;
	/**
	 * Whether a list requested after the acceptance of an order shows that the worker which the order was to end is gone: the host
	 * is away for it, or has another worker. The acceptance alone does not, since the host service also accepts an order that was
	 * carried out before, after which another worker may have joined.
	 */
	showsEnd(order: HostOrder): boolean;
	/** Logs what the first list requested after the acceptance of an order shows. */
	logEffect(order: HostOrder, now: number): void;
}

/** Creates the reader for the hosts of a context. */
export function createHostOrderEvidence(context: EngineContext): HostOrderEvidence {
	const { hosts, workers, logDecision: note, counters } = context;

	const readInheritedOutcome = ({ host, action, isRetry, phaseSince }: HostOrder): InheritedOutcome | undefined => {
		const listed = hosts.hosts.get(host);
		const { listRequestedAt } = hosts;
		if (!isRetry || listed === undefined || listRequestedAt === undefined || listRequestedAt < phaseSince) {
			return undefined;
		}
		if (listed.state !== 'up') {
			return listed.state === AWAY_STATES[action.type] ? 'under-way' : undefined;
		}
		if (action.type === 'move' && action.pool === listed.pool) {
			return 'carried-out';
		}
		const { stoppedAt } = context.predecessor;
		return stoppedAt !== undefined && listRequestedAt >= stoppedAt + CALL_IN_FLIGHT_MARGIN_MS
			? 'not-executed'
			: undefined;
	};

	/** Returns the host in a list that was requested after the acceptance of its order; `undefined` if there is none yet. */
	const listedSinceAcceptance = ({ host, phase, phaseSince }: HostOrder): ListedHost | undefined =>
		phase === 'away' && (hosts.listRequestedAt ?? -Infinity) >= phaseSince ? hosts.hosts.get(host) : undefined;

	const listAgeMs = (now: number): number => Math.round(now - (hosts.listRequestedAt ?? now));

	return {
		inheritedOutcome: (order, now) => {
			const outcome = readInheritedOutcome(order);
			if (outcome !== undefined) {
				const listed = hosts.hosts.get(order.host);
				const { stoppedAt } = context.predecessor;
				note('host-order-inherited', {
					host: order.host,
					...order.action,
					outcome,
					state: listed?.state,
					listedPool: listed?.pool,
					listedWorker: listed?.worker,
					listAgeMs: listAgeMs(now),
					sinceStopMs: stoppedAt === undefined ? undefined : Math.round(now - stoppedAt),
				});
			}
			return outcome;
		},
		showsEnd: order => {
			const { host, action, workerKey } = order;
			const listed = listedSinceAcceptance(order);
			if (workerKey === undefined || listed === undefined) {
				return false;
			}
			// The entry by which the worker was taken for that of this host may have come from another writer.
			const isOfHost = (workers.get(workerKey)?.entry?.host ?? host) === host;
			const hasOtherWorker = listed.state === 'up' && listed.worker !== parseWorkerKey(workerKey).worker;
			return isOfHost && (hasOtherWorker || listed.state === AWAY_STATES[action.type]);
		},
		logEffect: (order, now) => {
			const listed = listedSinceAcceptance(order);
			if (order.isEffectLogged || listed === undefined) {
				return;
			}
			order.isEffectLogged = true;
			const worker = order.workerKey === undefined ? undefined : parseWorkerKey(order.workerKey).worker;
			const hasEffect = listed.state !== 'up' || worker !== listed.worker;
			counters.add('host_orders_listed_total', { action: order.action.type, effect: hasEffect ? 'shown' : 'none' });
			note('host-order-listed', {
				host: order.host,
				...order.action,
				hasEffect,
				state: listed.state,
				listedWorker: listed.worker,
				endsWorker: order.workerKey,
				isRetry: order.isRetry,
				listAgeMs: listAgeMs(now),
				acceptedMsAgo: Math.round(now - order.phaseSince),
			});
		},
	};
}
