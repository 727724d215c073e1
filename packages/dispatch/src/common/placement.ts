import type { Queue } from '@chestnutwheel/configuration/common/fleetState.js';
import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { HostDispatchState, PlacementRequest, WorkClass } from './dispatchMessages.js';
import type { DispatchPolicy } from './dispatchPolicy.js';
import type { GrantTable } from './grantTable.js';
import type { HostRecord, HostTable } from './hostTable.js';
import type { Takeover } from './takeover.js';
import type { StartDeadline, WorkerClocks } from './workerClocks.js';
import type { WorkerHealth } from './workerHealth.js';

/** A worker chosen for one start. */
export interface Place {
	readonly record: HostRecord;
	readonly boot: string;
	readonly deadline: StartDeadline;
	/** The host is set aside and this start tries it again. */
	readonly probe: boolean;
}

/** Chooses workers: the first pool with a free slot, and there the worker with the least load. */
export interface Placement {
	/** Why a host gets starts or not. */
	stateOf(record: HostRecord, now: number): HostDispatchState;
	/** Whether a queue has a slot for a class of work. */
	hasPlace(queue: Queue, request: PlacementRequest, now: number, leaseUntil: number): boolean;
	choose(queue: Queue, request: PlacementRequest, now: number, leaseUntil: number): Place | undefined;
	slotsOf(record: HostRecord): number;
	/** Pools that the queue may use under the policy, in order. */
	poolsOf(queue: Queue): readonly string[];
	/** Sets which pools are spare. */
	setSparePools(pools: ReadonlySet<string>): void;
	/** Rebuilds the lists of hosts by pool. */
	refresh(): void;
}

/** What the placement looks at. */
export interface PlacementContext {
	readonly policy: DispatchPolicy;
	readonly hosts: HostTable;
	readonly grants: GrantTable;
	readonly takeover: Takeover;
	readonly clocks: WorkerClocks;
	readonly health: WorkerHealth;
	readonly random: SeededRandom;
}

interface Choice {
	readonly place: Place;
	readonly avoided: boolean;
	readonly load: number;
}

/** Creates the placement of one cell. */
export function createPlacement(context: PlacementContext): Placement {
	const { policy, hosts, grants, takeover, clocks, health, random } = context;
	let sparePools: ReadonlySet<string> = new Set();
	const byPool = new Map<string, HostRecord[]>();

	const slotsOf = (record: HostRecord): number => Math.min(record.host.slots, record.reportedSlots ?? Infinity);
	const freeOf = (record: HostRecord): number => slotsOf(record) - grants.countOfHost(record.host.name);

	const stateOf = (record: HostRecord, now: number): HostDispatchState => {
		const { name } = record.host;
		const closed = hosts.closedBecause(record);
		if (closed !== undefined) {
			return closed;
		}
		const fence = takeover.fenceState(name, now);
		if (fence !== 'fenced') {
			return fence === 'expired' ? 'unreachable' : 'in-doubt';
		}
		return health.isSetAside(name) ? 'set-aside' : 'open';
	};

	const startOn = (record: HostRecord, request: PlacementRequest, now: number, leaseUntil: number) => {
		const { name } = record.host;
		const state = stateOf(record, now);
		const probe = state === 'set-aside' && request.kind === 'request' && health.mayProbe(name, now);
		if ((state !== 'open' && !probe) || freeOf(record) <= 0 || record.boot === undefined) {
			return undefined;
		}
		const deadline = clocks.startDeadline(name, now, leaseUntil);
		return deadline === undefined ? undefined : { record, boot: record.boot, deadline, probe };
	};

	/** Research leaves the headroom of a pool free. */
	const researchFits = (pool: string, now: number): boolean => {
		let slots = 0;
		let free = 0;
		for (const record of byPool.get(pool) ?? []) {
			if (stateOf(record, now) === 'open') {
				slots += slotsOf(record);
				free += Math.max(0, freeOf(record));
			}
		}
		return free > Math.ceil(slots * policy.headroomFraction);
	};

	const poolsOf = (queue: Queue): readonly string[] =>
		policy.lending ? queue.pools : queue.pools.filter((pool, index) => index === 0 || !sparePools.has(pool));

	const openPools = (queue: Queue, workClass: WorkClass, now: number): readonly string[] =>
		workClass === 'research' ? poolsOf(queue).filter(pool => researchFits(pool, now)) : poolsOf(queue);

	const loadOf = (place: Place, request: PlacementRequest): number => {
		const { name } = place.record.host;
		if (place.probe) {
			// A probe may fail; urgent work takes it only when there is no other place.
			return request.class === 'urgent' ? Infinity : -1;
		}
		return grants.countOfHost(name) + health.failureRate(name) * policy.failureLoad;
	};

	const better = (left: Choice, right: Choice): boolean =>
		left.avoided === right.avoided ? left.load < right.load : !left.avoided;

	/** The best place of a pool. Ties are broken at random, so that equal workers share the work. */
	const bestOf = (pool: string, request: PlacementRequest, now: number, leaseUntil: number): Choice | undefined => {
		let best: Choice | undefined;
		let ties = 1;
		for (const record of byPool.get(pool) ?? []) {
			const place = startOn(record, request, now, leaseUntil);
			if (place === undefined) {
				continue;
			}
			const { name, rack } = record.host;
			const avoided = request.avoidHosts.includes(name) || request.avoidHosts.includes(rack);
			const choice = { place, avoided, load: loadOf(place, request) };
			if (best === undefined || better(choice, best)) {
				best = choice;
				ties = 1;
			} else if (!better(best, choice) && random.nextInteger(++ties) === 0) {
				best = choice;
			}
		}
		return best;
	};

	return {
		stateOf,
		slotsOf,
		poolsOf,
		hasPlace: (queue, request, now, leaseUntil) =>
			openPools(queue, request.class, now).some(pool =>
				(byPool.get(pool) ?? []).some(record => startOn(record, request, now, leaseUntil) !== undefined),
			),
		choose: (queue, request, now, leaseUntil) => {
			let fallback: Choice | undefined;
			for (const pool of openPools(queue, request.class, now)) {
				const choice = bestOf(pool, request, now, leaseUntil);
				if (choice !== undefined && !choice.avoided) {
					return choice.place;
				}
				fallback ??= choice;
			}
			return fallback?.place;
		},
		setSparePools: pools => {
			sparePools = pools;
		},
		refresh: () => {
			byPool.clear();
			for (const record of hosts.records()) {
				const list = byPool.get(record.host.pool) ?? [];
				list.push(record);
				byPool.set(record.host.pool, list);
			}
		},
	};
}
