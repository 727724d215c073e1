import type { ListedRun } from '@chestnutwheel/ports/common/workerService.js';
import type { EngineContext } from '../engineContext.js';
import type { RunTerminator } from '../jobs/runTerminator.js';
import type { TaskRun } from '../jobs/job.js';
import type { WorkerState } from './workerState.js';

/** Time on the worker's clock without progress after which a run stands still, in milliseconds. */
const MINIMUM_STALL_MS = 1_000;

/** Part of a task's expected time without progress that is needed besides: long tasks show whole percents rarely. */
const STALL_FRACTION_OF_EXPECTED = 0.04;

/** A worker on which runs stand still gets no new work for this long after the last such sight. */
const QUARANTINE_MS = 1_500;

/** Finds runs that a worker lists but does not work on. */
export interface StallDetector {
	/** A listing shows the run. @param clockMs worker's clock of the listing */
	checkRun(state: WorkerState, run: TaskRun, shown: ListedRun, clockMs: number, now: number): void;
}

/**
 * Stops runs that stand still while their worker looks sound, so that the task starts again elsewhere. Waiting for such a
 * worker makes every job late that has a task there.
 */
export function createStallDetector(context: EngineContext, endRuns: RunTerminator): StallDetector {
	const { note, counters, durations } = context;

	/** Lasting tasks show when they are at work, and members of a gang wait for each other. */
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
