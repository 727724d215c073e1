import { noResources } from '@chestnutwheel/ports/common/resources.js';
import type { WorkerAddress } from '@chestnutwheel/ports/common/workerService.js';
import type { EngineContext } from '../engineContext.js';
import type { RunTerminator } from '../jobs/runTerminator.js';
import type { TaskRun } from '../jobs/job.js';
import { runKey, type WorkerState } from './workerState.js';

/** An order without an answer may be carried out up to this much later; stated by the platform. */
export const MAXIMUM_ORDER_DELAY_MS = 12_500;

/** Which lives of workers are watched, which answer, and what the end of one means for its runs. */
export interface WorkerIncarnations {
	/** Starts to watch a life, or goes on at its new address. */
	monitor(state: WorkerState): void;
	stopMonitoring(state: WorkerState): void;
	isMonitored(state: WorkerState): boolean;
	/** The worker has answered. @param clockMs reading of its clock */
	readonly recordAnswer: (state: WorkerState, clockMs: number | undefined, now: number) => void;
	/** The worker has left a call without an answer. */
	readonly markUnreachable: (state: WorkerState, reason: string, now: number) => void;
	/** The life has ended: nothing of it is at work. */
	readonly endIncarnation: (state: WorkerState, reason: string, now: number) => void;
	/** Keeps a start from beginning in a life. */
	blockStart(state: WorkerState, task: string, runNumber: number, run: TaskRun | undefined, expiresAt: number): void;
	/** Ends the lives of the same worker before this one. */
	endOlderIncarnations(current: WorkerState, now: number): void;
}

/** Creates the part of the engine that follows the lives of workers. */
export function createWorkerIncarnations(context: EngineContext, endRuns: RunTerminator): WorkerIncarnations {
	const { workers, note, counters } = context;
	const monitoredAddresses = new Map<string, WorkerAddress>();

	const stopMonitoring = (state: WorkerState): void => {
		const address = monitoredAddresses.get(state.key);
		if (monitoredAddresses.delete(state.key)) {
			const isReused = [...monitoredAddresses.values()].some(other => other.address === address?.address);
			context.atOnce({
				type: 'unwatch',
				workerKey: state.key,
				address: isReused ? undefined : address?.address,
			});
		}
	};

	const monitor = (state: WorkerState): void => {
		const { entry } = state;
		if (entry === undefined || state.hasEnded || monitoredAddresses.get(state.key)?.address === entry.address) {
			return;
		}
		stopMonitoring(state);
		const address = { worker: state.worker, address: entry.address };
		monitoredAddresses.set(state.key, address);
		context.atOnce({ type: 'watch', workerKey: state.key, address });
	};

	/** Keeps a start from beginning in the new life. */
	const blockStart = (
		next: WorkerState,
		task: string,
		runNumber: number,
		run: TaskRun | undefined,
		expiresAt: number,
	): void => {
		const key = runKey(task, runNumber);
		next.blockedStarts.set(key, { task, runNumber, run, expiresAt, stoppedClockMs: undefined });
		// Until a listing shows that it did not begin, its room is not free.
		workers.addOrphanedRun(next, key, context.jobs.task(task)?.step.spec.demand ?? noResources);
		context.atOnce({ type: 'stop', workerKey: next.key, task, run: runNumber });
	};

	/** Orders that may still be carried out may meet any later life. */
	const transferPendingStarts = (state: WorkerState, next: WorkerState, now: number): void => {
		for (const { task, runNumber: number, run, expiresAt: until } of state.blockedStarts.values()) {
			blockStart(next, task, number, run, until);
		}
		state.blockedStarts.clear();
		const pending = state.unansweredStarts.filter(({ expiresAt: until }) => now < until);
		next.unansweredStarts = [...next.unansweredStarts, ...pending];
		for (const { task, runNumber: run, expiresAt: until } of pending) {
			if (!next.blockedStarts.has(runKey(task, run))) {
				blockStart(next, task, run, undefined, until);
			}
		}
	};

	/** The life has ended: nothing of it is at work. Starts without an answer may still reach the next life. */
	const endIncarnation = (state: WorkerState, reason: string, now: number): void => {
		const next = workers.byName(state.worker);
		state.hasEnded = true;
		stopMonitoring(state);
		for (const run of [...state.runs.values()]) {
			const isUnanswered = run.phase !== 'running' && run.confirmedAt === undefined && run.startByMs > 0;
			const mayStartLater =
				isUnanswered ||
				state.unansweredStarts.some(({ task, runNumber: number, expiresAt: until }) => {
					return now < until && number === run.run && task === run.task.name;
				});
			if (next !== undefined && next !== state && mayStartLater) {
				blockStart(next, run.task.name, run.run, run, run.decidedAt + MAXIMUM_ORDER_DELAY_MS);
			} else {
				endRuns.discard(run, reason, now);
			}
		}
		if (next !== undefined && next !== state) {
			transferPendingStarts(state, next, now);
		}
		[...state.orphanedRuns.keys()].forEach(key => workers.removeOrphanedRun(state, key));
	};

	const endOlderIncarnations = (current: WorkerState, now: number): void => {
		for (const state of [...workers.all()]) {
			if (state !== current && state.worker === current.worker && state.incarnation < current.incarnation) {
				if (state.runs.size + state.orphanedRuns.size > 0 || monitoredAddresses.has(state.key)) {
					endIncarnation(state, 'worker-restarted', now);
				}
			}
		}
	};

	const recordAnswer = (state: WorkerState, clockMs: number | undefined, now: number): void => {
		state.lastAnswerAt = now;
		state.unreachableSince = undefined;
		if (clockMs !== undefined && clockMs >= (state.clock?.clockMs ?? 0)) {
			state.clock = { clockMs, readAt: now };
		}
		if (state.reachability !== 'answering') {
			note('worker-answers', { worker: state.key, pool: state.entry?.pool, before: state.reachability });
			state.reachability = 'answering';
			context.needsPass = true;
		}
	};

	const markUnreachable = (state: WorkerState, reason: string, now: number): void => {
		state.unreachableSince ??= now;
		if (state.reachability === 'answering') {
			note('worker-silent', {
				worker: state.key,
				runs: state.runs.size,
				reason,
				leaseEndsInMs: state.leaseEndsBy - now,
			});
			counters.add('workers_silent_total');
			state.reachability = 'silent';
		}
	};

	return {
		monitor,
		stopMonitoring,
		isMonitored: state => monitoredAddresses.has(state.key),
		recordAnswer,
		markUnreachable,
		endIncarnation,
		blockStart,
		endOlderIncarnations,
	};
}
