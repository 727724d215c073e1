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
	/** When that work began to wait. */
	readonly since: number;
}

/**
 * Start-time fair queueing over organisations and their teams. Virtual time is occupied slot-milliseconds divided by
 * the share; running work is charged as it runs.
 */
export interface FairQueue {
	/** @param slots slots of the cell, which turn a time into an amount of virtual time */
	configure(teams: readonly FairTeam[], slots: number, now: number): void;
	started(team: string, urgent: boolean, now: number): void;
	ended(team: string, urgent: boolean, now: number): void;
	/** Whether the team's urgent work goes before other classes of any team. */
	urgentGoesFirst(team: string, now: number): boolean;
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
	urgentRunning: number;
	/** Virtual time of the urgent work alone, less what the share allows since; never below zero. */
	urgentLead: number;
	urgentChargedAt: number;
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

	const createTeamNode = (organisation: string, share: number, now: number): TeamNode => ({
		...createNode(share, now),
		organisation,
		urgentRunning: 0,
		urgentLead: 0,
		urgentChargedAt: now,
	});

	const chargeUrgent = (node: TeamNode, now: number): void => {
		const elapsed = Math.max(0, now - node.urgentChargedAt);
		node.urgentLead = Math.max(0, node.urgentLead + elapsed * (node.urgentRunning / node.share - rate));
		node.urgentChargedAt = Math.max(node.urgentChargedAt, now);
	};

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
			node = createTeamNode(name, 1, now);
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

	const changeRunning = (team: string, urgent: boolean, change: number, now: number): void => {
		const teamNode = teamOf(team, now);
		chargeUrgent(teamNode, now);
		teamNode.urgentRunning += urgent ? change : 0;
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

	const urgentGoesFirst = (node: TeamNode, now: number): boolean => {
		if (policy.urgentBound === 'team-lead') {
			return leadOf(node, now) <= policy.urgentAdvanceMs;
		}
		chargeUrgent(node, now);
		return node.urgentLead <= policy.urgentAdvanceMs * rate;
	};

	const leadOf = (node: TeamNode, now: number): number => {
		const organisation = organisationOf(node.organisation, now);
		[...teams.values(), ...organisations.values()].forEach(other => charge(other, now));
		const competitors = [...organisations.values()].filter(other => other.competing);
		const siblings = [...teams.values()].filter(other => other.competing && other.organisation === node.organisation);
		const above = organisation.virtualTime - Math.min(least(competitors), organisation.virtualTime);
		const within = node.virtualTime - Math.min(least(siblings), node.virtualTime);
		return (above + within) / rate;
	};

	return {
		configure: (configured, slots, now) => {
			const shares = new Map<string, number>();
			for (const { name, organisation, share } of configured) {
				shares.set(organisation, (shares.get(organisation) ?? 0) + share);
				const known = teams.get(name);
				const node = known ?? createTeamNode(organisation, share, now);
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
		started: (team, urgent, now) => changeRunning(team, urgent, 1, now),
		ended: (team, urgent, now) => changeRunning(team, urgent, -1, now),
		urgentGoesFirst: (team, now) => urgentGoesFirst(teamOf(team, now), now),
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
			const ahead = entries.filter(({ candidate, node }) => candidate.urgent && urgentGoesFirst(node, now));
			if (ahead.length > 0) {
				return leastBy(ahead, ({ candidate }) => candidate.since)?.candidate;
			}
			const organisation = leastBy(entries, entry => position(entry.organisation))?.organisation;
			return leastBy(
				entries.filter(entry => entry.organisation === organisation),
				entry => position(entry.node),
			)?.candidate;
		},
		lead: (team, now) => leadOf(teamOf(team, now), now),
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
