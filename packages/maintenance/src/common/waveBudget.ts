import type { Host, Pool } from '@chestnutwheel/configuration/common/fleetState.js';

/** The room that a pool's availability budget leaves. */
export interface PoolRoom {
	/** Number of unavailable hosts of the pool, with those taken. */
	readonly unavailable: number;
	/** Tells whether the pool stays within its budget when this host becomes unavailable too. */
	hasRoomFor(host: Host): boolean;
	take(host: Host): void;
}

/**
 * Counts the unavailable hosts of a pool against its budget.
 * @param hosts the hosts of the pool
 * @param isUnavailable true for hosts that are claimed, about to be claimed, down, leaving or set aside
 */
export function createPoolRoom(pool: Pool, hosts: readonly Host[], isUnavailable: (host: Host) => boolean): PoolRoom {
	const unavailable = new Set<string>();
	const byDataCentre = new Map<string, number>();

	const take = (host: Host): void => {
		if (!unavailable.has(host.name)) {
			unavailable.add(host.name);
			byDataCentre.set(host.dataCentre, (byDataCentre.get(host.dataCentre) ?? 0) + 1);
		}
	};
	hosts.filter(isUnavailable).forEach(take);

	return {
		get unavailable() {
			return unavailable.size;
		},
		hasRoomFor: host => {
			const added = unavailable.has(host.name) ? 0 : 1;
			const perDataCentre = pool.budget.maximumUnavailablePerDataCentre ?? Number.POSITIVE_INFINITY;
			return (
				unavailable.size + added <= pool.budget.maximumUnavailable &&
				(byDataCentre.get(host.dataCentre) ?? 0) + added <= perDataCentre
			);
		},
		take,
	};
}
