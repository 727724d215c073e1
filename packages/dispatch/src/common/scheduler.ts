import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { PlacementRequest } from './dispatchMessages.js';
import type { FairCandidate, FairQueue } from './fairQueue.js';
import type { GrantTable } from './grantTable.js';
import type { FullQueue } from './hostMoves.js';
import type { HostTable } from './hostTable.js';
import type { Placement } from './placement.js';
import type { Takeover } from './takeover.js';
import { workClasses, type WaitingQueues, type WaitingRequest } from './waitingQueues.js';

/** Picks what starts next. */
export interface Scheduler {
	/** The request that goes next and has a place; `undefined` when nothing can start. */
	next(state: FleetState, now: number, leaseUntil: number): WaitingRequest | undefined;
	/** Queues in which work of a team below its limit waits for a slot. */
	fullQueues(state: FleetState, now: number): ReadonlyMap<string, FullQueue>;
	/** Work that counts against a team: what is known, and every slot of the hosts in doubt. */
	countedFor(team: string, now: number): number;
	/** Urgent requests that wait for a slot since before `since` and whose team may displace research. */
	urgentWithoutSlot(state: FleetState, since: number, now: number): readonly WaitingRequest[];
	/** Whether work of the queue and class would find a slot, as the last call of `next` found. */
	hasPlace(state: FleetState, request: PlacementRequest): boolean;
}

/** What the scheduler looks at. */
export interface SchedulerContext {
	readonly waiting: WaitingQueues;
	readonly grants: GrantTable;
	readonly hosts: HostTable;
	readonly takeover: Takeover;
	readonly placement: Placement;
	readonly fair: FairQueue;
}

interface Candidate extends FairCandidate {
	readonly head: WaitingRequest;
}

/** Creates the scheduler of one cell. */
export function createScheduler(context: SchedulerContext): Scheduler {
	const { waiting, grants, hosts, takeover, placement, fair } = context;
	const countedFor = (team: string, now: number): number => {
		let count = grants.countOfTeam(team);
		for (const host of takeover.inDoubt(now)) {
			if (hosts.mayRun(team, host.name, now)) {
				count += Math.max(0, host.slots - grants.countOfTeamOnHost(team, host.name));
			}
		}
		return count;
	};

	const underLimit = (state: FleetState, head: WaitingRequest, now: number): boolean => {
		const { team } = head.request;
		return team === undefined || countedFor(head.team, now) < (state.teams[team]?.limit ?? 0);
	};

	const anyHead = (team: string): WaitingRequest | undefined => {
		for (const workClass of workClasses) {
			for (const head of waiting.heads(team, workClass)) {
				return head;
			}
		}
		return undefined;
	};

	const hasPlace = (state: FleetState, request: PlacementRequest): boolean => {
		const queue = state.queues[request.queue];
		return queue !== undefined && placement.anyFree && placement.hasPlace(queue, request.class, request.kind);
	};

	/** The team's most pressing request that has a place; among queues the one that waits longest. */
	const candidateOf = (state: FleetState, team: string): Candidate | undefined => {
		for (const workClass of workClasses) {
			let oldest: WaitingRequest | undefined;
			for (const head of waiting.heads(team, workClass)) {
				if ((oldest === undefined || head.enqueuedAt < oldest.enqueuedAt) && hasPlace(state, head.request)) {
					oldest = head;
				}
			}
			if (oldest !== undefined) {
				return { team, urgent: workClass === 'urgent', since: oldest.enqueuedAt, head: oldest };
			}
		}
		return undefined;
	};

	return {
		countedFor,
		hasPlace,
		fullQueues: (state, now) => {
			const full = new Map<string, FullQueue>();
			for (const team of waiting.teams()) {
				const head = anyHead(team);
				if (head === undefined || !underLimit(state, head, now)) {
					continue;
				}
				for (const workClass of workClasses) {
					for (const { request } of waiting.heads(team, workClass)) {
						const queue = state.queues[request.queue];
						if (queue !== undefined && !full.has(request.queue) && !hasPlace(state, request)) {
							full.set(request.queue, {
								pools: placement.poolsOf(queue),
								waiting: waiting.countOfQueue(request.queue),
							});
						}
					}
				}
			}
			return full;
		},
		next: (state, now, leaseUntil) => {
			if (waiting.size === 0) {
				return undefined;
			}
			placement.survey(now, leaseUntil);
			if (!placement.anyFree) {
				return undefined;
			}
			const competing = new Set<string>();
			const candidates: Candidate[] = [];
			for (const team of waiting.teams()) {
				const head = anyHead(team);
				if (head === undefined || !underLimit(state, head, now)) {
					continue;
				}
				competing.add(team);
				const candidate = candidateOf(state, team);
				if (candidate !== undefined) {
					candidates.push(candidate);
				}
			}
			if (candidates.length === 0) {
				return undefined;
			}
			fair.setCompeting(competing, now);
			const chosen = fair.choose(candidates, now);
			return candidates.find(candidate => candidate.team === chosen?.team)?.head;
		},
		urgentWithoutSlot: (state, since, now) => {
			const result: WaitingRequest[] = [];
			for (const team of waiting.teams()) {
				const limit = state.teams[team]?.limit ?? Infinity;
				let counted: number | undefined;
				for (const urgent of waiting.since(team, 'urgent', since)) {
					counted ??= fair.urgentGoesFirst(team, now) ? countedFor(team, now) : Infinity;
					if (counted >= limit) {
						break;
					}
					if (!hasPlace(state, urgent.request)) {
						result.push(urgent);
						counted++;
					}
				}
			}
			return result;
		},
	};
}
