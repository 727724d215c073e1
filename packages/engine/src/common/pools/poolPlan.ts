/**
 * Moves hosts between pools whose load peaks by turns: while one pool is asked for several times its mean, the others
 * need a few hosts each. Hosts that nobody needs go to a standby pool, where they are off.
 */

/** A pool and how many hosts it should have. */
export interface PoolNeed {
	readonly pool: string;
	/** Hosts that serve the pool, or are on their way to it. */
	readonly currentHosts: number;
	/** Hosts that the load of this moment asks for. */
	readonly targetHosts: number;
	/** Hosts that the pool keeps: the most that were wanted of late. */
	readonly retainedHosts: number;
	/** Lower goes first when there are too few hosts. */
	readonly priority: number;
}

/** A host that may be moved. */
export interface MovableHost {
	readonly host: string;
	readonly pool: string;
	/** Whether the pool is a standby pool, so that the host is off. */
	readonly isOff: boolean;
	/** Whether the host waits for its upkeep, which a host without work should have first. */
	readonly isMaintenanceDue: boolean;
	/** Whether the host may be in a pool; a pool can be one of other hosts. */
	readonly fits: (pool: string) => boolean;
}

/** One move. */
export interface PoolMove {
	readonly host: string;
	readonly from: string;
	readonly to: string;
}

interface Shortage {
	readonly need: PoolNeed;
	missing: number;
}

/** The pool that lacks most, in relation to what it wants; among those the more urgent one. */
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

/** Hosts that are off go first, and those that wait for their upkeep last. */
function compareMoveCost(left: MovableHost, right: MovableHost): number {
	return Number(left.isMaintenanceDue) - Number(right.isMaintenanceDue) || Number(right.isOff) - Number(left.isOff);
}

/**
 * Decides which idle hosts move.
 * @param idle hosts on which nothing runs
 * @param standby pool for hosts that nobody needs; `undefined` where there is none
 */
export function planMoves(
	needs: readonly PoolNeed[],
	idle: readonly MovableHost[],
	standby: string | undefined,
): readonly PoolMove[] {
	const moves: PoolMove[] = [];
	const remainingByPool = new Map(needs.map(({ pool, currentHosts: have }) => [pool, have]));
	const targetByPool = new Map(needs.map(need => [need.pool, need.targetHosts]));
	const retainedByPool = new Map(needs.map(need => [need.pool, need.retainedHosts]));
	const shortages = needs.map((need): Shortage => ({ need, missing: need.targetHosts - need.currentHosts }));
	const free = [...idle].sort(compareMoveCost);

	const take = (index: number, to: string): void => {
		const [taken] = free.splice(index, 1);
		if (taken !== undefined) {
			moves.push({ host: taken.host, from: taken.pool, to });
			remainingByPool.set(taken.pool, (remainingByPool.get(taken.pool) ?? 0) - 1);
		}
	};
	const mayMove = ({ pool, isOff }: MovableHost, bound: ReadonlyMap<string, number>): boolean =>
		isOff || (remainingByPool.get(pool) ?? 0) > (bound.get(pool) ?? 0);

	for (let shortage = largestShortage(shortages); shortage !== undefined; shortage = largestShortage(shortages)) {
		const { pool } = shortage.need;
		const index = free.findIndex(host => host.pool !== pool && mayMove(host, targetByPool) && host.fits(pool));
		if (index < 0) {
			shortage.missing = 0;
		} else {
			take(index, pool);
			shortage.missing--;
		}
	}
	if (standby !== undefined) {
		for (let index = free.length - 1; index >= 0; index--) {
			const host = free[index];
			if (host !== undefined && !host.isOff && mayMove(host, retainedByPool) && host.fits(standby)) {
				take(index, standby);
			}
		}
	}
	return moves;
}
