/**
 * Plans moves of hosts between pools whose load peaks at different times: while one pool needs several times its
 * average, the others need only a few hosts each. Surplus hosts move to a standby pool, where they are powered off.
 */

/** A pool with its current and target number of hosts. */
export interface PoolNeed {
	readonly pool: string;
	/** Number of hosts that serve the pool or are moving to it. */
	readonly currentHosts: number;
	/** Number of hosts that the current load requires. */
	readonly targetHosts: number;
	/** Number of hosts that the pool keeps: the highest recent target. */
	readonly retainedHosts: number;
	/** Pools with a lower number are served first when hosts are scarce. */
	readonly priority: number;
}

/** A host that may be moved. */
export interface MovableHost {
	readonly host: string;
	readonly pool: string;
	/** Whether the host is in a standby pool, and so powered off. */
	readonly isOff: boolean;
	/** Whether the pool gives the host up since its peak is over, so that a move to another pool saves one to standby. */
	readonly isReleased?: boolean;
	/** Whether the host is due for maintenance, which is best done while it is idle, before a move. */
	readonly isMaintenanceDue: boolean;
	/** Whether the host may move to a pool, which may need hosts of another kind. */
	readonly fits: (pool: string) => boolean;
}

/** A move of a host from one pool to another. */
export interface PoolMove {
	readonly host: string;
	readonly from: string;
	readonly to: string;
}

interface Shortage {
	readonly need: PoolNeed;
	missing: number;
}

/**
 * Returns the shortage to serve next: the lowest priority number first, then the largest shortage relative to the
 * target.
 */
function largestShortage(shortages: readonly Shortage[]): Shortage | undefined {
	return shortages
		.filter(({ missing }) => missing > 0)
		.sort(
			(left, right) =>
				left.need.priority - right.need.priority ||
				right.missing / right.need.targetHosts - left.missing / left.need.targetHosts ||
				left.need.pool.localeCompare(right.need.pool),
		)[0];
}

/**
 * Orders hosts by the cost of moving them: hosts of a pool whose peak is over first, then powered-off hosts, hosts due for
 * maintenance last.
 */
function compareMoveCost(left: MovableHost, right: MovableHost): number {
	return (
		Number(left.isMaintenanceDue) - Number(right.isMaintenanceDue) ||
		Number(right.isReleased ?? false) - Number(left.isReleased ?? false) ||
		Number(right.isOff) - Number(left.isOff)
	);
}

/**
 * Plans which idle hosts move to other pools.
 * @param idle hosts without any runs
 * @param standby pool for surplus hosts; `undefined` if there is none
 * @param keptHosts number of surplus hosts that stay where they are, for a peak that is about to begin
 */
export function planMoves(
	needs: readonly PoolNeed[],
	idle: readonly MovableHost[],
	standby: string | undefined,
	keptHosts = 0,
): readonly PoolMove[] {
	const moves: PoolMove[] = [];
	const remainingByPool = new Map(needs.map(({ pool, currentHosts }) => [pool, currentHosts]));
	const targetByPool = new Map(needs.map(need => [need.pool, need.targetHosts]));
	const retainedByPool = new Map(needs.map(need => [need.pool, need.retainedHosts]));
	const shortages = needs.map((need): Shortage => ({ need, missing: need.targetHosts - need.currentHosts }));
	const candidates = [...idle].sort(compareMoveCost);

	const take = (index: number, to: string): void => {
		const [taken] = candidates.splice(index, 1);
		if (taken !== undefined) {
			moves.push({ host: taken.host, from: taken.pool, to });
			remainingByPool.set(taken.pool, (remainingByPool.get(taken.pool) ?? 0) - 1);
		}
	};
	const mayMove = ({ pool, isOff }: MovableHost, bound: ReadonlyMap<string, number>): boolean =>
		isOff || (remainingByPool.get(pool) ?? 0) > (bound.get(pool) ?? 0);

	for (let shortage = largestShortage(shortages); shortage !== undefined; shortage = largestShortage(shortages)) {
		const { pool } = shortage.need;
		const index = candidates.findIndex(host => host.pool !== pool && mayMove(host, targetByPool) && host.fits(pool));
		if (index < 0) {
			shortage.missing = 0;
		} else {
			take(index, pool);
			shortage.missing--;
		}
	}
	if (standby === undefined) {
		return moves;
	}
	const offHosts = candidates.filter(({ isOff }) => isOff).length;
	const surplus: PoolMove[] = [];
	for (const host of candidates.toReversed()) {
		if (!host.isOff && mayMove(host, retainedByPool) && host.fits(standby)) {
			surplus.push({ host: host.host, from: host.pool, to: standby });
			remainingByPool.set(host.pool, (remainingByPool.get(host.pool) ?? 0) - 1);
		}
	}
	const kept = Math.max(0, keptHosts - offHosts);
	return [...moves, ...surplus.slice(0, Math.max(0, surplus.length - kept))];
}
