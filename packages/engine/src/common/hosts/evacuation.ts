import type { EngineContext } from '../engineContext.js';
import type { RunTerminator } from '../jobs/runTerminator.js';
import type { Step, Task, TaskRun } from '../jobs/job.js';
import type { WorkerState } from '../workers/workerState.js';
import type { WorkerTable } from '../workers/workerTable.js';

/** Share at which a task counts as at work. */
const READY_PERCENT = 100;

/** A worker that was not heard for this long may have lost its tasks; a look waits at most a second. */
const MAXIMUM_LISTING_AGE_MS = 1_700;

/** What is known of a lasting task: at work, still starting, or neither for sure. */
type TaskAvailability = 'at-work' | 'starting' | 'unsure';

/** A task is at work when it is past its start-up; what a worker listed some time ago says nothing for sure. */
export function taskAvailability(task: Task, workers: WorkerTable, now: number): TaskAvailability {
	const availabilities = task.runs.map((run): TaskAvailability => {
		const state = workers.get(run.workerKey);
		const isListingRecent =
			state?.reachability === 'answering' &&
			!state.hasEnded &&
			state.lastAnswerAt !== undefined &&
			now - state.lastAnswerAt < MAXIMUM_LISTING_AGE_MS;
		if (!isListingRecent || run.phase !== 'running') {
			return 'unsure';
		}
		return run.percent >= READY_PERCENT ? 'at-work' : 'starting';
	});
	return availabilities.find(presence => presence !== 'unsure') ?? 'unsure';
}

/** Empties workers that leave or are to be taken down. */
export interface Evacuation {
	/** Stops the lasting tasks of a worker that may leave now. Each one starts again elsewhere. */
	moveServiceTasks(state: WorkerState, now: number): void;
	/** Whether lasting tasks are left. */
	hasServiceTasks(state: WorkerState): boolean;
	/** Stops tasks that can go on elsewhere from a checkpoint. */
	stopCheckpointedTasks(state: WorkerState): void;
}

/** Creates the part of the engine that empties workers. */
export function createEvacuation(context: EngineContext, endRuns: RunTerminator): Evacuation {
	const isServiceRun = (run: TaskRun): boolean => run.task.step.spec.isLasting;

	/** Lasting tasks of a step that are away for any reason, apart from one. */
	const countUnavailable = (step: Step, task: Task, now: number): number =>
		step.tasks.filter(other => other !== task && taskAvailability(other, context.workers, now) !== 'at-work').length;

	/** A step loses at most as many tasks at once as it says, unless its worker leaves by itself. */
	const mayMove = (state: WorkerState, { task }: TaskRun, now: number): boolean => {
		const { maximumAway } = task.step.spec;
		return (
			maximumAway === undefined ||
			state.entry?.isDraining === true ||
			taskAvailability(task, context.workers, now) === 'starting' ||
			countUnavailable(task.step, task, now) < maximumAway
		);
	};

	return {
		moveServiceTasks: (state, now) => {
			for (const run of state.runs.values()) {
				if (isServiceRun(run) && run.phase === 'running' && mayMove(state, run, now)) {
					context.note('task-moves', {
						task: run.task.name,
						worker: state.key,
						away: countUnavailable(run.task.step, run.task, now),
					});
					endRuns.stop(run, 'host-leaves');
				}
			}
		},
		hasServiceTasks: state => [...state.runs.values()].some(isServiceRun),
		stopCheckpointedTasks: state => {
			for (const run of state.runs.values()) {
				if (run.task.step.spec.savesProgress && run.phase === 'running' && !run.task.step.spec.isGang) {
					endRuns.stop(run, 'host-leaves');
				}
			}
		},
	};
}
