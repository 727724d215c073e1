import { createCounters } from '@chestnutwheel/base/common/counters.js';
import type { StepSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import { describe, expect, it } from 'vitest';
import { createEngineContext, type EngineContext } from '../common/engineContext.js';
import type { Job } from '../common/jobs/job.js';
import { createJobSnapshot } from '../common/jobs/jobSnapshot.js';
import type { JournalEvent } from '../common/jobs/journalEvent.js';
import { harnessJob, harnessStep } from './engineHarness.js';
import { modelSettings } from './modelSettings.js';

const JOB = 'job';
const TASK = `${JOB}.0.0.0`;

const accepted = (changes: Partial<StepSpec>): JournalEvent => ({
	type: 'accepted',
	job: {
		id: JOB,
		queue: 'desk',
		terms: { pool: 'desk', priority: 0, attempts: 3, objectiveFactor: 1, objectiveMs: 1 },
		team: undefined,
		acceptedAt: 1,
		spec: harnessJob(harnessStep({ count: 1, ...changes })),
	},
});

/** Reads the journal as a successor does. */
function readJournal(...events: readonly JournalEvent[]): EngineContext {
	const context = createEngineContext({
		settings: modelSettings,
		counters: createCounters(),
		logDecision: () => undefined,
		wallNow: () => 1,
	});
	events.forEach((event, offset) => context.apply(event, offset, 1));
	return context;
}

function jobOf(context: EngineContext): Job {
	const job = context.jobs.get(JOB);
	if (job === undefined) {
		throw new Error('the job is unknown');
	}
	return job;
}

/** Returns the event to which a compaction reduces the events of the job. */
const rewritten = (...events: readonly JournalEvent[]): JournalEvent =>
	createJobSnapshot(jobOf(readJournal(...events)));

const copiedTask: readonly JournalEvent[] = [
	accepted({ allowsCopies: true }),
	{ type: 'started', runs: [[TASK, 1, 'w1', 1, false]] },
	{ type: 'started', runs: [[TASK, 2, 'w2', 1, true]] },
];
const firstDone: JournalEvent = { type: 'ended', runs: [[TASK, 1, 'done', '']] };

describe('a successor that reads a job from its rewritten state', () => {
	// The copy was unknown to the successor, which neither stopped it nor counted its resources.
	it('knows a copy that is still executing after its task has completed', () => {
		const job = jobOf(readJournal(rewritten(...copiedTask, firstDone)));
		expect(job.state).toBe('done');
		expect(job.activeRuns).toBe(1);
		expect(job.occurrences.get(0)?.steps[0]?.tasks[0]?.runs).toMatchObject([{ run: 2, workerKey: 'w2@1' }]);
	});

	// A cancelled job was shown as done after a change of leader.
	it.each<JournalEvent>([
		{ type: 'cancelled', job: JOB },
		{ type: 'failed', job: JOB },
	])('shows a job whose last task completed afterwards as $type', end => {
		expect(jobOf(readJournal(rewritten(...copiedTask, end, firstDone))).state).toBe(end.type);
	});
});

describe('a gang of which two members report the failure of one run, before and after the job is rewritten', () => {
	const other = `${JOB}.0.0.1`;
	const failure = (task: string): JournalEvent => ({ type: 'ended', runs: [[task, 1, 'failed', '']] });

	// The job failed after fewer attempts than its queue allows.
	it('counts it once', () => {
		const startedGang: JournalEvent = {
			type: 'started',
			runs: [TASK, other].map(task => [task, 1, 'w1', 1, false] as const),
		};
		const gang = rewritten(accepted({ count: 2, isGang: true }), startedGang, failure(TASK));
		const { occurrences } = jobOf(readJournal(gang, failure(other)));
		expect(occurrences.get(0)?.steps[0]?.tasks.map(({ failures }) => failures)).toEqual([1, 1]);
	});
});

describe('a successor that has skipped the event that ended a job', () => {
	const started: JournalEvent = { type: 'started', runs: [[TASK, 1, 'w1', 1, false]] };
	const closed: JournalEvent = { type: 'closed', jobs: [[JOB, 'desk', '', 'cancelled', 1]] };
	const cancelled = rewritten(accepted({}), started, { type: 'cancelled', job: JOB });

	// The job stayed open, and its tasks were started after its cancel.
	it.each([
		['closed', closed],
		['rewritten', cancelled],
	])('does not keep the job open once it reads that it was %s', (_name, event) => {
		const context = readJournal(accepted({}), event);
		expect(jobOf(context).state).toBe('cancelled');
		expect(context.openJobCount).toBe(0);
	});

	it('does not end a job that is rewritten as open', () => {
		const context = readJournal(accepted({}), rewritten(accepted({}), started));
		expect(jobOf(context).state).toBe('open');
		expect(context.openJobCount).toBe(1);
	});
});
