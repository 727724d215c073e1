import type { TeamPlan } from '@chestnutwheel/ports/common/fleetPlan.js';
import {
	addResources,
	noResources,
	scaleResources,
	subtractResources,
	type Resources,
} from '@chestnutwheel/ports/common/resources.js';

/** Tracks the resources that the runs of each team use on all workers. */
export interface TeamUsage {
	/** Adds the demand of a run to the usage of its team. */
	add(team: string, demand: Resources): void;
	/** Subtracts the demand of a run from the usage of its team. */
	remove(team: string, demand: Resources): void;
	/** Returns the resources that a team uses. */
	used(team: string): Resources;
	/** Whether the team stays within its cap with `count` more tasks; a cap of 0 in a dimension means no limit. */
	allows(team: TeamPlan, demand: Resources, count: number): boolean;
}

/** Whether a usage is within a cap; a cap of 0 in a dimension means no limit. */
export function isWithinCap(total: Resources, cap: Resources): boolean {
	const isWithin = (value: number, bound: number): boolean => bound <= 0 || value <= bound;
	return (
		isWithin(total.milliCores, cap.milliCores) &&
		isWithin(total.memoryMb, cap.memoryMb) &&
		isWithin(total.accelerators, cap.accelerators)
	);
}

/** Creates a tracker without usage. */
export function createTeamUsage(): TeamUsage {
	const usage = new Map<string, Resources>();
	const used = (team: string): Resources => usage.get(team) ?? noResources;
	return {
		add: (team, demand) => usage.set(team, addResources(used(team), demand)),
		remove: (team, demand) => usage.set(team, subtractResources(used(team), demand)),
		used,
		allows: (team, demand, count) => {
			return isWithinCap(addResources(used(team.name), scaleResources(demand, count)), team.cap);
		},
	};
}
