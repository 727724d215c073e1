import type { JobSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import type { JobTiming } from '../scheduling/stepUrgency.js';
import { parseWorkerKey } from '../workers/workerKey.js';
import { createJob, type Job, type RecordPlace } from './job.js';
import type { AcceptedJob, ClosedJob, JobEvent, QueuePolicy, TaskSnapshot, StartedRun } from './journalEvent.js';

/** Returns a journal event from which the whole state of a job can be rebuilt. */
export function createJobSnapshot(job: Job): JobEvent {
	const tasks: TaskSnapshot[] = [];
	const active: StartedRun[] = [];
	for (const occurrence of job.occurrences.values()) {
		for (const step of occurrence.steps) {
			for (const task of step.tasks) {
				const { index, lastRun, failures, checkpoint, state, runs, name } = task;
				if (lastRun > 0 || state === 'done') {
					const isDone = state === 'done' ? 1 : 0;
					const known = [occurrence.number, step.number, index, lastRun, failures, checkpoint, isDone] as const;
					const { crashes, provenCrashes, startCrashes } = task;
					if (task.givenUpRuns.length > 0) {
						const counts = [crashes, provenCrashes, startCrashes, step.lastFailedGangRun] as const;
						tasks.push([...known, ...counts, [...task.givenUpRuns]]);
					} else if (step.lastFailedGangRun > 0) {
						tasks.push([...known, crashes, provenCrashes, startCrashes, step.lastFailedGangRun]);
					} else {
						tasks.push(crashes > 0 ? [...known, crashes, provenCrashes, startCrashes] : known);
					}
				}
				for (const run of runs) {
					const { worker, incarnation: life } = parseWorkerKey(run.workerKey);
					active.push([name, run.run, worker, life, run.isSpeculative]);
				}
			}
		}
	}
	return { type: 'rewritten', job: job.accepted, state: job.state, tasks, active };
}

/** Returns the compact record of an ended job; `undefined` while the job is open or a run of it may be executing. */
export function toClosedJob({ accepted, state, activeRuns }: Job): ClosedJob | undefined {
	const { id, queue, team, acceptedAt } = accepted;
	return state === 'open' || activeRuns > 0 ? undefined : [id, queue, team ?? '', state, acceptedAt];
}

/** Placeholders: a closed job starts no tasks, so neither its steps nor its queue policy are kept. */
const closedSpec: JobSpec = { payload: '', steps: [], repeats: 0, firstDueAt: 0, intervalMs: 0 };
const closedPolicy: QueuePolicy = { pool: '', priority: 0, attempts: 0, objectiveFactor: 0, objectiveMs: 0 };
const closedTiming: JobTiming = {
	acceptedAt: 0,
	objectiveMs: 0,
	priority: 0,
	exceedsTeamShare: false,
	remainingPaths: [],
};

/** Creates a job of which only the state is known. @param record place of its journal record */
export function createClosedJob(
	known: Pick<AcceptedJob, 'id' | 'queue' | 'team' | 'acceptedAt'>,
	record: RecordPlace,
): Job {
	return createJob({ ...known, terms: closedPolicy, spec: closedSpec }, closedTiming, record);
}
