import type { MaintenanceWave } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { HostOrderOutcome, ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { EngineContext } from '../engineContext.js';
import type { RunTerminator } from '../jobs/runTerminator.js';
import type { WorkerMonitor } from '../workers/workerMonitor.js';
import { createEvacuation } from './evacuation.js';
import { createHostOrders } from './hostOrders.js';
import { createMaintenanceWaves } from './maintenanceWaves.js';
import { createPoolRebalancer } from '../pools/poolRebalancer.js';

/** Time between two looks at what is due with hosts. */
const ADVANCE_INTERVAL_MS = 50;

/** Time between two reads of the list of hosts while orders or waves are open. */
const LIST_INTERVAL_MS = 500;

/** Time between two reads of the list otherwise. */
const IDLE_LIST_INTERVAL_MS = 5_000;

/** Time that a host is away at least; the platform states 1.5 s for a move and 2 s for upkeep. */
const MINIMUM_AWAY_MS = 1_300;

/** Hosts, orders to them and waves: what is due, and when the list is read. */
export interface HostController {
	addWaves(waves: readonly MaintenanceWave[], now: number): void;
	handleHostList(list: readonly ListedHost[] | undefined, now: number): void;
	handleOrderAnswer(host: string, answer: HostOrderOutcome | { readonly type: 'not-sent' }, now: number): void;
	takeOver(now: number): void;
	/** Whether the worker of a host that comes back is about to be listed. */
	expectsWorker(now: number): boolean;
	tick(now: number): void;
	handleBatchStored(batch: number, offset: number, now: number): void;
	/** Offset before which the journal holds nothing about hosts that a reader needs. */
	trimBefore(): number;
}

/** Creates the part of the engine that looks after hosts. */
export function createHostController(context: EngineContext, endRuns: RunTerminator, monitor: WorkerMonitor): HostController {
	const { hosts, workers, settings } = context;
	const evacuation = createEvacuation(context, endRuns);
	const orders = createHostOrders(context, evacuation, monitor);
	const waves = createMaintenanceWaves(context, orders);
	const pools = createPoolRebalancer(context, orders);
	let nextAdvanceAt = 0;
	let nextListAt = 0;
	let isListInFlight = false;
	let listRequestedAt = 0;
	let rewrittenBatch: number | undefined;

	const requestHostList = (now: number): void => {
		const intervalMs = orders.needsHostList || waves.isActive ? LIST_INTERVAL_MS : IDLE_LIST_INTERVAL_MS;
		if (!isListInFlight && now >= Math.min(nextListAt, (hosts.listRequestedAt ?? -Infinity) + intervalMs)) {
			isListInFlight = true;
			listRequestedAt = now;
			nextListAt = now + IDLE_LIST_INTERVAL_MS;
			context.atOnce({ type: 'list-hosts' });
		}
	};

	/** Workers that leave by themselves are emptied as far as it can be done in time. */
	const evacuateDrainingWorkers = (now: number): void => {
		for (const state of workers.newest()) {
			if (state.entry?.isDraining === true && !state.hasEnded) {
				evacuation.moveServiceTasks(state, now);
			}
		}
	};

	return {
		addWaves: (changed, now) => {
			waves.addWaves(changed, now);
			nextListAt = now;
		},
		handleHostList: (list, now) => {
			isListInFlight = false;
			if (list === undefined) {
				context.counters.add('host_lists_failed_total');
				nextListAt = now + LIST_INTERVAL_MS;
			} else {
				hosts.applyList(list, listRequestedAt);
			}
		},
		handleOrderAnswer: (host, answer, now) => orders.handleAnswer(host, answer, now),
		takeOver: now => orders.takeOver(now),
		expectsWorker: now =>
			[...hosts.orders.values()].some(
				({ phase, phaseSince: since }) => phase === 'away' && now > since + MINIMUM_AWAY_MS,
			),
		tick: now => {
			if (now < nextAdvanceAt) {
				return;
			}
			nextAdvanceAt = now + ADVANCE_INTERVAL_MS;
			requestHostList(now);
			waves.advance(now);
			pools.advance(now);
			orders.advance(now);
			evacuateDrainingWorkers(now);
			if (
				hosts.baseOffset !== undefined &&
				(hosts.isRewriteDue || now > hosts.baseAt + settings.rewriteAfterMs) &&
				rewrittenBatch === undefined
			) {
				hosts.isRewriteDue = false;
				const rewritten = hosts.rewrite(context.term ?? 0);
				if (rewritten !== undefined) {
					context.record(rewritten, now);
					rewrittenBatch = context.nextBatch;
				}
			}
		},
		handleBatchStored: (batch, offset, now) => {
			if (rewrittenBatch !== undefined && batch >= rewrittenBatch) {
				hosts.rebased(offset, now);
				rewrittenBatch = undefined;
			}
		},
		trimBefore: () => hosts.baseOffset ?? Infinity,
	};
}
