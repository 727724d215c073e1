import type { ListedRun } from '@chestnutwheel/ports/common/workerService.js';
import type { EngineContext } from '../engineContext.js';
import type { RunTerminator } from '../jobs/runTerminator.js';
import type { TaskRun } from '../jobs/job.js';
import type { WorkerState } from './workerState.js';

/** Shortest time without progress, on the worker's clock, after which a run counts as stalled, in milliseconds. */
const MINIMUM_STALL_MS = 1_000;

/**
 * Fraction of the expected duration that must also pass without progress. Progress is reported in whole percents, which
 * change rarely in long tasks.
 */
const STALL_FRACTION_OF_EXPECTED = 0.04;

/** Time for which a worker gets no new work after the last stalled run was seen on it, in milliseconds. */
const QUARANTINE_MS = 1_500;

/** Detects runs that a worker lists as running but that make no progress. */
export interface StallDetector {
	/**
	 * Checks the progress of a listed run and stops the run if it has stalled.
	 * @param clockMs worker's clock at the listing
	 */
	checkRun(state: WorkerState, run: TaskRun, shown: ListedRun, clockMs: number, now: number): void;
}

/**
 * Creates the component that stops stalled runs, so that their tasks restart on another worker. Such a worker still
 * answers polls, and waiting for it would delay every job that has a task on it.
 */
export function createStallDetector(context: EngineContext, endRuns: RunTerminator): StallDetector {
	const { logDecision: note, counters, durations } = context;

	/** Service and best-effort tasks do not report steady progress, and gang members wait for each other. */
	const reportsProgress = ({ task, phase }: TaskRun): boolean =>
		phase === 'running' && !task.step.spec.isLasting && !task.step.spec.isGang && !task.step.spec.fills;

	return {
		checkRun: (state, run, shown, clockMs, now) => {
			if (run.progress?.percent !== shown.percent) {
				run.progress = { percent: shown.percent, clockMs };
				return;
			}
			const { accepted } = run.task.step.occurrence.job;
			const expectedMs = durations.expectedMs(accepted.queue, run.task.step.spec.estimateMs);
			const stalledForMs = clockMs - run.progress.clockMs;
			if (!reportsProgress(run) || stalledForMs < Math.max(MINIMUM_STALL_MS, STALL_FRACTION_OF_EXPECTED * expectedMs)) {
				return;
			}
			state.avoidUntil = Math.max(state.avoidUntil, now + QUARANTINE_MS);
			run.task.failedWorkers.push(state.worker);
			counters.add('runs_stalled_total', { queue: accepted.queue });
			note('run-stands-still', {
				task: run.task.name,
				run: run.run,
				worker: state.key,
				percent: shown.percent,
				standsMs: stalledForMs,
			});
			endRuns.stop(run, 'stalled');
		},
	};
}
