import type { EngineContext } from '../engineContext.js';
import type { RunTerminator } from '../jobs/runTerminator.js';
import type { Step, Task, TaskRun } from '../jobs/job.js';
import type { WorkerState } from '../workers/workerState.js';
import type { WorkerTable } from '../workers/workerTable.js';

/** Share at which a task counts as at work. */
const AT_WORK_PERCENT = 100;

/** A worker that was not heard for this long may have lost its tasks; a look waits at most a second. */
const HEARD_WITHIN_MS = 1_700;

/** What is known of a lasting task: at work, still starting, or neither for sure. */
type Presence = 'at-work' | 'starting' | 'unsure';

/** A task is at work when it is past its start-up; what a worker listed some time ago says nothing for sure. */
export function presenceOf(task: Task, workers: WorkerTable, now: number): Presence {
	const presences = task.runs.map((run): Presence => {
		const state = workers.get(run.workerKey);
		const isHeard =
			state?.contact === 'answering' &&
			!state.isOver &&
			state.answeredAt !== undefined &&
			now - state.answeredAt < HEARD_WITHIN_MS;
		if (!isHeard || run.phase !== 'running') {
			return 'unsure';
		}
		return run.percent >= AT_WORK_PERCENT ? 'at-work' : 'starting';
	});
	return presences.find(presence => presence !== 'unsure') ?? 'unsure';
}

/** Empties workers that leave or are to be taken down. */
export interface Evacuation {
	/** Stops the lasting tasks of a worker that may leave now. Each one starts again elsewhere. */
	moveLasting(state: WorkerState, now: number): void;
	/** Whether lasting tasks are left. */
	hasLasting(state: WorkerState): boolean;
	/** Stops tasks that can go on elsewhere from a checkpoint. */
	stopSaving(state: WorkerState): void;
}

/** Creates the part of the engine that empties workers. */
export function createEvacuation(context: EngineContext, endRuns: RunTerminator): Evacuation {
	const isLasting = (run: TaskRun): boolean => run.task.step.spec.isLasting;

	/** Lasting tasks of a step that are away for any reason, apart from one. */
	const awayBeside = (step: Step, task: Task, now: number): number =>
		step.tasks.filter(other => other !== task && presenceOf(other, context.workers, now) !== 'at-work').length;

	/** A step loses at most as many tasks at once as it says, unless its worker leaves by itself. */
	const mayLeave = (state: WorkerState, { task }: TaskRun, now: number): boolean => {
		const { maximumAway } = task.step.spec;
		return (
			maximumAway === undefined ||
			state.entry?.isDraining === true ||
			presenceOf(task, context.workers, now) === 'starting' ||
			awayBeside(task.step, task, now) < maximumAway
		);
	};

	return {
		moveLasting: (state, now) => {
			for (const run of state.runs.values()) {
				if (isLasting(run) && run.phase === 'running' && mayLeave(state, run, now)) {
					context.note('task-moves', {
						task: run.task.name,
						worker: state.key,
						away: awayBeside(run.task.step, run.task, now),
					});
					endRuns.stop(run, 'host-leaves');
				}
			}
		},
		hasLasting: state => [...state.runs.values()].some(isLasting),
		stopSaving: state => {
			for (const run of state.runs.values()) {
				if (run.task.step.spec.savesProgress && run.phase === 'running' && !run.task.step.spec.isGang) {
					endRuns.stop(run, 'host-leaves');
				}
			}
		},
	};
}
