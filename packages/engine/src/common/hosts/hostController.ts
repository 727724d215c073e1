import type { MaintenanceWave } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { HostOrderOutcome, ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { EngineContext } from '../engineContext.js';
import type { RunTerminator } from '../jobs/runTerminator.js';
import type { WorkerMonitor } from '../workers/workerMonitor.js';
import { createDataCentreEvacuation } from './dataCentreEvacuation.js';
import { createEvacuation, type Evacuation } from './evacuation.js';
import { createHostOrders } from './hostOrders.js';
import { createMaintenanceWaves } from './maintenanceWaves.js';
import { createPoolRebalancer } from '../pools/poolRebalancer.js';

/** Interval between two passes over hosts, waves and pools, in milliseconds. */
const ADVANCE_INTERVAL_MS = 50;

/** Interval between two reads of the host list while orders or waves are open, in milliseconds. */
const LIST_INTERVAL_MS = 500;

/** Shortest interval between two reads, for which a list that is due at once waits, in milliseconds. */
const MINIMUM_LIST_INTERVAL_MS = 100;

/** Interval between two reads of the host list otherwise, in milliseconds. */
const IDLE_LIST_INTERVAL_MS = 5_000;

/** Shortest absence of a host, in milliseconds. The platform states 1.5 s for a move and 2 s for maintenance. */
const MINIMUM_AWAY_MS = 1_300;

/** Drives host orders, maintenance waves and the rebalancing of pools, and schedules reads of the host list. */
export interface HostController {
	addWaves(waves: readonly MaintenanceWave[], now: number): void;
	/** Replaces the data centres that are evacuated. */
	changeEvacuations(dataCentres: readonly string[], now: number): void;
	handleHostList(list: readonly ListedHost[] | undefined, now: number): void;
	handleOrderAnswer(host: string, answer: HostOrderOutcome | { readonly type: 'not-sent' }, now: number): void;
	takeOver(now: number): void;
	/** Whether a stop that got no answer may be sent again. */
	readonly mayRepeatStop: Evacuation['mayRepeatStop'];
	/** Whether the worker of a returning host is expected to be listed soon. */
	expectsWorker(now: number): boolean;
	tick(now: number): void;
	handleBatchStored(batch: number, offset: number): void;
	/** Returns the offset before which the journal holds no host records that are still needed. */
	trimBefore(): number;
}

/** Creates the component that manages hosts. */
export function createHostController(
	context: EngineContext,
	endRuns: RunTerminator,
	monitor: WorkerMonitor,
): HostController {
	const { hosts, workers, settings } = context;
	const evacuation = createEvacuation(context, endRuns);
	const orders = createHostOrders(context, evacuation, monitor);
	const waves = createMaintenanceWaves(context, orders, evacuation);
	const dataCentres = createDataCentreEvacuation(context, endRuns, evacuation);
	const pools = createPoolRebalancer(context, orders);
	let nextAdvanceAt = 0;
	let nextListAt = 0;
	let isListInFlight = false;
	let listRequestedAt = 0;
	let mayListAgainAt = 0;
	let rewritten: { readonly batch: number; readonly at: number } | undefined;

	const requestHostList = (now: number): void => {
		const intervalMs = orders.needsHostList || waves.isActive ? LIST_INTERVAL_MS : IDLE_LIST_INTERVAL_MS;
		const nextAt = Math.min(nextListAt, (hosts.listRequestedAt ?? -Infinity) + intervalMs);
		if (!isListInFlight && (now >= nextAt || (orders.needsHostListNow && now >= mayListAgainAt))) {
			isListInFlight = true;
			listRequestedAt = now;
			nextListAt = now + IDLE_LIST_INTERVAL_MS;
			mayListAgainAt = now + MINIMUM_LIST_INTERVAL_MS;
			context.emitNow({ type: 'list-hosts' });
		}
	};

	/** Evacuates workers that drain by themselves, as far as time allows. */
	const evacuateDrainingWorkers = (now: number): void => {
		for (const state of workers.current()) {
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
		changeEvacuations: (evacuated, now) => dataCentres.handleChange(evacuated, now),
		handleHostList: (list, now) => {
			isListInFlight = false;
			if (list === undefined) {
				context.counters.add('host_lists_failed_total');
				nextListAt = now + LIST_INTERVAL_MS;
				mayListAgainAt = nextListAt;
			} else {
				hosts.applyList(list, listRequestedAt);
			}
		},
		handleOrderAnswer: (host, answer, now) => orders.handleAnswer(host, answer, now),
		takeOver: now => orders.takeOver(now),
		mayRepeatStop: (workerKey, task, run, now) => evacuation.mayRepeatStop(workerKey, task, run, now),
		expectsWorker: now =>
			[...hosts.orders.values()].some(
				({ phase, phaseSince }) => phase === 'away' && now > phaseSince + MINIMUM_AWAY_MS,
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
			dataCentres.advance(now);
			if (
				hosts.baseOffset !== undefined &&
				(hosts.isRewriteDue || now > hosts.baseAt + settings.rewriteAfterMs) &&
				rewritten === undefined
			) {
				hosts.isRewriteDue = false;
				const event = hosts.rewrite(context.term ?? 0);
				if (event !== undefined) {
					context.record(event, now);
					rewritten = { batch: context.nextBatch, at: now };
				}
			}
		},
		handleBatchStored: (batch, offset) => {
			if (rewritten !== undefined && batch >= rewritten.batch) {
				hosts.rebased(offset, rewritten.at);
				rewritten = undefined;
			}
		},
		trimBefore: () => hosts.baseOffset ?? Infinity,
	};
}
