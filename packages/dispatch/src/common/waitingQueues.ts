import { createDeadlineHeap } from './deadlineHeap.js';
import type { PlacementRequest, WorkClass } from './dispatchMessages.js';

/** A request in its queue. */
export interface WaitingRequest {
	readonly request: PlacementRequest;
	/** Team name, or the name that open queues run under. */
	readonly team: string;
	readonly enqueuedAt: number;
}

/** The waiting requests of a cell: first in, first out per team, queue and class. */
export interface WaitingQueues {
	/** Adds a request. */
	add(waiting: WaitingRequest): void;
	/**
	 * The waiting request that gives way to a new one in a full queue: the newest of the team's own less pressing work,
	 * or the newest of the team with the most requests in the queue. Without this rule the team that sends most would
	 * fill the queue, and the fair queue would have nothing to choose from.
	 * @returns `undefined` when the new request itself has to go
	 */
	givesWay(waiting: WaitingRequest): WaitingRequest | undefined;
	find(requestId: string): WaitingRequest | undefined;
	/** Removes a request in constant time. */
	remove(requestId: string): WaitingRequest | undefined;
	/** Removes and returns what reached its deadline. */
	takeExpired(now: number): readonly WaitingRequest[];
	earliestDeadline(): number | undefined;
	/** Names of the teams that have something waiting. */
	teams(): Iterable<string>;
	/** The oldest request of each queue of a team and class. */
	heads(team: string, workClass: WorkClass): Iterable<WaitingRequest>;
	/** The requests of a team and class that have waited since `since` or longer. */
	since(team: string, workClass: WorkClass, since: number): Iterable<WaitingRequest>;
	all(): Iterable<WaitingRequest>;
	countOfQueue(queue: string): number;
	countOfTeam(team: string): number;
	readonly size: number;
	clear(): void;
}

/** The classes from the most to the least pressing. */
export const workClasses: readonly WorkClass[] = ['urgent', 'normal', 'research'];

/** Lines of one team: one per class and queue. A Map keeps insertion order and removes in constant time. */
type TeamLines = Record<WorkClass, Map<string, Map<string, WaitingRequest>>>;

/** Creates empty queues. */
export function createWaitingQueues(): WaitingQueues {
	const byId = new Map<string, WaitingRequest>();
	const byTeam = new Map<string, { lines: TeamLines; count: number }>();
	/** Counts by queue, then by team. */
	const countByQueue = new Map<string, Map<string, number>>();
	const createHeap = () => createDeadlineHeap<WaitingRequest>(item => byId.get(item.request.requestId) !== item);
	let deadlines = createHeap();

	const changeCount = (queue: string, team: string, change: number): void => {
		const byTeamName = countByQueue.get(queue) ?? new Map<string, number>();
		countByQueue.set(queue, byTeamName);
		const count = (byTeamName.get(team) ?? 0) + change;
		if (count === 0) {
			byTeamName.delete(team);
		} else {
			byTeamName.set(team, count);
		}
	};

	const countOfQueue = (queue: string): number => {
		let total = 0;
		for (const count of countByQueue.get(queue)?.values() ?? []) {
			total += count;
		}
		return total;
	};

	/** The newest request of a team in a queue, least pressing class first. */
	const newestOf = (team: string, queue: string, classes: readonly WorkClass[]): WaitingRequest | undefined => {
		for (const workClass of classes.toReversed()) {
			const line = byTeam.get(team)?.lines[workClass].get(queue);
			if (line !== undefined) {
				return [...line.values()].at(-1);
			}
		}
		return undefined;
	};

	const remove = (requestId: string): WaitingRequest | undefined => {
		const waiting = byId.get(requestId);
		if (waiting === undefined) {
			return undefined;
		}
		const { queue, class: workClass } = waiting.request;
		byId.delete(requestId);
		changeCount(queue, waiting.team, -1);
		const team = byTeam.get(waiting.team);
		if (team !== undefined) {
			team.count--;
			const line = team.lines[workClass].get(queue);
			line?.delete(requestId);
			if (line?.size === 0) {
				team.lines[workClass].delete(queue);
			}
			if (team.count === 0) {
				byTeam.delete(waiting.team);
			}
		}
		deadlines.noteDead();
		return waiting;
	};

	return {
		givesWay: ({ request, team }) => {
			const own = newestOf(team, request.queue, workClasses.slice(workClasses.indexOf(request.class) + 1));
			if (own !== undefined) {
				return own;
			}
			const counts = countByQueue.get(request.queue) ?? new Map<string, number>();
			let largest = '';
			for (const [name, count] of counts) {
				largest = count > (counts.get(largest) ?? 0) ? name : largest;
			}
			const larger = (counts.get(largest) ?? 0) > (counts.get(team) ?? 0) + 1;
			return larger ? newestOf(largest, request.queue, workClasses) : undefined;
		},
		add: waiting => {
			const { requestId, queue, class: workClass, deadline } = waiting.request;
			changeCount(queue, waiting.team, 1);
			byId.set(requestId, waiting);
			let team = byTeam.get(waiting.team);
			if (team === undefined) {
				team = { lines: { urgent: new Map(), normal: new Map(), research: new Map() }, count: 0 };
				byTeam.set(waiting.team, team);
			}
			team.count++;
			let line = team.lines[workClass].get(queue);
			if (line === undefined) {
				line = new Map();
				team.lines[workClass].set(queue, line);
			}
			line.set(requestId, waiting);
			deadlines.push(deadline, waiting);
		},
		find: requestId => byId.get(requestId),
		remove,
		takeExpired: now => {
			const expired = deadlines.takeUntil(now);
			for (const waiting of expired) {
				remove(waiting.request.requestId);
			}
			return expired;
		},
		earliestDeadline: () => deadlines.earliestAt(),
		teams: () => byTeam.keys(),
		heads: function* (team, workClass) {
			for (const line of byTeam.get(team)?.lines[workClass].values() ?? []) {
				const first = line.values().next();
				if (first.done !== true) {
					yield first.value;
				}
			}
		},
		since: function* (team, workClass, since) {
			for (const line of byTeam.get(team)?.lines[workClass].values() ?? []) {
				for (const waiting of line.values()) {
					if (waiting.enqueuedAt > since) {
						break;
					}
					yield waiting;
				}
			}
		},
		all: () => byId.values(),
		countOfQueue,
		countOfTeam: team => byTeam.get(team)?.count ?? 0,
		get size() {
			return byId.size;
		},
		clear: () => {
			byId.clear();
			byTeam.clear();
			countByQueue.clear();
			deadlines = createHeap();
		},
	};
}
