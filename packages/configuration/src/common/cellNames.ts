import type { FleetState } from './fleetState.js';

const namesByPools = new WeakMap<FleetState['pools'], readonly string[]>();

/** Names of the cells of the accepted state, sorted. They are worked out once for each change of the pools. */
export function cellNames({ pools }: FleetState): readonly string[] {
	const known = namesByPools.get(pools);
	if (known !== undefined) {
		return known;
	}
	const names = [...new Set(Object.values(pools).map(pool => pool.cell))].sort();
	namesByPools.set(pools, names);
	return names;
}
