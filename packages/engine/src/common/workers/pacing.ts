import type { EngineContext } from '../engineContext.js';
import type { TaskRun } from '../jobs/job.js';
import type { WorkerState } from './workerState.js';

/** Ratio of tail latency to its target above which a latency-sensitive task is considered at risk. */
const HIGH_LATENCY_RATIO = 0.85;

/** Ratio of tail latency to its target below which best-effort tasks may speed up again. */
const LOW_LATENCY_RATIO = 0.6;

/** Step by which the pace of best-effort tasks recovers, in percent. A pause, by contrast, takes effect in one step. */
const PACE_INCREASE_PERCENT = 25;

/** Highest pace of best-effort tasks while a latency-sensitive task is at risk, in percent. */
const REDUCED_PACE_PERCENT = 30;

const FULL_PERCENT = 100;

/** Throttles best-effort tasks so that latency-sensitive tasks on the same worker stay below their latency targets. */
export interface Pacing {
	/** Adjusts the pace of the best-effort runs on a worker after a new listing of its runs. */
	adjustPaces(state: WorkerState): void;
	/** Records the outcome of a pace order. @param isConfirmed whether the worker confirmed the pace */
	handlePaceAnswer(run: TaskRun, percent: number, isConfirmed: boolean): void;
}

/**
 * Returns the highest ratio of tail latency to latency target among the running latency-sensitive tasks, or `undefined`
 * if there are none.
 */
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

/** Computes the next pace of best-effort tasks, in percent, from the highest latency ratio on their worker. */
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

/** Creates the component that throttles best-effort tasks. */
export function createPacing({
	logDecision: note,
	counters,
	emitNow: atOnce,
}: Pick<EngineContext, 'logDecision' | 'counters' | 'emitNow'>): Pacing {
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
				// The pace set by the previous leader is unknown, so it is set again as soon as a latency-sensitive task is
				// present.
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
