import type { EngineContext } from '../engineContext.js';
import type { TaskRun } from '../jobs/job.js';
import type { WorkerState } from './workerState.js';

/** Part of the target above which the tail of a serving task is too close to it. */
const HIGH_SHARE = 0.85;

/** Part of the target below which filling tasks may work faster again. */
const LOW_SHARE = 0.6;

/** Step in which the pace of filling tasks rises, in percent; it falls to nothing at once. */
const RISE_PERCENT = 25;

/** Pace of filling tasks while a serving task is close to its target, in percent. */
const CLOSE_PERCENT = 30;

const FULL_PERCENT = 100;

/** Keeps serving tasks under their targets by slowing the filling tasks beside them. */
export interface Pacing {
	/** A worker has listed its runs. */
	listed(state: WorkerState): void;
	/** A pace was ordered. @param isDone whether the worker confirmed it */
	ended(run: TaskRun, percent: number, isDone: boolean): void;
}

/** Highest tail among the serving tasks of a worker, as a share of their target; `undefined` without any. */
export function highestTail(runs: Iterable<TaskRun>): number | undefined {
	let highest: number | undefined;
	for (const { task, load, phase } of runs) {
		const { targetMs } = task.step.spec;
		if (targetMs !== undefined && load !== undefined && phase === 'running') {
			highest = Math.max(highest ?? 0, load / targetMs);
		}
	}
	return highest;
}

/** The pace of filling tasks after a look. @param pace pace before, in percent */
export function nextPace(tail: number | undefined, pace: number): number {
	if (tail === undefined) {
		return FULL_PERCENT;
	}
	if (tail >= 1) {
		return 0;
	}
	if (tail >= HIGH_SHARE) {
		return Math.min(pace, CLOSE_PERCENT);
	}
	return tail < LOW_SHARE ? Math.min(FULL_PERCENT, pace + RISE_PERCENT) : pace;
}

/** Creates the part of the engine that paces filling tasks. */
export function createPacing({ note, counters, atOnce }: Pick<EngineContext, 'note' | 'counters' | 'atOnce'>): Pacing {
	const order = (state: WorkerState, run: TaskRun, percent: number, tail: number | undefined): void => {
		run.isPaceOrderPending = true;
		counters.add('paces_ordered_total');
		note('run-paced', { task: run.task.name, run: run.run, worker: state.key, percent, before: run.pace, tail });
		atOnce({ type: 'pace', workerKey: state.key, task: run.task.name, run: run.run, percent });
	};

	return {
		listed: state => {
			const fillers = [...state.runs.values()].filter(({ task, phase }) => task.step.spec.fills && phase === 'running');
			if (fillers.length === 0) {
				return;
			}
			const tail = highestTail(state.runs.values());
			for (const run of fillers) {
				const percent = nextPace(tail, run.pace ?? FULL_PERCENT);
				// The pace that a predecessor ordered is not known, so a serving task makes it be ordered anew.
				const isKnown = run.pace !== undefined || tail === undefined;
				if (!run.isPaceOrderPending && (percent !== (run.pace ?? FULL_PERCENT) || !isKnown)) {
					order(state, run, percent, tail);
				}
			}
		},
		ended: (run, percent, isDone) => {
			run.isPaceOrderPending = false;
			run.pace = isDone ? percent : undefined;
		},
	};
}
