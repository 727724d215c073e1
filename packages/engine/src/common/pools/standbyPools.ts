import type { FleetPlan } from '@chestnutwheel/ports/common/fleetPlan.js';

/** Returns the names of the standby pools, whose hosts are powered off. */
export function standbyPools(plan: FleetPlan | undefined): ReadonlySet<string> {
	return new Set((plan?.pools ?? []).filter(({ isStandby }) => isStandby).map(({ name }) => name));
}
