/** What is known when a task could start away from its place, on a slower worker. */
export interface PlaceWaitSituation {
	readonly now: number;
	/** Time since which the task could have started elsewhere. */
	readonly readySince: number;
	/** Expected time at which the task can start at its place; `Infinity` if no place is in sight. */
	readonly placeFreeAt: number;
	/** Expected duration of the task at its place, in milliseconds. */
	readonly durationMs: number;
	/** How many times as long the task takes elsewhere. */
	readonly farFactor: number;
	/** Time by which the task must start at its place for the job to meet its objective; `-Infinity` if it cannot any more. */
	readonly latestStart: number;
	/** Share of the place that tasks which become ready later keep busy without waiting, 0 to 1. */
	readonly newcomerShare: number;
	/** Whether other tasks wait for the resources that the task would use elsewhere. */
	readonly isPoolContended: boolean;
}

/** Whether a task waits for its place, and until when at most; or why it starts elsewhere. */
export type PlaceWaitDecision =
	| { readonly type: 'wait'; readonly until: number }
	| { readonly type: 'start-elsewhere'; readonly reason: 'no-place' | 'place-too-late' | 'waited-long-enough' };

/**
 * Decides whether a task goes on waiting for a place near its data or its group. It answers the load in which many jobs want
 * the same rack while other workers are idle, or while the whole pool is short of resources.
 *
 * Elsewhere the task takes longer by a known time, so that waiting pays at most this much. If tasks that become ready later
 * would use the place anyway, one of them has to start elsewhere instead, and the wait only delays both: a rack that its
 * newcomers fill is worth no wait, an idle one the whole time.
 *
 * A forecast may be wrong, and therefore no task waits for longer than this time in all: in the worst case the wait
 * doubles what the start elsewhere would have cost.
 *
 * While other tasks wait for the resources elsewhere, the longer run there also delays them. The task then waits for a place
 * with which its job meets its objective, as long as the job would also meet it elsewhere.
 */
export function decidePlaceWait(situation: PlaceWaitSituation): PlaceWaitDecision {
	const { now, readySince, placeFreeAt, durationMs, farFactor, latestStart } = situation;
	const { newcomerShare, isPoolContended } = situation;
	if (placeFreeAt === Infinity) {
		return { type: 'start-elsewhere', reason: 'no-place' };
	}
	const extraMs = (farFactor - 1) * durationMs;
	const worthMs = (1 - Math.min(1, newcomerShare)) * extraMs;
	const breakEvenAt = readySince + extraMs;
	const until = isPoolContended ? Math.max(breakEvenAt, latestStart - extraMs) : breakEvenAt;
	if (now >= until) {
		return { type: 'start-elsewhere', reason: 'waited-long-enough' };
	}
	const isWorthwhile = placeFreeAt < now + worthMs || (isPoolContended && placeFreeAt <= latestStart);
	return isWorthwhile ? { type: 'wait', until } : { type: 'start-elsewhere', reason: 'place-too-late' };
}
