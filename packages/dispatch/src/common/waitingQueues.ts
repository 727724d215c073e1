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
	/** Adds a request. @returns false when the queue already holds `bound` requests */
	add(waiting: WaitingRequest, bound: number): boolean;
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
	/** Requests turned away by the bound. */
	readonly turnedAway: number;
}

/** The classes from the most to the least pressing. */
export const workClasses: readonly WorkClass[] = ['urgent', 'normal', 'research'];

/** Lines of one team: one per class and queue. A Map keeps insertion order and removes in constant time. */
type TeamLines = Record<WorkClass, Map<string, Map<string, WaitingRequest>>>;

/** Creates empty queues. */
export function createWaitingQueues(): WaitingQueues {
	const byId = new Map<string, WaitingRequest>();
	const byTeam = new Map<string, { lines: TeamLines; count: number }>();
	const countByQueue = new Map<string, number>();
	let turnedAway = 0;
	const createHeap = () => createDeadlineHeap<WaitingRequest>(item => byId.get(item.request.requestId) !== item);
	let deadlines = createHeap();

	const remove = (requestId: string): WaitingRequest | undefined => {
		const waiting = byId.get(requestId);
		if (waiting === undefined) {
			return undefined;
		}
		const { queue, class: workClass } = waiting.request;
		byId.delete(requestId);
		countByQueue.set(queue, (countByQueue.get(queue) ?? 1) - 1);
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
		add: (waiting, bound) => {
			const { requestId, queue, class: workClass, deadline } = waiting.request;
			const count = countByQueue.get(queue) ?? 0;
			if (count >= bound) {
				turnedAway++;
				return false;
			}
			countByQueue.set(queue, count + 1);
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
			return true;
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
		countOfQueue: queue => countByQueue.get(queue) ?? 0,
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
		get turnedAway() {
			return turnedAway;
		},
	};
}
