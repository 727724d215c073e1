import type { DispatchPolicy } from './dispatchPolicy.js';

/** A team as the fair queue sees it. */
export interface FairTeam {
	readonly name: string;
	readonly organisation: string;
	readonly share: number;
}

/** A team that can use a free slot now. */
export interface FairCandidate {
	readonly team: string;
	/** The team's next work is urgent. */
	readonly urgent: boolean;
}

/**
 * Start-time fair queueing over organisations and their teams. Virtual time is occupied slot-milliseconds divided by
 * the share; running work is charged as it runs.
 */
export interface FairQueue {
	/** @param slots slots of the cell, which turn a time into an amount of virtual time */
	configure(teams: readonly FairTeam[], slots: number, now: number): void;
	started(team: string, now: number): void;
	ended(team: string, now: number): void;
	/** Tells which teams wait below their limit; a team that joins them gets no more than the credit. */
	setCompeting(teams: ReadonlySet<string>, now: number): void;
	/** The team that goes next. @param candidates competing teams that can use a slot now; at least one */
	choose(candidates: readonly FairCandidate[], now: number): FairCandidate | undefined;
	/** Virtual lead of a team, in milliseconds of its share: positive when it has had more than others. */
	lead(team: string, now: number): number;
	/** Slot-milliseconds occupied by team so far. */
	slotMs(now: number): Readonly<Record<string, number>>;
}

interface Node {
	share: number;
	running: number;
	virtualTime: number;
	slotMs: number;
	chargedAt: number;
	competing: boolean;
}

interface TeamNode extends Node {
	organisation: string;
}

/** Creates an empty fair queue. */
export function createFairQueue(policy: DispatchPolicy): FairQueue {
	const teams = new Map<string, TeamNode>();
	const organisations = new Map<string, Node>();
	/** Virtual time that passes in one millisecond when all slots are used and every team gets its share. */
	let rate = 1;

	const createNode = (share: number, now: number): Node => ({
		share,
		running: 0,
		virtualTime: 0,
		slotMs: 0,
		chargedAt: now,
		competing: false,
	});

	const charge = (node: Node, now: number): void => {
		const slotMs = node.running * Math.max(0, now - node.chargedAt);
		node.slotMs += slotMs;
		node.virtualTime += slotMs / node.share;
		node.chargedAt = Math.max(node.chargedAt, now);
	};

	/** Virtual time with the running work charged ahead, so that one team does not take all slots that free at once. */
	const position = (node: Node): number => node.virtualTime + (node.running * policy.projectionMs) / node.share;

	const least = (nodes: Iterable<Node>): number => {
		let value = Infinity;
		for (const node of nodes) {
			value = Math.min(value, node.virtualTime);
		}
		return value;
	};

	/** Nodes that start to compete are lifted to the least of the others less the credit; leads are bounded. */
	const compete = (group: ReadonlyMap<Node, boolean>, now: number): void => {
		const before = [...group].filter(([node, competes]) => competes && node.competing).map(([node]) => node);
		const joining = [...group].filter(([node, competes]) => competes && !node.competing).map(([node]) => node);
		for (const node of group.keys()) {
			charge(node, now);
		}
		const floor = least(before.length > 0 ? before : joining);
		for (const node of joining) {
			node.virtualTime = Math.max(node.virtualTime, floor - policy.creditMs * rate);
		}
		for (const [node, competes] of group) {
			node.competing = competes;
		}
		const bound = Math.min(floor, least(joining)) + policy.debtMs * rate;
		for (const node of [...before, ...joining]) {
			node.virtualTime = Math.min(node.virtualTime, bound);
		}
	};

	const teamOf = (name: string, now: number): TeamNode => {
		let node = teams.get(name);
		if (node === undefined) {
			// Work of a team that is not configured, found on a worker after a failover.
			node = { ...createNode(1, now), organisation: name };
			teams.set(name, node);
		}
		return node;
	};

	const organisationOf = (name: string, now: number): Node => {
		let node = organisations.get(name);
		if (node === undefined) {
			node = createNode(1, now);
			organisations.set(name, node);
		}
		return node;
	};

	const changeRunning = (team: string, change: number, now: number): void => {
		const teamNode = teamOf(team, now);
		for (const node of [teamNode, organisationOf(teamNode.organisation, now)]) {
			charge(node, now);
			node.running += change;
		}
	};

	const leastBy = <Item>(items: readonly Item[], value: (item: Item) => number): Item | undefined => {
		let best: Item | undefined;
		let bestValue = Infinity;
		for (const item of items) {
			const itemValue = value(item);
			if (itemValue < bestValue) {
				best = item;
				bestValue = itemValue;
			}
		}
		return best;
	};

	return {
		configure: (configured, slots, now) => {
			const shares = new Map<string, number>();
			for (const { name, organisation, share } of configured) {
				shares.set(organisation, (shares.get(organisation) ?? 0) + share);
				const known = teams.get(name);
				const node = known ?? { ...createNode(share, now), organisation };
				charge(node, now);
				if (known !== undefined && known.organisation !== organisation) {
					// The team's running work moves to its new organisation.
					organisationOf(known.organisation, now).running -= known.running;
					organisationOf(organisation, now).running += known.running;
				}
				node.share = share;
				node.organisation = organisation;
				teams.set(name, node);
			}
			let total = 0;
			for (const [organisation, share] of shares) {
				const node = organisationOf(organisation, now);
				charge(node, now);
				node.share = share;
				total += share;
			}
			rate = total > 0 ? slots / total : 1;
		},
		started: (team, now) => changeRunning(team, 1, now),
		ended: (team, now) => changeRunning(team, -1, now),
		setCompeting: (names, now) => {
			const byOrganisation = new Map<string, Map<Node, boolean>>();
			for (const name of names) {
				teamOf(name, now);
			}
			for (const [name, node] of teams) {
				const group = byOrganisation.get(node.organisation) ?? new Map<Node, boolean>();
				group.set(node, names.has(name));
				byOrganisation.set(node.organisation, group);
			}
			const top = new Map<Node, boolean>();
			for (const [name, group] of byOrganisation) {
				compete(group, now);
				top.set(organisationOf(name, now), [...group.values()].includes(true));
			}
			compete(top, now);
		},
		choose: (candidates, now) => {
			const entries = candidates.map(candidate => {
				const node = teamOf(candidate.team, now);
				const organisation = organisationOf(node.organisation, now);
				charge(node, now);
				charge(organisation, now);
				return { candidate, node, organisation };
			});
			const advance = policy.urgentAdvanceMs * rate;
			const organisationBound = least(entries.map(entry => entry.organisation)) + advance;
			const ahead = entries.filter(entry => {
				if (!entry.candidate.urgent || entry.organisation.virtualTime > organisationBound) {
					return false;
				}
				const siblings = entries.filter(other => other.organisation === entry.organisation);
				return entry.node.virtualTime <= least(siblings.map(other => other.node)) + advance;
			});
			const eligible = ahead.length > 0 ? ahead : entries;
			const organisation = leastBy(eligible, entry => position(entry.organisation))?.organisation;
			return leastBy(
				eligible.filter(entry => entry.organisation === organisation),
				entry => position(entry.node),
			)?.candidate;
		},
		lead: (team, now) => {
			const node = teamOf(team, now);
			const organisation = organisationOf(node.organisation, now);
			[...teams.values(), ...organisations.values()].forEach(other => charge(other, now));
			const competitors = [...organisations.values()].filter(other => other.competing);
			const siblings = [...teams.values()].filter(other => other.competing && other.organisation === node.organisation);
			const above = organisation.virtualTime - Math.min(least(competitors), organisation.virtualTime);
			const within = node.virtualTime - Math.min(least(siblings), node.virtualTime);
			return (above + within) / rate;
		},
		slotMs: now => {
			const result: Record<string, number> = {};
			for (const [name, node] of teams) {
				charge(node, now);
				result[name] = node.slotMs;
			}
			return result;
		},
	};
}
