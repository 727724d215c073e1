import {
	addResources,
	dominantShare,
	noResources,
	scaleResources,
	subtractResources,
	type Resources,
} from '@chestnutwheel/ports/common/resources.js';
import type { EngineContext } from '../engineContext.js';
import { effectiveDemand } from '../scheduling/placement.js';
import { standbyPools } from './standbyPools.js';

/** Shortest time until a host that is overdue in its new pool counts as serving it, in milliseconds. */
const MINIMUM_ARRIVAL_MS = 100;

/** Hosts that will serve a pool. */
export interface RoomArrival {
	readonly resources: Resources;
	/** Time until they accept work, in milliseconds. */
	readonly inMs: number;
}

/** Room of a pool over the time ahead. Work is measured in milliseconds of the whole room. */
export interface PoolRoom {
	/** Resources of the pool once all hosts on their way have arrived. */
	readonly full: Resources;
	/** Returns the work that the pool completes within a time, both in milliseconds. */
	readonly supplyMs: (untilMs: number) => number;
	/** Returns the time within which the pool completes an amount of work, both in milliseconds. */
	readonly timeForMs: (workMs: number) => number;
	/** Converts resources multiplied by milliseconds into milliseconds of the whole room. */
	workMs(work: Resources): number;
}

/**
 * Creates the room of a pool from its capacity and the hosts on their way.
 * @param usableFraction part of the resources that tasks use while others wait
 */
export function createPoolRoom(serving: Resources, arrivals: readonly RoomArrival[], usableFraction = 1): PoolRoom {
	const full = arrivals.reduce((sum, { resources }) => addResources(sum, resources), serving);
	const fractionOf = (resources: Resources): number => {
		const fractions = [
			[resources.milliCores, full.milliCores],
			[resources.memoryMb, full.memoryMb],
		].flatMap(([part = 0, whole = 0]) => (whole > 0 ? [part / whole] : []));
		return fractions.length === 0 ? 0 : Math.max(0, Math.min(...fractions));
	};
	const segments = arrivals
		.map(({ resources, inMs }) => ({ fraction: usableFraction * fractionOf(resources), inMs }))
		.sort((left, right) => left.inMs - right.inMs);
	const initial = usableFraction * fractionOf(serving);
	return {
		full,
		supplyMs: untilMs =>
			segments.reduce(
				(sum, { fraction, inMs }) => sum + fraction * Math.max(0, untilMs - inMs),
				initial * Math.max(0, untilMs),
			),
		timeForMs: workMs => {
			let rate = initial;
			let time = 0;
			let remaining = workMs;
			for (const { fraction, inMs } of segments) {
				const done = rate * (inMs - time);
				if (done >= remaining) {
					break;
				}
				remaining -= done;
				time = inMs;
				rate += fraction;
			}
			return remaining <= 0 ? time : rate > 0 ? time + remaining / rate : Infinity;
		},
		workMs: work => {
			// Work that needs accelerators takes no room of a pool that has none.
			const share = dominantShare(work, full);
			return Number.isFinite(share) ? share : 0;
		},
	};
}

/** Room of every pool, in which each host counts once. */
export interface PoolRooms {
	/**
	 * Returns the room of a pool.
	 * @param isAsking whether work for the pool asks for hosts now
	 * @param usableFraction part of the resources that tasks use while others wait
	 */
	roomOf(pool: string, isAsking: boolean, usableFraction: number): PoolRoom;
}

/**
 * Computes the room of the pools under a load that exceeds several pools at once. Hosts in a standby pool, and idle hosts of
 * pools without waiting work, are divided among the pools that are short by their waiting work, since each of them can be
 * moved to one pool only. Service tasks hold their resources for good, so that these are no room.
 * @param waitingWork waiting work of each pool that is short, in resources times milliseconds
 */
export function poolRooms(
	context: Pick<EngineContext, 'workers' | 'hosts' | 'plan' | 'evacuated' | 'moveTime'>,
	waitingWork: ReadonlyMap<string, Resources>,
	now: number,
): PoolRooms {
	const { workers, hosts, plan, evacuated } = context;
	const arrivalMs = context.moveTime.medianMs;
	const standby = standbyPools(plan);
	const serving = new Map<string, Resources>();
	const arrivals = new Map<string, RoomArrival[]>();
	const countedHosts = new Set<string>();
	const idleByPool = new Map<string, Resources>();
	const add = (sums: Map<string, Resources>, pool: string, resources: Resources): void =>
		void sums.set(pool, addResources(sums.get(pool) ?? noResources, resources));

	for (const state of workers.current()) {
		const { entry, isListed, hasEnded, reachability, runs } = state;
		if (
			entry === undefined ||
			!isListed ||
			hasEnded ||
			reachability === 'silent' ||
			entry.isDraining ||
			evacuated.has(entry.dataCentre) ||
			!workers.isCertain(state) ||
			hosts.isCordoned(state)
		) {
			continue;
		}
		countedHosts.add(entry.host);
		let free = entry.resources;
		for (const { task } of runs.values()) {
			if (task.step.spec.isLasting) {
				free = subtractResources(free, effectiveDemand(task.step.spec));
			}
		}
		add(serving, entry.pool, free);
		if (runs.size === 0 && reachability === 'answering' && !waitingWork.has(entry.pool)) {
			add(idleByPool, entry.pool, entry.resources);
		}
	}
	for (const { host, action, phase, phaseSince } of hosts.orders.values()) {
		const listed = hosts.hosts.get(host);
		if (
			action.type === 'move' &&
			listed !== undefined &&
			!evacuated.has(listed.dataCentre) &&
			!countedHosts.has(host)
		) {
			const inMs = phase === 'away' ? phaseSince + arrivalMs - now : arrivalMs;
			const known = arrivals.get(action.pool) ?? [];
			arrivals.set(action.pool, known);
			known.push({ resources: listed.resources, inMs: Math.max(MINIMUM_ARRIVAL_MS, inMs) });
		}
	}
	let movable = noResources;
	for (const { host, pool, state, dataCentre, resources } of hosts.hosts.values()) {
		if (standby.has(pool) && state === 'up' && !evacuated.has(dataCentre) && !hosts.orders.has(host)) {
			movable = addResources(movable, resources);
		}
	}
	const weightOf = (pool: string): number => waitingWork.get(pool)?.milliCores ?? 0;
	const totalWeight = [...waitingWork.keys()].reduce((sum, pool) => sum + weightOf(pool), 0);
	/** Returns the part of the movable hosts that a pool may count on. */
	const partOf = (pool: string, isAsking: boolean): number => {
		if (totalWeight <= 0) {
			return isAsking ? 1 : 0;
		}
		const weight = weightOf(pool);
		return weight > 0 ? weight / totalWeight : isAsking ? 1 / (waitingWork.size + 1) : 0;
	};
	return {
		roomOf: (pool, isAsking, usableFraction) => {
			let offered = movable;
			idleByPool.forEach((resources, other) => {
				offered = other === pool ? offered : addResources(offered, resources);
			});
			const resources = scaleResources(offered, partOf(pool, isAsking));
			const ofPool = arrivals.get(pool) ?? [];
			const planned = resources.milliCores > 0 ? [{ resources, inMs: arrivalMs }] : [];
			return createPoolRoom(serving.get(pool) ?? noResources, [...ofPool, ...planned], usableFraction);
		},
	};
}
