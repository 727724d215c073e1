import { storableCheckpoint } from '../jobs/storableCheckpoint.js';
import { noResources, type Resources } from '@chestnutwheel/ports/common/resources.js';
import type {
	ListedRun,
	PollOutcome,
	PollRequest,
	WorkerOrderOutcome,
	WorkerListing,
} from '@chestnutwheel/ports/common/workerService.js';
import type { EngineContext } from '../engineContext.js';
import type { RunTerminator } from '../jobs/runTerminator.js';
import type { TaskRun } from '../jobs/job.js';
import { estimateWorkerClock, isFromOtherIncarnation, latestLocalTime } from './workerClock.js';
import { isCleared } from './crashEvidence.js';
import { isConfirmed } from './entryClaims.js';
import { createListedEnds } from './listedEnds.js';
import { createPacing } from './pacing.js';
import { listedRunKeys, reconcile } from './reconcile.js';
import { createStallDetector } from './stallDetector.js';
import { createStopOrders } from './stopOrders.js';
import { createWorkerIncarnations, type IncarnationEnd } from './workerIncarnations.js';
import { leaseEnd, LEASE_MARGIN_MS, runEnd, type LeaseEnd } from './workerLeases.js';
import { createWorkerStarts, type WorkerStarts } from './workerStarts.js';
import { isFenced, recordSentLease, runKey, type WorkerState } from './workerState.js';

/**
 * Time on the worker's clock after the first confirmation of a run from which on a list shows that its start has not crashed
 * the worker, in milliseconds. An end of another run may trigger a list in the moment between a start and the crash.
 */
const ESTABLISHED_AFTER_MS = 100;

/** Monitors the workers: creates polls, and evaluates the answers to polls and orders. */
export interface WorkerMonitor extends WorkerStarts {
	/**
	 * Creates the next poll of an incarnation.
	 * @param isSureToLead whether this daemon is certain to lead, so that leases may be extended
	 * @returns the request, or `undefined` if the incarnation is not monitored any more
	 */
	pollRequest(key: string, waitMs: number, isSureToLead: boolean, now: number): PollRequest | undefined;
	/** Returns the fencing token of orders to an incarnation; `undefined` before the term begins, or if it is not known. */
	fencingToken(key: string): number | undefined;
	/** Whether the incarnation runs tasks that end by themselves, or have been ordered to stop. */
	hasFiniteRuns(key: string): boolean;
	pollAnswered(key: string, answer: PollOutcome, now: number): void;
	stopAnswered(key: string, task: string, run: number, answer: WorkerOrderOutcome, now: number): void;
	/** Records that no further attempt to send a stop will be made. It is ordered again if the run is still listed. */
	stopAbandoned(key: string, task: string, run: number): void;
	paceAnswered(key: string, task: string, run: number, percent: number, answer: WorkerOrderOutcome): void;
	/** Ends an incarnation whose runs were terminated by an order to its host. */
	endIncarnation(state: WorkerState, reason: IncarnationEnd, now: number): void;
	/** Starts to monitor an incarnation, or continues at its new address. */
	monitor(state: WorkerState): void;
	/** Gives up runs on unreachable workers whose leases have expired, and removes incarnations that have ended. */
	expireLeases(now: number): void;
	/** Allows run ends recorded up to the given journal batch to be acknowledged. */
	handleBatchStored(batch: number): void;
}

/** Creates the component that monitors the workers. */
export function createWorkerMonitor(context: EngineContext, endRuns: RunTerminator): WorkerMonitor {
	const { workers, settings, jobs, logDecision: note, counters } = context;
	const incarnations = createWorkerIncarnations(context, endRuns);
	const { recordAnswer, markUnreachable, endIncarnation } = incarnations;
	const stallDetector = createStallDetector(context, endRuns);
	const pacing = createPacing(context);
	const listedEnds = createListedEnds(context, endRuns);
	const stopOrders = createStopOrders(context);

	/** Tells from what the end of the leases was counted, and which former incarnations may have left a longer one. */
	const logExpiredLeases = (state: WorkerState, { endsBy, countedFrom }: LeaseEnd, runs: number, now: number): void => {
		const formerCallsAt = workers
			.incarnationsOf(state.worker)
			.flatMap(other => (other === state || other.sentCalls === undefined ? [] : [other.sentCalls.lastLeaseAt]));
		note('leases-expired', {
			worker: state.key,
			runs,
			countedFrom,
			endedMsAgo: Math.round(now - endsBy),
			silentMs: state.unreachableSince === undefined ? undefined : Math.round(now - state.unreachableSince),
			lastLeaseMsAgo: state.sentCalls === undefined ? undefined : Math.round(now - state.sentCalls.lastLeaseAt),
			formerCallMsAgo: formerCallsAt.length === 0 ? undefined : Math.round(now - Math.max(...formerCallsAt)),
		});
	};

	const expireRuns = (state: WorkerState, now: number): void => {
		const expired = [...state.runs.values()].filter(run => now > runEnd(state, run, context, now));
		if (expired.length === 0) {
			return;
		}
		logExpiredLeases(state, leaseEnd(state, context), expired.length, now);
		if (!state.isLossRecorded) {
			incarnations.recordLoss(state, 'unexplained', now);
		}
		expired.forEach(run => endRuns.discard(run, 'lease-ran-out', now));
	};

	/** Gives up starts that an incarnation may have executed, if it is not reached before they are over. */
	const expireBlockedStarts = (state: WorkerState, now: number): void => {
		if (state.blockedStarts.size === 0 || (isFenced(state) && state.reachability === 'answering' && !state.hasEnded)) {
			return;
		}
		const fencedEnd = isFenced(state) ? leaseEnd(state, context).endsBy : undefined;
		for (const [key, { run, expiresAt }] of [...state.blockedStarts]) {
			if (now > (fencedEnd ?? expiresAt)) {
				state.blockedStarts.delete(key);
				workers.removeOrphanedRun(state, key);
				if (run !== undefined) {
					endRuns.discard(run, 'order-expired', now);
				}
			}
		}
	};

	const findRun = (key: string, task: string, run: number): TaskRun | undefined =>
		workers.get(key)?.runs.get(runKey(task, run));

	/** An established run has not crashed its worker at its start, and a service task that is ready will not crash it. */
	const clearSuspicion = (run: TaskRun): void => {
		const { task } = run;
		if (!run.isEstablished) {
			return;
		}
		if (task.startCrashes > 0 || (task.crashes > 0 && isCleared(run))) {
			task.startCrashes = 0;
			task.provenCrashes = 0;
			task.crashHosts.length = 0;
			if (isCleared(run)) {
				task.crashes = 0;
			}
			context.needsSchedulingPass = true;
		}
	};

	const confirmRun = (state: WorkerState, run: TaskRun, listed: ListedRun, clockMs: number, now: number): void => {
		const isFirst = run.confirmedAt === undefined;
		run.confirmedAt ??= now;
		run.isListed = true;
		run.firstClockMs ??= clockMs;
		run.isEstablished ||= clockMs >= run.firstClockMs + ESTABLISHED_AFTER_MS;
		run.confirmedClockMs = Math.max(run.confirmedClockMs ?? 0, clockMs);
		run.percent = listed.percent;
		run.load = listed.load;
		clearSuspicion(run);
		if (run.phase === 'starting' || run.phase === 'unsure') {
			run.phase = 'running';
		}
		const { task } = run;
		const checkpoint = storableCheckpoint(listed.checkpoint, context.counters);
		if (checkpoint !== '' && checkpoint !== run.startCheckpoint) {
			task.checkpoint = checkpoint;
		}
		const { state: jobState } = task.step.occurrence.job;
		if (jobState !== 'open' || (isFirst && task.state === 'done')) {
			endRuns.stop(run, jobState === 'cancelled' ? 'cancelled' : 'copy-ended');
		}
		stopOrders.handleRunning(state, run, clockMs);
		stallDetector.checkRun(state, run, listed, clockMs, now);
	};

	const orphanedRunDemand = (task: string): Resources => {
		const spec = jobs.task(task)?.step.spec;
		return spec?.demand ?? noResources;
	};

	const applyListing = (state: WorkerState, listing: WorkerListing, now: number): void => {
		const { newEnds, confirmed, absent, orphaned, preventedStarts } = reconcile(state, listing);
		confirmed.forEach(({ run, listed }) => confirmRun(state, run, listed, listing.clockMs, now));
		pacing.adjustPaces(state);
		listedEnds.apply(state, newEnds, now);
		absent.forEach(run => endRuns.discard(run, run.confirmedAt === undefined ? 'never-began' : 'not-listed', now));
		for (const key of preventedStarts) {
			const run = state.blockedStarts.get(key)?.run;
			state.blockedStarts.delete(key);
			if (run !== undefined) {
				endRuns.discard(run, 'averted', now);
			}
		}
		if (state.orphanedRuns.size > 0) {
			const runningKeys = new Set(listing.running.map(run => runKey(run.task, run.run)));
			[...state.orphanedRuns.keys()]
				.filter(key => !runningKeys.has(key) && !state.blockedStarts.has(key))
				.forEach(key => workers.removeOrphanedRun(state, key));
		}
		for (const { task, run } of orphaned) {
			const key = runKey(task, run);
			if (!state.orphanedRuns.has(key)) {
				counters.add('strays_total');
				note('stray-run', { task, run, worker: state.key });
				workers.addOrphanedRun(state, key, orphanedRunDemand(task));
			}
			context.emitNow({ type: 'stop', workerKey: state.key, task, run, isRepeat: true });
		}
	};

	/** An answer that names an incarnation that cannot be the current one is no answer of the worker that was polled. */
	const rejectIncarnation = (state: WorkerState, incarnation: number, now: number): void => {
		counters.add('listings_of_other_incarnations_total');
		markUnreachable(state, `the answer names the incarnation ${incarnation}`, now);
	};

	/** The worker says that it is another incarnation: it has restarted, or the entry was not its own. */
	const handleOtherIncarnation = (state: WorkerState, listing: WorkerListing, now: number): void => {
		const { incarnation } = listing;
		const other = workers.getOrCreate(state.worker, incarnation);
		if (other.hasEnded || !workers.mayConfirm(other)) {
			rejectIncarnation(state, incarnation, now);
			return;
		}
		workers.inheritEntry(other, state);
		note('worker-restarted', {
			worker: state.worker,
			life: incarnation,
			former: state.incarnation,
			runs: state.runs.size,
		});
		incarnations.confirm(other, listedRunKeys(listing), now);
		incarnations.monitor(other);
	};

	const handleListing = (state: WorkerState, listing: WorkerListing, now: number): void => {
		if (state.hasEnded) {
			counters.add('listings_of_ended_workers_total');
			return;
		}
		if (listing.incarnation !== state.incarnation) {
			handleOtherIncarnation(state, listing, now);
			return;
		}
		if (!isConfirmed(state) || workers.byName(state.worker) !== state) {
			if (!workers.mayConfirm(state)) {
				rejectIncarnation(state, listing.incarnation, now);
				return;
			}
			incarnations.confirm(state, listedRunKeys(listing), now);
		}
		if (listing.clockMs < (state.clock?.clockMs ?? 0)) {
			counters.add('listings_overtaken_total');
			return;
		}
		recordAnswer(state, listing.clockMs, now);
		state.lastListedAt = now;
		state.lastListedClockMs = listing.clockMs;
		applyListing(state, listing, now);
		state.forgottenEndIndex = (listing.ended[0]?.index ?? state.lastReadEndIndex + 1) - 1;
	};

	return {
		...createWorkerStarts(context, endRuns, incarnations),
		endIncarnation,
		monitor: state => incarnations.monitor(state),
		pollRequest: (key, waitMs, isSureToLead, now) => {
			const state = workers.get(key);
			if (state === undefined || context.term === undefined || !incarnations.isMonitored(state)) {
				return undefined;
			}
			const fencingToken = incarnations.fencingTokenOf(state);
			if (fencingToken === undefined) {
				return undefined;
			}
			const clockMs = estimateWorkerClock(state, now);
			// An unanswered call may still have extended the lease. No extension is requested from an unreachable worker, so
			// that the time when its runs are over stays known.
			const isReached = isFenced(state) && state.unreachableSince === undefined;
			const leaseUntilMs =
				clockMs !== undefined && isSureToLead && isReached ? Math.round(clockMs + settings.leaseMs) : undefined;
			if (leaseUntilMs !== undefined) {
				const latest = latestLocalTime(state, leaseUntilMs) ?? 0;
				state.leaseEndsBy = Math.max(state.leaseEndsBy, latest + LEASE_MARGIN_MS);
				recordSentLease(state, leaseUntilMs, now);
			}
			// The worker may have restarted, and an index must not acknowledge ends of the next incarnation. It is sent only while the
			// worker lists ends up to it.
			const acknowledged =
				isReached && state.acknowledgedEndIndex > state.forgottenEndIndex ? state.acknowledgedEndIndex : 0;
			if (state.sentCalls !== undefined && acknowledged > 0) {
				state.sentCalls = { ...state.sentCalls, acknowledged };
			}
			state.polledWithToken = fencingToken;
			// Work is given to an incarnation once it is fenced, so the answer is not waited for before.
			return { fencingToken, acknowledged, leaseUntilMs, waitMs: isFenced(state) ? waitMs : 0 };
		},
		fencingToken: key => {
			const state = workers.get(key);
			return state === undefined ? undefined : incarnations.fencingTokenOf(state);
		},
		hasFiniteRuns: key =>
			[...(workers.get(key)?.runs.values() ?? [])].some(
				({ task, phase }) => !task.step.spec.isLasting || phase === 'stopping',
			),
		pollAnswered: (key, answer, now) => {
			const state = workers.get(key);
			if (state === undefined || context.term === undefined) {
				return;
			}
			if (answer.type === 'listed') {
				handleListing(state, answer.listing, now);
			} else if (answer.type === 'other-worker') {
				note('address-reused', { worker: state.key });
				endIncarnation(state, 'address-reused', now);
			} else if (answer.type === 'refused' && answer.reason === 'fenced') {
				if (!state.hasEnded && !incarnations.isOutdatedToken(state, state.polledWithToken ?? 0)) {
					context.emitNow({ type: 'deposed', reason: `worker ${state.worker} has seen a higher fencing token` });
				}
			} else {
				markUnreachable(state, answer.reason, now);
			}
		},
		stopAnswered: (key, task, runNumber, answer, now) => {
			const state = workers.get(key);
			const run = findRun(key, task, runNumber);
			if (state === undefined || run === undefined) {
				return;
			}
			if (answer.type === 'done' && isFromOtherIncarnation(state, answer.clockMs, now)) {
				stopOrders.handleAbandoned(run);
				return;
			}
			stopOrders.handleAnswer(run, answer);
			if (answer.type === 'done' && run.confirmedAt === undefined) {
				// The worker refuses this run from now on, so a later listing shows conclusively whether it has started.
				run.startByMs = Math.min(run.startByMs, answer.clockMs);
			}
		},
		stopAbandoned: (key, task, runNumber) => {
			const run = findRun(key, task, runNumber);
			if (run !== undefined) {
				stopOrders.handleAbandoned(run);
			}
		},
		paceAnswered: (key, task, runNumber, percent, answer) => {
			const run = findRun(key, task, runNumber);
			if (run !== undefined) {
				pacing.handlePaceAnswer(run, percent, answer.type === 'done');
			}
		},
		expireLeases: now => {
			for (const state of [...workers.all()]) {
				if (state.reachability !== 'answering' && !state.hasEnded) {
					expireRuns(state, now);
				}
				expireBlockedStarts(state, now);
			}
			for (const state of workers.prune(now, settings.goneAfterMs)) {
				incarnations.stopMonitoring(state);
				incarnations.recordRemoval(state, now);
			}
			incarnations.forgetFormerCalls(now);
		},
		handleBatchStored: batch => listedEnds.handleBatchStored(batch),
	};
}
