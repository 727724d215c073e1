import type { TeamPlan } from '@chestnutwheel/ports/common/fleetPlan.js';
import {
	addResources,
	noResources,
	scaleResources,
	subtractResources,
	type Resources,
} from '@chestnutwheel/ports/common/resources.js';

/** What each team has running over all workers. */
export interface TeamUsage {
	add(team: string, demand: Resources): void;
	remove(team: string, demand: Resources): void;
	used(team: string): Resources;
	/** Whether `count` more tasks keep the team within its cap; a cap of 0 in a dimension is no limit. */
	allows(team: TeamPlan, demand: Resources, count: number): boolean;
}

/** Whether a usage keeps within a cap; a cap of 0 in a dimension is no limit. */
export function isWithinCap(total: Resources, cap: Resources): boolean {
	const isWithin = (value: number, bound: number): boolean => bound <= 0 || value <= bound;
	return (
		isWithin(total.milliCores, cap.milliCores) &&
		isWithin(total.memoryMb, cap.memoryMb) &&
		isWithin(total.accelerators, cap.accelerators)
	);
}

/** Creates the usage of a fleet on which nothing runs. */
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
