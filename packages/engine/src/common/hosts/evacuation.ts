import { fitsInto, subtractResources } from '@chestnutwheel/ports/common/resources.js';
import type { EngineContext } from '../engineContext.js';
import type { RunTerminator } from '../jobs/runTerminator.js';
import type { Step, Task, TaskRun } from '../jobs/job.js';
import { countRunsOnWorker, effectiveDemand } from '../scheduling/placement.js';
import { runKey, type WorkerState } from '../workers/workerState.js';

/** Progress at which a service task counts as ready, in percent. */
const READY_PERCENT = 100;

/**
 * Age beyond which the list of a worker's runs no longer proves that its tasks are running, in milliseconds. A poll waits
 * for at most one second.
 */
const MAXIMUM_LISTING_AGE_MS = 1_700;

/** Availability of a service task: ready, still starting, or not known for certain. */
type TaskAvailability = 'at-work' | 'starting' | 'unsure';

/** Whether a former leader may have ordered the run to stop without its end being in the worker's newest list. */
function mayBeStopping(
	{ startByMs }: TaskRun,
	{ fencedClockMs, lastListedClockMs }: WorkerState,
	stopMs: number,
): boolean {
	const isInherited = startByMs === 0;
	return isInherited && (lastListedClockMs ?? 0) <= (fencedClockMs ?? Infinity) + stopMs;
}

/** Determines the availability of a service task from its runs. Outdated listings of a worker prove nothing. */
export function taskAvailability(
	task: Task,
	{ workers, settings }: Pick<EngineContext, 'workers' | 'settings'>,
	now: number,
): TaskAvailability {
	const availabilities = task.runs.map((run): TaskAvailability => {
		const state = workers.get(run.workerKey);
		if (
			run.phase !== 'running' ||
			state?.reachability !== 'answering' ||
			state.hasEnded ||
			state.lastListedAt === undefined ||
			now - state.lastListedAt >= MAXIMUM_LISTING_AGE_MS ||
			mayBeStopping(run, state, settings.stopMs)
		) {
			return 'unsure';
		}
		return run.percent >= READY_PERCENT ? 'at-work' : 'starting';
	});
	return availabilities.find(availability => availability !== 'unsure') ?? 'unsure';
}

/** Evacuates workers that are draining or whose host is about to be taken down. */
export interface Evacuation {
	/** Stops the service tasks of a worker that may move now. Each of them restarts on another worker. */
	moveServiceTasks(state: WorkerState, now: number): void;
	/** Stops the service tasks of a worker that may move now and have somewhere to go. */
	moveServiceTasksTo(state: WorkerState, hasDestination: (run: TaskRun) => boolean, now: number): void;
	/**
	 * Stops the service tasks of a worker whose host is due for maintenance and still in use, as far as a worker of its pool
	 * that is not due has room for them.
	 */
	moveServiceTasksEarly(state: WorkerState, dueHosts: ReadonlySet<string>, now: number): void;
	/** Whether a stop that got no answer may be sent again: the other tasks of its step may have been lost since. */
	mayRepeatStop(workerKey: string, task: string, run: number, now: number): boolean;
	/** Whether the worker still runs service tasks. */
	hasServiceTasks(state: WorkerState): boolean;
	/** Stops tasks that can resume from a checkpoint on another worker. */
	stopCheckpointedTasks(state: WorkerState): void;
}

/** Creates the component that evacuates workers. */
export function createEvacuation(context: EngineContext, endRuns: RunTerminator): Evacuation {
	const isServiceRun = (run: TaskRun): boolean => run.task.step.spec.isLasting;

	/** Counts the other service tasks of a step that are unavailable for any reason. */
	const countUnavailable = (step: Step, task: Task, now: number): number =>
		step.tasks.filter(other => other !== task && taskAvailability(other, context, now) !== 'at-work').length;

	/**
	 * Checks the step's limit on unavailable tasks. A worker that drains by itself cannot be held back by it. A task that is
	 * listed as starting is no exception: it may be ready by the time its stop arrives.
	 */
	const mayMove = (state: WorkerState, { task }: TaskRun, now: number): boolean => {
		const { maximumAway } = task.step.spec;
		return (
			maximumAway === undefined ||
			state.entry?.isDraining === true ||
			countUnavailable(task.step, task, now) < maximumAway
		);
	};

	const moveTasks = (state: WorkerState, hasDestination: (run: TaskRun) => boolean, now: number): void => {
		if (context.journalStalledSince !== undefined) {
			// The tasks could not start elsewhere, since a start is stored before it is sent.
			return;
		}
		for (const run of state.runs.values()) {
			if (isServiceRun(run) && run.phase === 'running' && mayMove(state, run, now) && hasDestination(run)) {
				context.logDecision('task-moves', {
					task: run.task.name,
					run: run.run,
					worker: state.key,
					away: countUnavailable(run.task.step, run.task, now),
					maximumAway: run.task.step.spec.maximumAway,
					availability: taskAvailability(run.task, context, now),
					listAgeMs: Math.round(now - (state.lastListedAt ?? context.termBeganAt)),
					termAgeMs: Math.round(now - context.termBeganAt),
					isDraining: state.entry?.isDraining ?? false,
				});
				endRuns.stop(run, 'host-leaves');
			}
		}
	};

	/** Whether a worker of the pool that is not due for maintenance can receive a service task. */
	const hasRoomOutsideWave = ({ task }: TaskRun, pool: string | undefined, dueHosts: ReadonlySet<string>): boolean => {
		const { spec } = task.step;
		for (const state of context.workers.current()) {
			const { entry, key, usedResources, reachability, isListed, hasEnded } = state;
			if (
				entry?.pool === pool &&
				entry !== undefined &&
				!entry.isDraining &&
				!dueHosts.has(entry.host) &&
				!context.evacuated.has(entry.dataCentre) &&
				isListed &&
				!context.hosts.isCordoned(state) &&
				!hasEnded &&
				reachability === 'answering' &&
				fitsInto(effectiveDemand(spec), subtractResources(entry.resources, usedResources)) &&
				(spec.requiredLabel === undefined || entry.labels.includes(spec.requiredLabel)) &&
				(spec.maximumPerWorker === undefined || countRunsOnWorker(task.step, key) < spec.maximumPerWorker)
			) {
				return true;
			}
		}
		return false;
	};

	return {
		moveServiceTasks: (state, now) => moveTasks(state, () => true, now),
		moveServiceTasksTo: moveTasks,
		moveServiceTasksEarly: (state, dueHosts, now) =>
			moveTasks(state, run => hasRoomOutsideWave(run, state.entry?.pool, dueHosts), now),
		mayRepeatStop: (workerKey, task, runNumber, now) => {
			const state = context.workers.get(workerKey);
			const run = state?.runs.get(runKey(task, runNumber));
			if (state === undefined || run?.stopReason !== 'host-leaves') {
				return true;
			}
			return run.task.step.occurrence.job.state !== 'open' || mayMove(state, run, now);
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
