import {
	addResources,
	dominantShare,
	noResources,
	scaleResources,
	type Resources,
} from '@chestnutwheel/ports/common/resources.js';
import type { ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { EngineContext } from '../engineContext.js';
import type { HostOrders } from '../hosts/hostOrders.js';
import type { WorkerState } from '../workers/workerState.js';
import { createPoolDemand } from './poolDemand.js';
import { standbyPools } from './standbyPools.js';
import { planMoves, type MovableHost, type PoolNeed } from './poolPlan.js';
import { createHostUseCounter, type PoolUse } from './hostUse.js';
import { createMoveLog } from './moveLog.js';
import { createPoolShortageLog } from './poolShortageLog.js';
import { readPoolDemands } from './poolWork.js';
import { turnStance } from './turnPlan.js';

/** Interval between two plans, in milliseconds. A move takes 1.5 s, so more frequent planning gains nothing. */
const PLAN_INTERVAL_MS = 100;

/**
 * Time for which a pool keeps hosts that it no longer needs, in milliseconds. Two moves cost as much as a host does in
 * about 3 s.
 */
const SHRINK_DELAY_MS = 3_000;

/** Target utilisation of a pool, which leaves headroom so that wide steps can start at once. */
const TARGET_UTILISATION = 0.85;

/** Minimum number of hosts in a pool, so that another host remains after the loss of one. */
const MINIMUM_HOSTS = 2;

/** Minimum interval between two records of the pattern of peaks, in milliseconds. */
const TURN_RECORD_INTERVAL_MS = 10_000;

/** Time that a new leader gives workers to answer before it treats them as unreachable, in milliseconds. */
const NEW_LEADER_GRACE_MS = 2_000;

/** Time for which a worker without an entry still counts as serving. Entries return about 2 s after a store outage. */
const UNLISTED_WORKER_GRACE_MS = 3_000;

/** Load of a pool, in hosts of its average size. */
interface PoolLoad {
	readonly lasting: number;
	/** Load of running and waiting tasks. */
	readonly atHand: number;
	/** Load of work that arrives at the recent rate. */
	readonly arriving: number;
	/** Load of a peak that is forecast. */
	readonly expected: number;
}

interface PoolNeedWithLoad extends PoolNeed {
	readonly load: PoolLoad;
	readonly movingHosts: number;
	readonly minimumHosts: number;
	readonly releasesAtOnce: boolean;
	/** Number of hosts that a peak which is about to begin lacks. */
	readonly upcomingHosts: number;
}

/** Adjusts the number of hosts in each pool to its load. */
export interface PoolRebalancer {
	advance(now: number): void;
}

/** Creates the component that moves hosts between pools. */
export function createPoolRebalancer(context: EngineContext, orders: HostOrders): PoolRebalancer {
	const { hosts, workers, logDecision: note, counters } = context;
	const hostUse = createHostUseCounter(counters, note);
	const moveLog = createMoveLog(context, SHRINK_DELAY_MS);
	const shortageLog = createPoolShortageLog(context, orders);
	const retainedByPool = new Map<string, { hosts: number; at: number }>();
	let nextPlanAt = 0;
	let nextTurnRecordAt = 0;

	/**
	 * Whether planning may begin: the hosts and workers are known, and each worker has been polled or had time to answer.
	 */
	const mayPlan = (now: number): boolean =>
		hosts.listRequestedAt !== undefined &&
		workers.hasReadEntries &&
		(now >= context.termBeganAt + NEW_LEADER_GRACE_MS || ![...workers.current()].some(isReachabilityUnknown));

	/**
	 * Whether a worker accepts work for its pool. Unreachable workers do not count, since their work must move elsewhere.
	 */
	const serves = (state: WorkerState): boolean =>
		state.entry !== undefined &&
		state.isListed &&
		!state.hasEnded &&
		!state.entry.isDraining &&
		!hosts.isCordoned(state) &&
		state.reachability !== 'silent';

	/**
	 * Whether a host counts as serving its pool. The host list is trusted for some time without a worker entry, since
	 * entries may be missing after a store outage.
	 */
	const mayServe = (listed: ListedHost, state: WorkerState | undefined, now: number): boolean =>
		state?.entry?.pool !== listed.pool
			? now < context.termBeganAt + UNLISTED_WORKER_GRACE_MS
			: serves(state) || (state.unlistedSince !== undefined && now < state.unlistedSince + UNLISTED_WORKER_GRACE_MS);

	const averageHostResources = (pool: string): Resources => {
		let sum = noResources;
		let count = 0;
		const listed = [...hosts.hosts.values()];
		const ofPool = listed.filter(host => host.pool === pool);
		for (const { resources } of ofPool.length === 0 ? listed : ofPool) {
			sum = addResources(sum, resources);
			count++;
		}
		return scaleResources(sum, 1 / Math.max(1, count));
	};

	/**
	 * Returns the number of hosts that a pool keeps for now. A new leader does not know the earlier demand, so it starts
	 * from the hosts that the pool has.
	 */
	const retainedHosts = (
		pool: string,
		currentHosts: number,
		targetHosts: number,
		releasesAtOnce: boolean,
		now: number,
	): number => {
		const retained = retainedByPool.get(pool) ?? { hosts: currentHosts, at: now };
		retainedByPool.set(pool, retained);
		if (releasesAtOnce || targetHosts >= retained.hosts || now > retained.at + SHRINK_DELAY_MS) {
			retainedByPool.set(pool, { hosts: targetHosts, at: now });
			return targetHosts;
		}
		return retained.hosts;
	};

	const needs = (standby: ReadonlySet<string>, now: number): readonly PoolNeedWithLoad[] => {
		const have = new Map<string, number>();
		const add = (pool: string): void => void have.set(pool, (have.get(pool) ?? 0) + 1);
		for (const listed of hosts.hosts.values()) {
			if (
				listed.state === 'up' &&
				!isEvacuated(listed.host) &&
				!isMoving(listed.host) &&
				mayServe(listed, workers.byHost(listed.host), now)
			) {
				add(listed.pool);
			}
		}
		const coming = new Map<string, number>();
		for (const { host, action } of hosts.orders.values()) {
			if (action.type === 'move' && !isEvacuated(host)) {
				coming.set(action.pool, (coming.get(action.pool) ?? 0) + 1);
			}
		}
		const byPool = readPoolDemands(context, now);
		return (context.plan?.pools ?? [])
			.filter(({ name }) => !standby.has(name))
			.map(({ name }) => {
				const demand = byPool.get(name) ?? createPoolDemand();
				const stance = turnStance(context.turns, name, context.moveTime.medianMs, SHRINK_DELAY_MS, now);
				const arriving = context.arrivingWork.estimate(name, now, stance.calmSince, stance.isKnownPeak);
				const movingHosts = coming.get(name) ?? 0;
				const currentHosts = (have.get(name) ?? 0) + movingHosts;
				const atHand = addResources(demand.running, demand.waiting);
				const hostResources = averageHostResources(name);
				const load: PoolLoad = {
					lasting: dominantShare(demand.lasting, hostResources),
					atHand: dominantShare(atHand, hostResources),
					arriving: dominantShare(arriving, hostResources),
					expected: dominantShare(stance.expected, hostResources),
				};
				const unstarted = Math.max(load.arriving, load.expected);
				const coveredLoad = Math.max(0, currentHosts * TARGET_UTILISATION - load.lasting);
				const counted = stance.endsBeforeMove ? Math.min(unstarted, coveredLoad) : unstarted;
				const totalLoad = load.lasting + Math.max(load.atHand, counted);
				const wanted = Math.max(MINIMUM_HOSTS, demand.minimumWorkers, Math.ceil(totalLoad / TARGET_UTILISATION));
				const upcoming = dominantShare(stance.upcoming, hostResources) / TARGET_UTILISATION;
				return {
					pool: name,
					currentHosts,
					movingHosts,
					targetHosts: wanted,
					retainedHosts: retainedHosts(name, currentHosts, wanted, stance.releasesAtOnce, now),
					minimumHosts: Math.max(MINIMUM_HOSTS, demand.minimumWorkers),
					releasesAtOnce: stance.releasesAtOnce,
					upcomingHosts: Math.max(0, Math.ceil(upcoming) - currentHosts),
					priority: demand.priority,
					load,
				};
			});
	};

	/** Whether a host counts as no room for its pool and moves to none, because its data centre is evacuated. */
	const isEvacuated = (host: string): boolean => context.evacuated.has(hosts.hosts.get(host)?.dataCentre);

	const isMoving = (host: string): boolean => hosts.orders.get(host)?.action.type === 'move';

	const movable = (
		standby: ReadonlySet<string>,
		released: ReadonlySet<string>,
		now: number,
	): readonly MovableHost[] => {
		const due = hosts.hostsDueForMaintenance();
		const isIdle = (listed: ListedHost, isOff: boolean): boolean => {
			const state = workers.byHost(listed.host);
			const isAnswering = state?.reachability === 'answering';
			if (isOff && !isAnswering) {
				// The entry of the worker that ran there before may still be listed for some seconds.
				return state === undefined || hasNoRuns(state);
			}
			return isAnswering && serves(state) && state.entry?.pool === listed.pool && hasNoRuns(state);
		};
		return [...hosts.hosts.values()]
			.filter(host => host.state === 'up' && !isEvacuated(host.host) && orders.isAvailable(host.host, now))
			.filter(host => isIdle(host, standby.has(host.pool)))
			.map(({ host, pool }) => ({
				host,
				pool,
				isOff: standby.has(pool),
				isReleased: released.has(pool),
				isMaintenanceDue: due.has(host),
				fits: (to: string) => !hosts.isIncompatible(host, to),
			}));
	};

	/** Follows the peaks of all pools, and stores their pattern when it has become known or was forgotten. */
	const observeTurns = (now: number): void => {
		const { turns, arrivingWork } = context;
		context.plan?.pools.forEach(({ name }) => turns.observe(name, arrivingWork.takeArrived(name), now));
		if (turns.isExportDue && now >= nextTurnRecordAt) {
			nextTurnRecordAt = now + TURN_RECORD_INTERVAL_MS;
			context.record({ type: 'turns', pattern: turns.exportTurns() }, now);
		}
	};

	return {
		advance: now => {
			if (now < nextPlanAt || !mayPlan(now)) {
				return;
			}
			nextPlanAt = now + PLAN_INTERVAL_MS;
			const standby = standbyPools(context.plan);
			observeTurns(now);
			const wanted = needs(standby, now);
			const [spare] = standby;
			const released = new Set(wanted.filter(({ releasesAtOnce }) => releasesAtOnce).map(({ pool }) => pool));
			const idle = movable(standby, released, now);
			const keptHosts = wanted.reduce((sum, { upcomingHosts }) => sum + upcomingHosts, 0);
			const moves = planMoves(wanted, idle, spare, keptHosts);
			shortageLog.report(wanted, moves, idle, now);
			hostUse.count(
				wanted.map(need => toPoolUse(need, idle)),
				now,
			);
			for (const { host, from, to } of moves) {
				const need = wanted.find(({ pool }) => pool === to);
				note('host-moves', {
					host,
					from,
					to,
					have: need?.currentHosts,
					wanted: need?.targetHosts,
					...roundLoad(need?.load),
				});
				counters.add('host_moves_total', { to });
				moveLog.record(host, !standby.has(from) && !standby.has(to), now);
				orders.begin(host, { type: 'move', pool: to }, now);
			}
		},
	};
}

function hasNoRuns({ runs, orphanedRuns }: WorkerState): boolean {
	return runs.size + orphanedRuns.size === 0;
}

function toPoolUse(need: PoolNeedWithLoad, idle: readonly MovableHost[]): PoolUse {
	const { pool, currentHosts, movingHosts, targetHosts, minimumHosts, load } = need;
	const hostsFor = (waiting: number): number =>
		Math.min(targetHosts, Math.ceil((load.lasting + waiting) / TARGET_UTILISATION));
	return {
		currentHosts,
		movingHosts,
		targetHosts,
		minimumHosts,
		idleHosts: idle.filter(host => host.pool === pool).length,
		atHandHosts: hostsFor(load.atHand),
		arrivingHosts: hostsFor(Math.max(load.atHand, load.arriving)),
	};
}

/** Rounds loads for a log line to tenths of a host. */
function roundLoad(shares: PoolLoad | undefined): Partial<PoolLoad> {
	return Object.fromEntries(Object.entries(shares ?? {}).map(([name, share]) => [name, Math.round(share * 10) / 10]));
}

/**
 * Whether a listed worker has neither answered nor left a call unanswered yet. A worker's entry remains listed for some
 * seconds after its host has moved, although no worker answers there.
 */
function isReachabilityUnknown({
	reachability: contact,
	unreachableSince: silentSince,
	isListed,
	hasEnded: isOver,
}: WorkerState): boolean {
	return isListed && !isOver && contact === 'unknown' && silentSince === undefined;
}
