import type { EngineContext } from '../engineContext.js';
import type { TaskRun } from '../jobs/job.js';
import { latestLocalTime, MAXIMUM_ANSWER_AGE_MS, MAXIMUM_CLOCK_DRIFT } from './workerClock.js';
import type { WorkerState } from './workerState.js';

/** Margin added to the end of a lease, in milliseconds, because timers on the worker may fire late. */
export const LEASE_MARGIN_MS = 100;

/** Longest time for which a call waits in the daemons, for a relay and for a connection, in milliseconds. */
const MAXIMUM_HOLD_MS = 3_500;

/** Longest time after which a worker executes a call that it has received, in milliseconds, as stated by the platform. */
const MAXIMUM_EXECUTION_DELAY_MS = 12_000;

/** Longest time from the creation of a call, or of another attempt of it, to its execution, in milliseconds. */
export const MAXIMUM_ORDER_DELAY_MS = MAXIMUM_HOLD_MS + MAXIMUM_EXECUTION_DELAY_MS;

type LeaseContext = Pick<EngineContext, 'predecessor' | 'settings' | 'termBeganAt' | 'longLeases' | 'workers'>;

/** Calls from which the end of a lease is counted. */
export type LeaseOrigin = 'own-calls' | 'predecessor' | 'former-life';

/** Latest end of the leases on a worker. */
export interface LeaseEnd {
	readonly endsBy: number;
	readonly countedFrom: LeaseOrigin;
}

/** Converts a duration on a worker's clock into the longest local time that it may take. */
const longestLocalMs = (workerMs: number): number => workerMs / (1 - MAXIMUM_CLOCK_DRIFT);

/** Time after which no former leader extends leases any more; `undefined` if there was none. */
function predecessorStopsBy({ predecessor, termBeganAt }: LeaseContext): number | undefined {
	return predecessor.isFirst ? undefined : (predecessor.stoppedAt ?? termBeganAt + predecessor.validMs);
}

/** Returns the time by which all leases that former leaders have left have expired; `-Infinity` if there were none. */
export function inheritedLeasesEndBy(context: LeaseContext): number {
	const { predecessor, settings } = context;
	const longestMs = Math.max(predecessor.leaseMs, settings.longestLeaseMs);
	return (predecessorStopsBy(context) ?? -Infinity) + longestLocalMs(longestMs) + LEASE_MARGIN_MS;
}

/**
 * Whether the leases of a former leader on an incarnation on which it has started runs are no longer than it asked for. It had
 * fenced off the calls to other incarnations before, and records if that was so late that their leases may go on.
 */
function isBoundedByPredecessor(state: WorkerState, { longLeases, predecessor }: LeaseContext): boolean {
	return predecessor.recordsLongLeases && !longLeases.has(state.key);
}

/** Latest end of the leases of an incarnation that were extended by calls before it answered to its own fencing token. */
function fencedLeaseEnd(state: WorkerState, leaseMs: number): number {
	const { fencedClockMs } = state;
	const endsBy = fencedClockMs === undefined ? undefined : latestLocalTime(state, fencedClockMs + leaseMs);
	return (endsBy ?? Infinity) + LEASE_MARGIN_MS;
}

/**
 * Returns the latest end of leases that calls have left which this term has not sent to the incarnation: calls of former
 * leaders, and calls to former incarnations. The deadline of such a call may be of another clock, so that only the worker's own
 * limit bounds the lease.
 */
function foreignLeaseEnd(state: WorkerState, context: LeaseContext): LeaseEnd {
	const { predecessor, settings } = context;
	const stopsBy = predecessorStopsBy(context);
	if (state.replacesFormer || (stopsBy !== undefined && !state.hasInheritedRuns)) {
		const countedFrom = state.replacesFormer ? 'former-life' : 'predecessor';
		return { endsBy: fencedLeaseEnd(state, settings.longestLeaseMs), countedFrom };
	}
	const leaseMs = isBoundedByPredecessor(state, context) ? predecessor.leaseMs : settings.longestLeaseMs;
	const lastEndsBy = (stopsBy ?? -Infinity) + longestLocalMs(leaseMs) + LEASE_MARGIN_MS;
	return { endsBy: Math.min(lastEndsBy, fencedLeaseEnd(state, leaseMs)), countedFrom: 'predecessor' };
}

/** Returns the time by which the leases of the runs on an incarnation have expired, unless it is reached before. */
export function leaseEnd(state: WorkerState, context: LeaseContext): LeaseEnd {
	const foreign = foreignLeaseEnd(state, context);
	return foreign.endsBy > state.leaseEndsBy ? foreign : { endsBy: state.leaseEndsBy, countedFrom: 'own-calls' };
}

/**
 * Returns the time by which a run is over that a start order to an incarnation has begun in a later one. Both the order and the
 * polls that were sent before may still be executed there, each with a deadline that exceeds the longest lease.
 */
export function strayRunEnd(state: WorkerState, context: LeaseContext): number {
	const lastCallAt = Math.max(
		state.sentCalls?.lastLeaseAt ?? -Infinity,
		state.hasInheritedRuns ? (predecessorStopsBy(context) ?? -Infinity) : -Infinity,
	);
	return lastCallAt + MAXIMUM_ORDER_DELAY_MS + longestLocalMs(context.settings.longestLeaseMs) + LEASE_MARGIN_MS;
}

/** Whether an attempt to send the start of a run is unanswered and may still be executed. */
export function isUnansweredStart(state: WorkerState, run: TaskRun, now: number): boolean {
	return state.unansweredStarts.some(
		({ task, runNumber, expiresAt }) => now < expiresAt && runNumber === run.run && task === run.task.name,
	);
}

/** Time by which a run is over that a later incarnation has begun at once, by an attempt whose answer did not arrive. */
function promptRunEnd(state: WorkerState, run: TaskRun, { settings }: LeaseContext): number {
	const attempts = state.unansweredStarts.filter(
		({ task, runNumber }) => runNumber === run.run && task === run.task.name,
	);
	const attemptsEndedAt = attempts.map(({ expiresAt }) => expiresAt - MAXIMUM_ORDER_DELAY_MS);
	const lastCallEndedAt = Math.max(state.unreachableSince ?? -Infinity, ...attemptsEndedAt);
	return lastCallEndedAt + longestLocalMs(settings.longestLeaseMs) + LEASE_MARGIN_MS;
}

/**
 * Returns the time by which a run on an unreachable worker is over. The worker may have restarted, and another incarnation may have
 * begun the run, unless the one to which the start was sent has listed it. A late execution is waited for only if the newest entry
 * names another incarnation: an entry is written soon after a restart, and a worker without one "is to be treated as gone".
 * Of a start of a former leader it is not known whether it was answered; most were.
 */
export function runEnd(state: WorkerState, run: TaskRun, context: LeaseContext, now: number): number {
	const { endsBy } = leaseEnd(state, context);
	const isInherited = run.startByMs === 0;
	const isAnswered = run.confirmedAt !== undefined && !isUnansweredStart(state, run, now);
	if (run.isListed) {
		return endsBy;
	}
	if (isAnswered) {
		// The answer may be one of another incarnation, whose clock differs by less than its age.
		return endsBy + longestLocalMs(MAXIMUM_ANSWER_AGE_MS);
	}
	const claimed = context.workers.claimedIncarnation(state.worker);
	if (claimed !== undefined && claimed !== state.incarnation) {
		return Math.max(endsBy, strayRunEnd(state, context));
	}
	return isInherited ? endsBy : Math.max(endsBy, promptRunEnd(state, run, context));
}

/**
 * Returns the end of a lease on the incarnation that is longer than a successor would count on, which knows what this leader asks
 * for and when it stops; `undefined` if there is none.
 */
export function longLeaseEnd(state: WorkerState, context: LeaseContext, now: number): number | undefined {
	const { endsBy } = foreignLeaseEnd(state, context);
	return endsBy > now + longestLocalMs(context.settings.leaseMs) ? endsBy : undefined;
}
