import type { Queue } from '@chestnutwheel/configuration/common/fleetState.js';
import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { HostDispatchState, PlacementRequest, WorkClass } from './dispatchMessages.js';
import type { DispatchPolicy } from './dispatchPolicy.js';
import type { GrantTable } from './grantTable.js';
import type { HostRecord, HostTable } from './hostTable.js';
import type { Takeover } from './takeover.js';
import type { WorkerClocks } from './workerClocks.js';
import type { WorkerHealth } from './workerHealth.js';

/** A worker chosen for one start. */
export interface Place {
	readonly record: HostRecord;
	readonly boot: string;
	/** The host is set aside and this start tries it again. */
	readonly probe: boolean;
}

/** Chooses workers: the first pool with a free slot, and there the worker with the least load. */
export interface Placement {
	/** Why a host gets starts or not. */
	stateOf(record: HostRecord, now: number): HostDispatchState;
	/** Finds the hosts that can take a start now; to be called again after each grant. */
	survey(now: number, leaseUntil: number): void;
	/** Whether the survey found any host with a free slot. */
	readonly anyFree: boolean;
	/** Whether a queue has a slot for a class of work, as of the survey. */
	hasPlace(queue: Queue, workClass: WorkClass, kind: PlacementRequest['kind']): boolean;
	/** The best place as of the survey. */
	choose(queue: Queue, request: PlacementRequest): Place | undefined;
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
	/** Places by pool, as of the last survey. */
	const places = new Map<string, readonly Place[]>();
	/** Whether research fits in a pool, as of the last survey. */
	const fits = new Map<string, boolean>();
	let surveyedAt = 0;
	let anyFree = false;

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

	const startOn = (record: HostRecord, now: number, leaseUntil: number): Place | undefined => {
		const { name } = record.host;
		// Most hosts are full when it matters, so this check comes first.
		if (freeOf(record) <= 0 || record.boot === undefined) {
			return undefined;
		}
		const state = stateOf(record, now);
		const probe = state === 'set-aside' && health.mayProbe(name, now);
		if (state !== 'open' && !probe) {
			return undefined;
		}
		return clocks.startDeadline(name, now, leaseUntil) === undefined ? undefined : { record, boot: record.boot, probe };
	};

	/** Research leaves the headroom of a pool free. */
	const researchFits = (pool: string): boolean => {
		const known = fits.get(pool);
		if (known !== undefined) {
			return known;
		}
		let slots = 0;
		let free = 0;
		for (const record of byPool.get(pool) ?? []) {
			if (stateOf(record, surveyedAt) === 'open') {
				slots += slotsOf(record);
				free += Math.max(0, freeOf(record));
			}
		}
		const result = free > Math.ceil(slots * policy.headroomFraction);
		fits.set(pool, result);
		return result;
	};

	const poolsOf = (queue: Queue): readonly string[] =>
		policy.lending ? queue.pools : queue.pools.filter((pool, index) => index === 0 || !sparePools.has(pool));

	const openPools = (queue: Queue, workClass: WorkClass): readonly string[] =>
		poolsOf(queue).filter(
			pool => (places.get(pool)?.length ?? 0) > 0 && (workClass !== 'research' || researchFits(pool)),
		);

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
	const bestOf = (pool: string, request: PlacementRequest): Choice | undefined => {
		let best: Choice | undefined;
		let ties = 1;
		for (const place of places.get(pool) ?? []) {
			if (place.probe && request.kind === 'job') {
				continue;
			}
			const { name, rack } = place.record.host;
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
		survey: (now, leaseUntil) => {
			surveyedAt = now;
			anyFree = false;
			fits.clear();
			for (const [pool, records] of byPool) {
				const found: Place[] = [];
				for (const record of records) {
					const place = startOn(record, now, leaseUntil);
					if (place !== undefined) {
						found.push(place);
					}
				}
				anyFree ||= found.length > 0;
				places.set(pool, found);
			}
		},
		get anyFree() {
			return anyFree;
		},
		hasPlace: (queue, workClass, kind) =>
			openPools(queue, workClass).some(pool => places.get(pool)?.some(place => !place.probe || kind === 'request')),
		choose: (queue, request) => {
			let fallback: Choice | undefined;
			for (const pool of openPools(queue, request.class)) {
				const choice = bestOf(pool, request);
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
			places.clear();
			for (const record of hosts.records()) {
				const list = byPool.get(record.host.pool) ?? [];
				list.push(record);
				byPool.set(record.host.pool, list);
			}
		},
	};
}
