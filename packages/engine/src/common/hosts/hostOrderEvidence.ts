import type { HostState } from '@chestnutwheel/ports/common/hostService.js';
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
	/** Logs what the first list requested after the acceptance of an order shows. */
	logEffect(order: HostOrder, now: number): void;
}

/** Creates the reader for the hosts of a context. */
export function createHostOrderEvidence(context: EngineContext): HostOrderEvidence {
	const { hosts, logDecision: note, counters } = context;

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
		logEffect: (order, now) => {
			const listed = hosts.hosts.get(order.host);
			if (order.isEffectLogged || listed === undefined || (hosts.listRequestedAt ?? 0) < order.phaseSince) {
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
