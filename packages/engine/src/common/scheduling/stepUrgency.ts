import type { Step } from '../jobs/job.js';

/** What decides in which order ready steps get room. */
export interface StepUrgency {
	/** Jobs beyond their team's share go after all others that end. */
	readonly exceedsTeamShare: boolean;
	/** Lower goes first: lasting tasks, then the queues' priorities. */
	readonly rank: number;
	/** `objective`: the job can still meet its objective; `late`: it can still be of some use; `overdue`: neither. */
	readonly deadlineClass: 'objective' | 'late' | 'overdue';
	/** Time by which the step should start, on the daemon's monotonic clock. */
	readonly latestStart: number;
}

const deadlineClassOrder: Readonly<Record<StepUrgency['deadlineClass'], number>> = {
	objective: 0,
	late: 1,
	overdue: 2,
};

/** A job is of some use to its caller until this many times its objective. */
export const USEFUL_OBJECTIVE_MULTIPLE = 3;

/** What {@link stepUrgency} needs to know of a step's job. */
export interface JobTiming {
	readonly acceptedAt: number;
	/** Time that the job has from its acceptance to meet its objective, in milliseconds. */
	readonly objectiveMs: number;
	readonly priority: number;
	/** Whether the team had sent more than its share when the job came. */
	readonly exceedsTeamShare: boolean;
	/** For each step, the time to the end of the job along the longest chain. */
	readonly remainingPathsMs: readonly number[];
}

/** Works out how urgent a step is. */
export function stepUrgency(step: Step, timing: JobTiming, now: number): StepUrgency {
	const { acceptedAt, objectiveMs, priority, remainingPathsMs: chains } = timing;
	const exceedsTeamShare = timing.exceedsTeamShare && !step.spec.isLasting;
	const remainingPathMs = chains[step.number] ?? 0;
	const latestObjectiveStart = acceptedAt + objectiveMs - remainingPathMs;
	const latestUsefulStart = acceptedAt + USEFUL_OBJECTIVE_MULTIPLE * objectiveMs - remainingPathMs;
	const rank = step.spec.isLasting ? -1 : priority;
	if (step.spec.isLasting || now <= latestObjectiveStart) {
		return { exceedsTeamShare: exceedsTeamShare, rank, deadlineClass: 'objective', latestStart: latestObjectiveStart };
	}
	return now <= latestUsefulStart
		? { exceedsTeamShare: exceedsTeamShare, rank, deadlineClass: 'late', latestStart: latestUsefulStart }
		: { exceedsTeamShare: exceedsTeamShare, rank, deadlineClass: 'overdue', latestStart: latestUsefulStart };
}

/**
 * Orders steps under a peak above the pool's capacity. Earliest start time first alone makes every job late once the
 * queue is longer than the objective; jobs that cannot meet it any more therefore go behind those that can.
 */
export function compareUrgency(left: StepUrgency, right: StepUrgency): number {
	return (
		Number(left.exceedsTeamShare) - Number(right.exceedsTeamShare) ||
		left.rank - right.rank ||
		deadlineClassOrder[left.deadlineClass] - deadlineClassOrder[right.deadlineClass] ||
		left.latestStart - right.latestStart
	);
}
