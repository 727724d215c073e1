import { noResources } from '@chestnutwheel/ports/common/resources.js';
import type { WorkerAddress } from '@chestnutwheel/ports/common/workerService.js';
import type { EngineContext } from '../engineContext.js';
import type { RunTerminator } from '../jobs/runTerminator.js';
import type { TaskRun } from '../jobs/job.js';
import { runKey, type WorkerState } from './workerState.js';

/** An order without an answer may be carried out up to this much later; stated by the platform. */
export const LATEST_ORDER_MS = 12_500;

/** Which lives of workers are watched, which answer, and what the end of one means for its runs. */
export interface WorkerLives {
	/** Starts to watch a life, or goes on at its new address. */
	watch(state: WorkerState): void;
	unwatch(state: WorkerState): void;
	isWatched(state: WorkerState): boolean;
	/** The worker has answered. @param clockMs reading of its clock */
	readonly answered: (state: WorkerState, clockMs: number | undefined, now: number) => void;
	/** The worker has left a call without an answer. */
	readonly silent: (state: WorkerState, reason: string, now: number) => void;
	/** The life has ended: nothing of it is at work. */
	readonly lifeEnded: (state: WorkerState, reason: string, now: number) => void;
	/** Keeps a start from beginning in a life. */
	forbid(state: WorkerState, task: string, number: number, run: TaskRun | undefined, until: number): void;
	/** Ends the lives of the same worker before this one. */
	endOlder(current: WorkerState, now: number): void;
}

/** Creates the part of the engine that follows the lives of workers. */
export function createWorkerLives(context: EngineContext, endRuns: RunTerminator): WorkerLives {
	const { workers, note, counters } = context;
	const watched = new Map<string, WorkerAddress>();

	const unwatch = (state: WorkerState): void => {
		const address = watched.get(state.key);
		if (watched.delete(state.key)) {
			const isReused = [...watched.values()].some(other => other.address === address?.address);
			context.atOnce({
				type: 'unwatch',
				workerKey: state.key,
				address: isReused ? undefined : address?.address,
			});
		}
	};

	const watch = (state: WorkerState): void => {
		const { entry } = state;
		if (entry === undefined || state.isOver || watched.get(state.key)?.address === entry.address) {
			return;
		}
		unwatch(state);
		const address = { worker: state.worker, address: entry.address };
		watched.set(state.key, address);
		context.atOnce({ type: 'watch', workerKey: state.key, address });
	};

	/** Keeps a start from beginning in the new life. */
	const forbid = (next: WorkerState, task: string, number: number, run: TaskRun | undefined, until: number): void => {
		const key = runKey(task, number);
		next.forbidden.set(key, { task, number, run, until, stoppedClockMs: undefined });
		// Until a listing shows that it did not begin, its room is not free.
		workers.addStray(next, key, context.jobs.task(task)?.step.spec.demand ?? noResources);
		context.atOnce({ type: 'stop', workerKey: next.key, task, run: number });
	};

	/** Orders that may still be carried out may meet any later life. */
	const handOver = (state: WorkerState, next: WorkerState, now: number): void => {
		for (const { task, number, run, until } of state.forbidden.values()) {
			forbid(next, task, number, run, until);
		}
		state.forbidden.clear();
		const open = state.lostStarts.filter(({ until }) => now < until);
		next.lostStarts = [...next.lostStarts, ...open];
		for (const { task, run, until } of open) {
			if (!next.forbidden.has(runKey(task, run))) {
				forbid(next, task, run, undefined, until);
			}
		}
	};

	/** The life has ended: nothing of it is at work. Starts without an answer may still reach the next life. */
	const lifeEnded = (state: WorkerState, reason: string, now: number): void => {
		const next = workers.byName(state.worker);
		state.isOver = true;
		unwatch(state);
		for (const run of [...state.runs.values()]) {
			const isUnanswered = run.phase !== 'running' && run.confirmedAt === undefined && run.startByMs > 0;
			const mayStillStart =
				isUnanswered ||
				state.lostStarts.some(({ task, run: number, until }) => {
					return now < until && number === run.run && task === run.task.name;
				});
			if (next !== undefined && next !== state && mayStillStart) {
				forbid(next, run.task.name, run.run, run, run.decidedAt + LATEST_ORDER_MS);
			} else {
				endRuns.discard(run, reason, now);
			}
		}
		if (next !== undefined && next !== state) {
			handOver(state, next, now);
		}
		[...state.strays.keys()].forEach(key => workers.removeStray(state, key));
	};

	const endOlder = (current: WorkerState, now: number): void => {
		for (const state of [...workers.all()]) {
			if (state !== current && state.worker === current.worker && state.life < current.life) {
				if (state.runs.size + state.strays.size > 0 || watched.has(state.key)) {
					lifeEnded(state, 'worker-restarted', now);
				}
			}
		}
	};

	const answered = (state: WorkerState, clockMs: number | undefined, now: number): void => {
		state.answeredAt = now;
		state.silentSince = undefined;
		if (clockMs !== undefined && clockMs >= (state.clock?.clockMs ?? 0)) {
			state.clock = { clockMs, at: now };
		}
		if (state.contact !== 'answering') {
			note('worker-answers', { worker: state.key, pool: state.entry?.pool, before: state.contact });
			state.contact = 'answering';
			context.needsPass = true;
		}
	};

	const silent = (state: WorkerState, reason: string, now: number): void => {
		state.silentSince ??= now;
		if (state.contact === 'answering') {
			note('worker-silent', {
				worker: state.key,
				runs: state.runs.size,
				reason,
				leaseEndsInMs: state.leaseEndsBy - now,
			});
			counters.add('workers_silent_total');
			state.contact = 'silent';
		}
	};

	return {
		watch,
		unwatch,
		isWatched: state => watched.has(state.key),
		answered,
		silent,
		lifeEnded,
		forbid,
		endOlder,
	};
}
