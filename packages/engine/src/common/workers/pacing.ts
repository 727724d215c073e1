import type { EngineContext } from '../engineContext.js';
import type { TaskRun } from '../jobs/job.js';
import type { WorkerState } from './workerState.js';

/** Part of the target above which the tail of a serving task is too close to it. */
const HIGH_LATENCY_RATIO = 0.85;

/** Part of the target below which filling tasks may work faster again. */
const LOW_LATENCY_RATIO = 0.6;

/** Step in which the pace of filling tasks rises, in percent; it falls to nothing at once. */
const PACE_INCREASE_PERCENT = 25;

/** Pace of filling tasks while a serving task is close to its target, in percent. */
const REDUCED_PACE_PERCENT = 30;

const FULL_PERCENT = 100;

/** Keeps serving tasks under their targets by slowing the filling tasks beside them. */
export interface Pacing {
	/** A worker has listed its runs. */
	adjustPaces(state: WorkerState): void;
	/** A pace was ordered. @param isConfirmed whether the worker confirmed it */
	handlePaceAnswer(run: TaskRun, percent: number, isConfirmed: boolean): void;
}

/** Highest tail among the serving tasks of a worker, as a share of their target; `undefined` without any. */
export function highestLatencyRatio(runs: Iterable<TaskRun>): number | undefined {
	let highest: number | undefined;
	for (const { task, load, phase } of runs) {
		const { targetMs } = task.step.spec;
		if (targetMs !== undefined && load !== undefined && phase === 'running') {
			highest = Math.max(highest ?? 0, load / targetMs);
		}
	}
	return highest;
}

/** The pace of filling tasks after a look. @param currentPercent pace before, in percent */
export function nextPace(latencyRatio: number | undefined, currentPercent: number): number {
	if (latencyRatio === undefined) {
		return FULL_PERCENT;
	}
	if (latencyRatio >= 1) {
		return 0;
	}
	if (latencyRatio >= HIGH_LATENCY_RATIO) {
		return Math.min(currentPercent, REDUCED_PACE_PERCENT);
	}
	return latencyRatio < LOW_LATENCY_RATIO
		? Math.min(FULL_PERCENT, currentPercent + PACE_INCREASE_PERCENT)
		: currentPercent;
}

/** Creates the part of the engine that paces filling tasks. */
export function createPacing({ note, counters, atOnce }: Pick<EngineContext, 'note' | 'counters' | 'atOnce'>): Pacing {
	const orderPace = (state: WorkerState, run: TaskRun, percent: number, latencyRatio: number | undefined): void => {
		run.isPaceOrderPending = true;
		counters.add('paces_ordered_total');
		note('run-paced', {
			task: run.task.name,
			run: run.run,
			worker: state.key,
			percent,
			before: run.pace,
			tail: latencyRatio,
		});
		atOnce({ type: 'pace', workerKey: state.key, task: run.task.name, run: run.run, percent });
	};

	return {
		adjustPaces: state => {
			const bestEffortRuns = [...state.runs.values()].filter(
				({ task, phase }) => task.step.spec.fills && phase === 'running',
			);
			if (bestEffortRuns.length === 0) {
				return;
			}
			const latencyRatio = highestLatencyRatio(state.runs.values());
			for (const run of bestEffortRuns) {
				const percent = nextPace(latencyRatio, run.pace ?? FULL_PERCENT);
				// The pace that a predecessor ordered is not known, so a serving task makes it be ordered anew.
				const isKnown = run.pace !== undefined || latencyRatio === undefined;
				if (!run.isPaceOrderPending && (percent !== (run.pace ?? FULL_PERCENT) || !isKnown)) {
					orderPace(state, run, percent, latencyRatio);
				}
			}
		},
		handlePaceAnswer: (run, percent, isConfirmed) => {
			run.isPaceOrderPending = false;
			run.pace = isConfirmed ? percent : undefined;
		},
	};
}
