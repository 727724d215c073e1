import type { FleetPlan, QueuePlan } from '@chestnutwheel/ports/common/fleetPlan.js';

/** Routing table that resolves the queue and the team of a call. */
export interface RouteTable {
	/** Returns the queue of the host with the longest prefix of the path. */
	findQueue(host: string, path: string): QueuePlan | undefined;
	/** Returns the team that owns an API key. */
	findTeam(key: string): string | undefined;
}

/** Builds the routing table of a fleet plan. */
export function createRouteTable(plan: FleetPlan): RouteTable {
	const byHost = new Map<string, QueuePlan[]>();
	for (const queue of plan.queues) {
		const queuesOfHost = byHost.get(queue.host);
		if (queuesOfHost === undefined) {
			byHost.set(queue.host, [queue]);
		} else {
			queuesOfHost.push(queue);
		}
	}
	for (const queues of byHost.values()) {
		queues.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
	}
	const teams = new Map(plan.teams.flatMap(team => team.keys.map(key => [key, team.name] as const)));
	return {
		findQueue: (host, path) => byHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
		findTeam: key => teams.get(key),
	};
}
