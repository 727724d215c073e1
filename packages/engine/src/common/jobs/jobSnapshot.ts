import type { JobSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import type { JobTiming } from '../scheduling/stepUrgency.js';
import { parseWorkerKey } from '../workers/workerKey.js';
import { createJob, type Job } from './job.js';
import type { AcceptedJob, ClosedJob, JobEvent, QueuePolicy, TaskSnapshot, StartedRun } from './journalEvent.js';

/** Everything needed to rebuild a job. */
export function createJobSnapshot(job: Job): JobEvent {
	const tasks: TaskSnapshot[] = [];
	const active: StartedRun[] = [];
	for (const occurrence of job.occurrences.values()) {
		for (const step of occurrence.steps) {
			for (const { index, lastRun, failures, checkpoint, state, runs, name } of step.tasks) {
				if (lastRun > 0 || state === 'done') {
					const isDone = state === 'done' ? 1 : 0;
					tasks.push([occurrence.number, step.number, index, lastRun, failures, checkpoint, isDone]);
				}
				for (const run of runs) {
					const { worker, life } = parseWorkerKey(run.workerKey);
					active.push([name, run.run, worker, life, run.isSpeculative]);
				}
			}
		}
	}
	return { type: 'rewritten', job: job.accepted, state: job.state, tasks, active };
}

/** The state of a job that has ended and of which nothing can be at work; `undefined` for any other job. */
export function toClosedJob({ accepted, state, activeRuns }: Job): ClosedJob | undefined {
	const { id, queue, team, acceptedAt } = accepted;
	return state === 'open' || activeRuns > 0 ? undefined : [id, queue, team ?? '', state, acceptedAt];
}

/** Nothing of a closed job is started, so that neither its steps nor the rules of its queue are needed. */
const closedSpec: JobSpec = { payload: '', steps: [], repeats: 0, firstDueAt: 0, intervalMs: 0 };
const closedPolicy: QueuePolicy = { pool: '', priority: 0, attempts: 0, objectiveFactor: 0, objectiveMs: 0 };
const closedTiming: JobTiming = {
	acceptedAt: 0,
	objectiveMs: 0,
	priority: 0,
	exceedsTeamShare: false,
	remainingPathsMs: [],
};

/** A job of which only the state is known. */
export function createClosedJob(
	known: Pick<AcceptedJob, 'id' | 'queue' | 'team' | 'acceptedAt'>,
	baseOffset: number,
	now: number,
): Job {
	return createJob({ ...known, terms: closedPolicy, spec: closedSpec }, closedTiming, baseOffset, now);
}
