import type { MaintenanceWave } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { HostOrderOutcome, ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { EngineContext } from '../engineContext.js';
import type { RunTerminator } from '../jobs/runTerminator.js';
import type { WorkerWatch } from '../workers/workerWatch.js';
import { createEvacuation } from './evacuation.js';
import { createHostOrders } from './hostOrders.js';
import { createUpkeepWaves } from './upkeepWaves.js';
import { createPoolKeeping } from '../pools/poolKeeping.js';

/** Time between two looks at what is due with hosts. */
const ADVANCE_EVERY_MS = 50;

/** Time between two reads of the list of hosts while orders or waves are open. */
const LIST_EVERY_MS = 500;

/** Time between two reads of the list otherwise. */
const IDLE_LIST_EVERY_MS = 5_000;

/** Time that a host is away at least; the platform states 1.5 s for a move and 2 s for upkeep. */
const LEAST_AWAY_MS = 1_300;

/** Hosts, orders to them and waves: what is due, and when the list is read. */
export interface HostKeeping {
	wavesChanged(waves: readonly MaintenanceWave[], now: number): void;
	listed(list: readonly ListedHost[] | undefined, now: number): void;
	answered(host: string, answer: HostOrderOutcome | { readonly type: 'not-sent' }, now: number): void;
	takeOver(now: number): void;
	/** Whether the worker of a host that comes back is about to be listed. */
	expectsWorker(now: number): boolean;
	tick(now: number): void;
	stored(batch: number, offset: number, now: number): void;
	/** Offset before which the journal holds nothing about hosts that a reader needs. */
	trimBefore(): number;
}

/** Creates the part of the engine that looks after hosts. */
export function createHostKeeping(context: EngineContext, endRuns: RunTerminator, watch: WorkerWatch): HostKeeping {
	const { hosts, workers, settings } = context;
	const evacuation = createEvacuation(context, endRuns);
	const orders = createHostOrders(context, evacuation, watch);
	const waves = createUpkeepWaves(context, orders);
	const pools = createPoolKeeping(context, orders);
	let advanceAt = 0;
	let listAt = 0;
	let isListing = false;
	let askedAt = 0;
	let rewrittenBatch: number | undefined;

	const askForList = (now: number): void => {
		const every = orders.needsList || waves.isActive ? LIST_EVERY_MS : IDLE_LIST_EVERY_MS;
		if (!isListing && now >= Math.min(listAt, (hosts.askedAt ?? -Infinity) + every)) {
			isListing = true;
			askedAt = now;
			listAt = now + IDLE_LIST_EVERY_MS;
			context.atOnce({ type: 'list-hosts' });
		}
	};

	/** Workers that leave by themselves are emptied as far as it can be done in time. */
	const emptyLeavers = (now: number): void => {
		for (const state of workers.current()) {
			if (state.entry?.isDraining === true && !state.isOver) {
				evacuation.moveLasting(state, now);
			}
		}
	};

	return {
		wavesChanged: (changed, now) => {
			waves.wavesChanged(changed, now);
			listAt = now;
		},
		listed: (list, now) => {
			isListing = false;
			if (list === undefined) {
				context.counters.add('host_lists_failed_total');
				listAt = now + LIST_EVERY_MS;
			} else {
				hosts.listed(list, askedAt);
			}
		},
		answered: (host, answer, now) => orders.answered(host, answer, now),
		takeOver: now => orders.takeOver(now),
		expectsWorker: now =>
			[...hosts.orders.values()].some(({ phase, since }) => phase === 'away' && now > since + LEAST_AWAY_MS),
		tick: now => {
			if (now < advanceAt) {
				return;
			}
			advanceAt = now + ADVANCE_EVERY_MS;
			askForList(now);
			waves.advance(now);
			pools.advance(now);
			orders.advance(now);
			emptyLeavers(now);
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
		stored: (batch, offset, now) => {
			if (rewrittenBatch !== undefined && batch >= rewrittenBatch) {
				hosts.rebased(offset, now);
				rewrittenBatch = undefined;
			}
		},
		trimBefore: () => hosts.baseOffset ?? Infinity,
	};
}
