import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { DispatchPolicy } from './dispatchPolicy.js';
import type { FairCandidate, FairQueue } from './fairQueue.js';
import type { GrantTable } from './grantTable.js';
import type { HostTable } from './hostTable.js';
import type { Placement } from './placement.js';
import type { Takeover } from './takeover.js';
import { workClasses, type WaitingQueues, type WaitingRequest } from './waitingQueues.js';

/** Picks what starts next. */
export interface Scheduler {
	/** The request that goes next and has a place; `undefined` when nothing can start. */
	next(state: FleetState, now: number, leaseUntil: number): WaitingRequest | undefined;
	/** Queues whose work waits only for a slot, as the last call of `next` found, with their pools. */
	fullQueues(): ReadonlyMap<string, readonly string[]>;
	/** Work that counts against a team: what is known, and every slot of the hosts in doubt. */
	countedFor(team: string, now: number): number;
	/** Urgent requests that wait for a slot since before `since` and whose team may displace research. */
	urgentWithoutSlot(state: FleetState, since: number, now: number): readonly WaitingRequest[];
}

/** What the scheduler looks at. */
export interface SchedulerContext {
	readonly policy: DispatchPolicy;
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
	const { policy, waiting, grants, hosts, takeover, placement, fair } = context;
	let full = new Map<string, readonly string[]>();

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

	return {
		countedFor,
		fullQueues: () => full,
		next: (state, now, leaseUntil) => {
			full = new Map();
			const places = new Map<string, boolean>();
			const hasPlace = (head: WaitingRequest): boolean => {
				const { request } = head;
				const queue = state.queues[request.queue];
				const key = `${request.class}/${request.kind}/${request.queue}`;
				const known = places.get(key);
				if (known !== undefined || queue === undefined) {
					return known ?? false;
				}
				const found = placement.hasPlace(queue, request, now, leaseUntil);
				places.set(key, found);
				if (!found) {
					full.set(request.queue, placement.poolsOf(queue));
				}
				return found;
			};
			/** The team's most pressing request that has a place; among queues the one that waits longest. */
			const candidateOf = (team: string): Candidate | undefined => {
				for (const workClass of workClasses) {
					let oldest: WaitingRequest | undefined;
					for (const head of waiting.heads(team, workClass)) {
						if ((oldest === undefined || head.enqueuedAt < oldest.enqueuedAt) && hasPlace(head)) {
							oldest = head;
						}
					}
					if (oldest !== undefined) {
						return { team, urgent: workClass === 'urgent', head: oldest };
					}
				}
				return undefined;
			};
			const competing = new Set<string>();
			const candidates: Candidate[] = [];
			for (const team of waiting.teams()) {
				const head = anyHead(team);
				if (head === undefined || !underLimit(state, head, now)) {
					continue;
				}
				competing.add(team);
				const candidate = candidateOf(team);
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
				if (fair.lead(team, now) > policy.urgentAdvanceMs) {
					continue;
				}
				const limit = state.teams[team]?.limit ?? Infinity;
				let counted = countedFor(team, now);
				for (const urgent of waiting.since(team, 'urgent', since)) {
					if (counted < limit && full.has(urgent.request.queue)) {
						result.push(urgent);
						counted++;
					}
				}
			}
			return result;
		},
	};
}
