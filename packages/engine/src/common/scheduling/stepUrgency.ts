import type { Step } from '../jobs/job.js';
import type { CriticalPath } from './criticalPath.js';

/** Sort key that decides in which order ready steps receive resources. */
export interface StepUrgency {
	/** Jobs beyond their team's share run after all others, except that service tasks are exempt. */
	readonly exceedsTeamShare: boolean;
	/** Lower values run first: service tasks, then tasks by the priority of their queue. */
	readonly rank: number;
	/** `objective`: the job can still meet its objective; `late`: its result can still be useful, or the job gives way to others; `overdue`: neither. */
	readonly deadlineClass: 'objective' | 'late' | 'overdue';
	/** Time by which the step should start, on the daemon's monotonic clock, in milliseconds. */
	readonly latestStart: number;
}

const deadlineClassOrder: Readonly<Record<StepUrgency['deadlineClass'], number>> = {
	objective: 0,
	late: 1,
	overdue: 2,
};

/** The result of a job is useful to the caller until this many times its objective. */
export const USEFUL_OBJECTIVE_MULTIPLE = 3;

/** Times and priority of a job from which {@link stepUrgency} derives the urgency of its steps. */
export interface JobTiming {
	/** Time of acceptance on the daemon's monotonic clock, in milliseconds. */
	readonly acceptedAt: number;
	/** Time from acceptance within which the job meets its objective, in milliseconds. */
	readonly objectiveMs: number;
	readonly priority: number;
	/** Whether the team had exceeded its share of submissions when the job was accepted. */
	readonly exceedsTeamShare: boolean;
	/** Critical path from the start of each step to the end of the job. */
	readonly remainingPaths: readonly CriticalPath[];
}

/**
 * Computes the urgency of a step.
 * @param startDelayMs expected time from the decision to start a task until its worker begins. Each step on the way to the
 * end of the job is delayed by it, and so is the answer to the caller, since an end is stored before it is shown.
 * @param now monotonic time in milliseconds
 * @param isDeferred whether the job gives way to those that can be in time, because the pool has no room for all of them
 */
export function stepUrgency(
	step: Step,
	timing: JobTiming,
	startDelayMs: number,
	now: number,
	isDeferred = false,
): StepUrgency {
	const { acceptedAt, objectiveMs, priority, remainingPaths } = timing;
	const exceedsTeamShare = timing.exceedsTeamShare && !step.spec.isLasting;
	const { lengthMs, steps } = remainingPaths[step.number] ?? { lengthMs: 0, steps: 1 };
	const remainingPathMs = lengthMs + (steps + 1) * startDelayMs;
	const latestObjectiveStart = acceptedAt + objectiveMs - remainingPathMs;
	const latestUsefulStart = acceptedAt + USEFUL_OBJECTIVE_MULTIPLE * objectiveMs - remainingPathMs;
	const rank = step.spec.isLasting ? -1 : priority;
	if (step.spec.isLasting || (now <= latestObjectiveStart && !isDeferred)) {
		return { exceedsTeamShare: exceedsTeamShare, rank, deadlineClass: 'objective', latestStart: latestObjectiveStart };
	}
	return now <= latestUsefulStart
		? { exceedsTeamShare: exceedsTeamShare, rank, deadlineClass: 'late', latestStart: latestUsefulStart }
		: { exceedsTeamShare: exceedsTeamShare, rank, deadlineClass: 'overdue', latestStart: latestUsefulStart };
}

/**
 * Compares steps, most urgent first. Ordering by the latest start time alone makes every job late as soon as the
 * backlog of a pool is longer than the objective. Jobs that can no longer meet their objective, and those for which the
 * pool has no room in time, therefore run after those that are to be in time.
 */
export function compareUrgency(left: StepUrgency, right: StepUrgency): number {
	return (
		Number(left.exceedsTeamShare) - Number(right.exceedsTeamShare) ||
		left.rank - right.rank ||
		deadlineClassOrder[left.deadlineClass] - deadlineClassOrder[right.deadlineClass] ||
		left.latestStart - right.latestStart
	);
}
