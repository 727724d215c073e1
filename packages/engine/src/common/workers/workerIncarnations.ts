import { noResources } from '@chestnutwheel/ports/common/resources.js';
import type { WorkerAddress } from '@chestnutwheel/ports/common/workerService.js';
import type { EngineContext } from '../engineContext.js';
import type { RunTerminator } from '../jobs/runTerminator.js';
import type { TaskRun } from '../jobs/job.js';
import { crashEvidence, type WorkerLoss } from './crashEvidence.js';
import { isConfirmed } from './entryClaims.js';
import { isUnansweredStart, leaseEnd, MAXIMUM_ORDER_DELAY_MS, strayRunEnd } from './workerLeases.js';
import { isFenced, runKey, type WorkerState } from './workerState.js';

/** Number of tasks that the line about the end of a worker names. */
const MAXIMUM_LOGGED_TASKS = 6;

/** Why an incarnation is over. */
export type IncarnationEnd = 'worker-restarted' | 'address-reused' | 'host-move' | 'host-upkeep';

const lossByEnd: Readonly<Record<IncarnationEnd, WorkerLoss>> = {
	'worker-restarted': 'crashed',
	'address-reused': 'crashed',
	'host-move': 'planned',
	'host-upkeep': 'planned',
};

/**
 * Tracks the incarnations of workers: which are monitored, which answer, and what happens to the runs of an ended one.
 */
export interface WorkerIncarnations {
	/** Starts to monitor an incarnation, or continues at its new address. */
	monitor(state: WorkerState): void;
	stopMonitoring(state: WorkerState): void;
	isMonitored(state: WorkerState): boolean;
	/** Records a list of the worker, the only answer that names the incarnation. @param clockMs reading of the worker's clock */
	readonly recordAnswer: (state: WorkerState, clockMs: number, now: number) => void;
	/** Records that a call to the worker got no answer. */
	readonly markUnreachable: (state: WorkerState, reason: string, now: number) => void;
	/**
	 * Ends an incarnation, none of whose runs is at work any more.
	 * @param listedByNext keys of the runs that the next incarnation lists
	 */
	readonly endIncarnation: (
		state: WorkerState,
		reason: IncarnationEnd,
		now: number,
		listedByNext?: ReadonlySet<string>,
	) => void;
	/** Records which runs of a lost worker may have crashed it. */
	recordLoss(state: WorkerState, loss: WorkerLoss, now: number): void;
	/** Returns the fencing token of the calls to an incarnation; `undefined` before the term begins. */
	fencingTokenOf(state: WorkerState): number | undefined;
	/** Whether this leader has sent the worker calls with a higher token, so that it refuses one with the given token. */
	isOutdatedToken(state: WorkerState, token: number): boolean;
	/** Records that an incarnation was removed, calls to which may still be executed. */
	recordRemoval(state: WorkerState, now: number): void;
	/** Forgets former incarnations whose calls cannot be executed any more. */
	forgetFormerCalls(now: number): void;
	/**
	 * Makes an incarnation the current one, because the worker itself has said so, and ends all others of the worker.
	 * @param listed keys of the runs that the incarnation lists as running or ended, among which may be late starts
	 */
	confirm(state: WorkerState, listed: ReadonlySet<string>, now: number): void;
}

/** Creates the component that tracks the incarnations of workers. */
export function createWorkerIncarnations(context: EngineContext, endRuns: RunTerminator): WorkerIncarnations {
	const { workers, settings, logDecision: note, counters } = context;
	const monitoredAddresses = new Map<string, WorkerAddress>();
	/** Time at which the last incarnation with calls of this term was removed, by worker. */
	const removedIncarnations = new Map<string, number>();

	const recordRemoval = (state: WorkerState, now: number): void => {
		if (state.clock !== undefined) {
			removedIncarnations.set(state.worker, now);
		}
	};

	const stopMonitoring = (state: WorkerState): void => {
		const address = monitoredAddresses.get(state.key);
		if (monitoredAddresses.delete(state.key)) {
			const isReused = [...monitoredAddresses.values()].some(other => other.address === address?.address);
			context.emitNow({
				type: 'unwatch',
				workerKey: state.key,
				address: isReused ? undefined : address?.address,
			});
		}
	};

	/** Polls no further incarnation that only an entry has claimed, so that many such entries cost no more than one. */
	const stopMonitoringOtherClaims = (state: WorkerState): void => {
		for (const other of workers.incarnationsOf(state.worker)) {
			const isIdle = other.runs.size + other.blockedStarts.size === 0;
			if (other !== state && isIdle && !isConfirmed(other) && workers.byName(state.worker) !== other) {
				stopMonitoring(other);
			}
		}
	};

	const monitor = (state: WorkerState): void => {
		const { entry } = state;
		if (entry === undefined || state.hasEnded || monitoredAddresses.get(state.key)?.address === entry.address) {
			return;
		}
		stopMonitoring(state);
		stopMonitoringOtherClaims(state);
		const address = { worker: state.worker, address: entry.address };
		monitoredAddresses.set(state.key, address);
		context.emitNow({ type: 'watch', workerKey: state.key, address });
	};

	/** Keeps a start open that the next incarnation may execute, until its lists, once it is fenced, show whether it has. */
	const blockStart = (
		next: WorkerState,
		task: string,
		runNumber: number,
		run: TaskRun | undefined,
		expiresAt: number,
	): void => {
		const key = runKey(task, runNumber);
		next.blockedStarts.set(key, { task, runNumber, run, expiresAt });
		// The resources stay reserved until a listing shows that the run did not start.
		workers.addOrphanedRun(next, key, context.jobs.task(task)?.step.spec.demand ?? noResources);
	};

	/** Blocks unanswered starts in the next incarnation, since any later incarnation may still execute them. */
	const transferPendingStarts = (state: WorkerState, next: WorkerState, now: number): void => {
		const overAt = strayRunEnd(state, context);
		for (const { task, runNumber, run, expiresAt } of state.blockedStarts.values()) {
			blockStart(next, task, runNumber, run, Math.max(expiresAt, overAt));
		}
		state.blockedStarts.clear();
		const pending = state.unansweredStarts.filter(({ expiresAt }) => now < expiresAt);
		next.unansweredStarts = [...next.unansweredStarts, ...pending];
		for (const { task, runNumber } of pending) {
			if (!next.blockedStarts.has(runKey(task, runNumber))) {
				blockStart(next, task, runNumber, undefined, overAt);
			}
		}
	};

	const recordLoss = (state: WorkerState, reported: WorkerLoss, now: number): void => {
		state.isLossRecorded = true;
		const { entry } = state;
		const isPlanned = entry !== undefined && (entry.isDraining || context.hosts.isOrdered(entry.host));
		const loss = isPlanned ? 'planned' : reported;
		const evidence = crashEvidence(state.runs.values(), loss, entry?.host ?? state.worker);
		evidence.forEach((found, run) => (run.crash = found));
		if (loss !== 'planned' && entry !== undefined) {
			const suspects = new Set([...evidence.keys()].map(({ task }) => task.name));
			context.crashRate.record({ key: state.key, pool: entry.pool, suspects }, now);
		}
		if (loss === 'unexplained') {
			state.lostRuns = [...state.runs.values()].filter(run => run.crash !== undefined && run.confirmedAt !== undefined);
		} else if (loss === 'crashed') {
			state.lostRuns.forEach(run => endRuns.proveCrash(run, now));
			state.lostRuns = [];
		}
	};

	/**
	 * A start may have reached the next incarnation, or may still reach it, unless the incarnation to which it was sent has listed
	 * the run; an answer to the start itself names no incarnation. Its run stays open until the next one is fenced and lists its
	 * runs. A start of a former leader is fenced by the term, so that the first list of the term tells.
	 */
	const endIncarnation = (
		state: WorkerState,
		reason: IncarnationEnd,
		now: number,
		listedByNext: ReadonlySet<string> = new Set(),
	): void => {
		const next = workers.byName(state.worker);
		state.hasEnded = true;
		stopMonitoring(state);
		recordLoss(state, lossByEnd[reason], now);
		const starting = [...state.runs.values()].filter(({ isEstablished }) => !isEstablished);
		note('worker-ended', {
			worker: state.key,
			reason,
			isDraining: state.entry?.isDraining,
			runs: state.runs.size,
			startingRuns: starting.length,
			startingTasks: starting.slice(0, MAXIMUM_LOGGED_TASKS).map(({ task }) => task.name),
			silentMs: state.unreachableSince === undefined ? undefined : Math.round(now - state.unreachableSince),
		});
		for (const run of [...state.runs.values()]) {
			const isInherited = run.startByMs === 0;
			const mayHaveStartedLate =
				(!run.isListed && (!isInherited || next?.replacesFormer === true)) ||
				listedByNext.has(runKey(run.task.name, run.run)) ||
				isUnansweredStart(state, run, now);
			if (next !== undefined && next !== state && mayHaveStartedLate) {
				blockStart(next, run.task.name, run.run, run, strayRunEnd(state, context));
			} else {
				endRuns.discard(run, reason, now);
			}
		}
		if (next !== undefined && next !== state) {
			transferPendingStarts(state, next, now);
		}
		[...state.orphanedRuns.keys()].forEach(key => workers.removeOrphanedRun(state, key));
	};

	/** Tells which calls to a former incarnation the next one may still execute, or has executed. */
	const logCallsOfFormerLife = (former: WorkerState, next: WorkerState, now: number): void => {
		const { sentCalls } = former;
		if (sentCalls === undefined) {
			return;
		}
		note('calls-of-former-life', {
			worker: next.key,
			former: former.key,
			lastLeaseMsAgo: Math.round(now - sentCalls.lastLeaseAt),
			leaseUntilMs: sentCalls.leaseUntilMs,
			acknowledged: sentCalls.acknowledged,
			unansweredStarts: former.unansweredStarts.filter(({ expiresAt }) => now < expiresAt).length,
			executableForMs: Math.round(sentCalls.lastLeaseAt + MAXIMUM_ORDER_DELAY_MS - now),
			longestLeaseMs: settings.longestLeaseMs,
		});
	};

	/** Gives an incarnation its fencing token, a higher one if calls of this term to another incarnation may reach it. */
	const assignFencingToken = (state: WorkerState): void => {
		const others = workers.incarnationsOf(state.worker).filter(other => other !== state);
		state.replacesFormer = removedIncarnations.has(state.worker) || others.some(({ clock }) => clock !== undefined);
		state.fencingToken = state.replacesFormer ? context.fencingTokens.raise() : fencingTokenOf(state);
	};

	const fencingTokenOf = ({ worker, fencingToken }: WorkerState): number | undefined => {
		const ofOthers = workers.incarnationsOf(worker).flatMap(other => other.fencingToken ?? []);
		return fencingToken ?? (ofOthers.length > 0 ? Math.max(...ofOthers) : context.fencingTokens.newest());
	};

	const confirm = (state: WorkerState, listed: ReadonlySet<string>, now: number): void => {
		workers.confirm(state);
		if (state.fencingToken === undefined) {
			assignFencingToken(state);
		}
		for (const other of workers.incarnationsOf(state.worker)) {
			if (other !== state && !other.hasEnded) {
				logCallsOfFormerLife(other, state, now);
				if (other.runs.size + other.orphanedRuns.size > 0 || monitoredAddresses.has(other.key)) {
					endIncarnation(other, 'worker-restarted', now, listed);
				}
				other.hasEnded = true;
			}
		}
	};

	const recordAnswer = (state: WorkerState, clockMs: number, now: number): void => {
		state.lostRuns = [];
		state.isLossRecorded = false;
		state.unreachableSince = undefined;
		state.clock = { clockMs, readAt: now };
		if (!isFenced(state) && state.polledWithToken === state.fencingToken) {
			state.fencedClockMs = clockMs;
			context.needsSchedulingPass = true;
		}
		if (state.reachability !== 'answering') {
			note('worker-answers', { worker: state.key, pool: state.entry?.pool, before: state.reachability, clockMs });
			state.reachability = 'answering';
			context.needsSchedulingPass = true;
		}
	};

	const markUnreachable = (state: WorkerState, reason: string, now: number): void => {
		state.unreachableSince ??= now;
		if (state.reachability === 'answering') {
			note('worker-silent', {
				worker: state.key,
				runs: state.runs.size,
				reason,
				leaseEndsInMs: leaseEnd(state, context).endsBy - now,
			});
			counters.add('workers_silent_total');
			state.reachability = 'silent';
		}
	};

	return {
		monitor,
		stopMonitoring,
		recordRemoval,
		fencingTokenOf,
		isOutdatedToken: ({ worker }, token) =>
			workers.incarnationsOf(worker).some(({ fencingToken = 0 }) => token < fencingToken),
		forgetFormerCalls: now => {
			for (const [worker, removedAt] of removedIncarnations) {
				if (now > removedAt + MAXIMUM_ORDER_DELAY_MS) {
					removedIncarnations.delete(worker);
				}
			}
		},
		isMonitored: state => monitoredAddresses.has(state.key),
		recordAnswer,
		markUnreachable,
		endIncarnation,
		recordLoss,
		confirm,
	};
}
