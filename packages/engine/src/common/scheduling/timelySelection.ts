/** Work that must have room by a time. */
export interface TimelyDemand {
	/** Work of the waiting tasks of a step, in milliseconds of the whole room of the pool. */
	readonly workMs: number;
	/** Time until the pool must have done this work and all that is due earlier, in milliseconds. */
	readonly dueInMs: number;
}

/** A job that can still meet its objective if it receives room in time. */
export interface TimelyCandidate {
	/** Its steps that wait, now or for other steps. */
	readonly demands: readonly TimelyDemand[];
	/** Share of the pool that its team may use while all active teams compete, 0 to 1. */
	readonly share: number;
	readonly team: string;
	readonly acceptedAt: number;
	/** Whether its team had submitted more than its rate allows. */
	readonly exceedsTeamShare: boolean;
	/** Priority of its queue; lower values run first. */
	readonly rank: number;
	readonly hasStarted: boolean;
}

/** A candidate with the figures by which candidates give way. */
interface Included<Candidate> {
	readonly candidate: Candidate;
	/** Work of its team up to this job against the share of the team; at most 1 within the share. */
	readonly shareUse: number;
	readonly workMs: number;
}

/**
 * Selects the jobs that run first under a load beyond the room of a pool, so that as many callers as possible receive their
 * results in time. Running all jobs by their latest start makes every job late once the backlog is longer than the objective.
 * As Moore and Hodgson describe, the steps are taken by their latest starts; where the work taken exceeds the room until
 * then, those of one of the jobs taken are left out. Jobs beyond the rate or the share of their team are left out first, those that
 * have not started before those that have, and among equals the largest, which makes room for most of the others. A job
 * within the share of its team stays selected when others come; one beyond it, once started, gives way only to those.
 * @param supplyMs returns the work that the pool completes within a time, both in milliseconds
 * @param fixedMs returns the work that runs in any case within a time, both in milliseconds of the whole room
 */
export function selectTimely<Candidate extends TimelyCandidate>(
	candidates: readonly Candidate[],
	supplyMs: (untilMs: number) => number,
	fixedMs: (untilMs: number) => number,
): Set<Candidate> {
	const demands = candidates
		.flatMap(candidate => candidate.demands.map(demand => ({ candidate, ...demand })))
		.sort((left, right) => left.dueInMs - right.dueInMs);
	const roomMs = (dueInMs: number): number => supplyMs(dueInMs) - fixedMs(dueInMs);
	let sumMs = 0;
	if (demands.every(({ workMs, dueInMs }) => (sumMs += workMs) <= roomMs(dueInMs))) {
		return new Set(candidates);
	}
	const included = measureShares(candidates, supplyMs);
	const keepOrder = new Map<Candidate, number>();
	included.sort(compareKeeping).forEach(({ candidate }, index) => keepOrder.set(candidate, index));
	const selected = new Set(candidates);
	/** Work taken of each candidate. */
	const takenByCandidate = new Map<Candidate, number>();
	/** Candidates of which work is taken, the first to give way on top. */
	const heap = createHeap<Candidate>(candidate => keepOrder.get(candidate) ?? 0);
	let takenMs = 0;
	for (const { candidate, workMs, dueInMs } of demands) {
		if (!selected.has(candidate)) {
			continue;
		}
		const before = takenByCandidate.get(candidate);
		if (before === undefined) {
			heap.push(candidate);
		}
		takenByCandidate.set(candidate, (before ?? 0) + workMs);
		takenMs += workMs;
		const availableMs = roomMs(dueInMs);
		while (takenMs > availableMs) {
			const dropped = heap.pop();
			if (dropped === undefined) {
				break;
			}
			selected.delete(dropped);
			takenMs -= takenByCandidate.get(dropped) ?? 0;
		}
	}
	return selected;
}

/** Returns demands by the time at which they are due. */
export function sortByDue(demands: readonly TimelyDemand[]): readonly TimelyDemand[] {
	return demands.toSorted((left, right) => left.dueInMs - right.dueInMs);
}

/**
 * Whether a further job fits beside all that are in time. Most jobs come while their pool has room, and need no selection.
 * @param sorted demands of the others by the time at which they are due
 */
export function fitsBeside(
	sorted: readonly TimelyDemand[],
	added: readonly TimelyDemand[],
	supplyMs: (untilMs: number) => number,
	fixedMs: (untilMs: number) => number,
): boolean {
	const own = sortByDue(added);
	let sumMs = 0;
	let next = 0;
	const fits = ({ workMs, dueInMs }: TimelyDemand): boolean =>
		(sumMs += workMs) <= supplyMs(dueInMs) - fixedMs(dueInMs);
	for (const demand of sorted) {
		for (let due = own[next]; due !== undefined && due.dueInMs <= demand.dueInMs; due = own[next]) {
			if (!fits(due)) {
				return false;
			}
			next++;
		}
		if (!fits(demand)) {
			return false;
		}
	}
	return own.slice(next).every(fits);
}

/** Returns the work of a candidate, in milliseconds of the whole room of its pool. */
export function workOf({ demands }: TimelyCandidate): number {
	return demands.reduce((sum, { workMs }) => sum + workMs, 0);
}

/**
 * Compares the work of each team with the room that its share gives it while the pool is short. The first job of a team
 * is always within its share, since a share may be smaller than any job. Started jobs and then small ones use the share first.
 */
function measureShares<Candidate extends TimelyCandidate>(
	candidates: readonly Candidate[],
	supplyMs: (untilMs: number) => number,
): Included<Candidate>[] {
	const usedByTeam = new Map<string, number>();
	return [...candidates]
		.sort((left, right) => Number(right.hasStarted) - Number(left.hasStarted) || workOf(left) - workOf(right))
		.map(candidate => {
			const { team, share, demands } = candidate;
			const beforeMs = usedByTeam.get(team) ?? 0;
			const workMs = workOf(candidate);
			usedByTeam.set(team, beforeMs + workMs);
			const allowedMs = share * supplyMs(Math.max(0, ...demands.map(({ dueInMs }) => dueInMs)));
			const shareUse = beforeMs <= 0 ? 0 : (beforeMs + workMs) / Math.max(1e-6, allowedMs);
			return { candidate, shareUse, workMs };
		});
}

/** Compares candidates, the first to be kept first. */
function compareKeeping<Candidate extends TimelyCandidate>(
	{ candidate: left, shareUse: leftUse, workMs: leftMs }: Included<Candidate>,
	{ candidate: right, shareUse: rightUse, workMs: rightMs }: Included<Candidate>,
): number {
	return (
		Number(left.exceedsTeamShare) - Number(right.exceedsTeamShare) ||
		left.rank - right.rank ||
		Number(leftUse > 1) - Number(rightUse > 1) ||
		Number(right.hasStarted) - Number(left.hasStarted) ||
		leftMs - rightMs ||
		left.acceptedAt - right.acceptedAt
	);
}

/** A binary heap with the largest key on top. */
function createHeap<Item>(keyOf: (item: Item) => number): { push(item: Item): void; pop(): Item | undefined } {
	const items: { readonly item: Item; readonly key: number }[] = [];
	const keyAt = (index: number): number => items[index]?.key ?? -Infinity;
	const swap = (left: number, right: number): void => {
		const first = items[left];
		const second = items[right];
		if (first !== undefined && second !== undefined) {
			items[left] = second;
			items[right] = first;
		}
	};
	return {
		push: item => {
			items.push({ item, key: keyOf(item) });
			for (
				let index = items.length - 1;
				index > 0 && keyAt((index - 1) >> 1) < keyAt(index);
				index = (index - 1) >> 1
			) {
				swap(index, (index - 1) >> 1);
			}
		},
		pop: () => {
			swap(0, items.length - 1);
			const top = items.pop()?.item;
			for (let index = 0; ;) {
				const child = keyAt(2 * index + 2) > keyAt(2 * index + 1) ? 2 * index + 2 : 2 * index + 1;
				if (keyAt(child) <= keyAt(index)) {
					return top;
				}
				swap(index, child);
				index = child;
			}
		},
	};
}
