import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';

/** Demand of one team in one queue: running and waiting tasks. */
export type Demand = ReadonlyMap<string, ReadonlyMap<string, number>>;

/** Size of one step of the filling, in slots; small against the smallest share of about seven slots. */
const QUANTUM = 0.05;

/**
 * Slots that each team would hold under weighted max-min fairness over organisations and their teams, given the
 * demand, the limits and the pools. Parts of a slot go one at a time to the least served, without rerouting.
 * @param freeByPool slots of the hosts that can run work, by pool
 */
export function fairIdeal(
	state: FleetState,
	demand: Demand,
	freeByPool: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
	const free = new Map(freeByPool);
	const teams = [...demand.keys()].flatMap(name => {
		const team = state.teams[name];
		return team === undefined ? [] : [{ team, left: new Map(demand.get(name)), got: 0, open: true }];
	});
	const organisations = new Map<string, { share: number; got: number }>();
	for (const team of Object.values(state.teams)) {
		const known = organisations.get(team.organisation) ?? { share: 0, got: 0 };
		known.share += team.share;
		organisations.set(team.organisation, known);
	}
	const takeSlot = (left: Map<string, number>): boolean => {
		for (const [queue, count] of left) {
			const pool =
				count < QUANTUM ? undefined : state.queues[queue]?.pools.find(name => (free.get(name) ?? 0) >= QUANTUM);
			if (pool !== undefined) {
				free.set(pool, (free.get(pool) ?? 0) - QUANTUM);
				left.set(queue, count - QUANTUM);
				return true;
			}
		}
		return false;
	};
	for (;;) {
		let best: (typeof teams)[number] | undefined;
		let bestRank: readonly [number, number] = [Infinity, Infinity];
		for (const entry of teams) {
			const organisation = organisations.get(entry.team.organisation);
			if (!entry.open || organisation === undefined) {
				continue;
			}
			// The middle of the next step decides, so that small shares are not served late.
			const rank = [
				(organisation.got + QUANTUM / 2) / organisation.share,
				(entry.got + QUANTUM / 2) / entry.team.share,
			] as const;
			if (rank[0] < bestRank[0] || (rank[0] === bestRank[0] && rank[1] < bestRank[1])) {
				best = entry;
				bestRank = rank;
			}
		}
		if (best === undefined) {
			return new Map(teams.map(entry => [entry.team.name, entry.got]));
		}
		const organisation = organisations.get(best.team.organisation);
		if (best.got >= best.team.limit || !takeSlot(best.left) || organisation === undefined) {
			best.open = false;
			continue;
		}
		best.got += QUANTUM;
		organisation.got += QUANTUM;
	}
}
