import { describe, expect, it } from 'vitest';
import type { JournalEvent } from '../common/jobs/journalEvent.js';
import { createEngineHarness, harnessJob, harnessQueue, harnessStep } from './engineHarness.js';

const job = harnessJob(harnessStep());

/** A pool with one worker, an open queue, and the decision lines that name a job. */
function createHarness(journal: readonly JournalEvent[] = []) {
	const lines: Record<string, unknown>[] = [];
	const harness = createEngineHarness({
		pools: [{ name: 'desk', isStandby: false, guardsRoom: false }],
		queues: [harnessQueue('desk')],
		journal,
		logDecision: (decision, fields) => lines.push({ decision, ...fields }),
	});
	harness.pollWorker(harness.addWorker('w1', 'desk'));
	return { harness, linesOf: (decision: string) => lines.filter(line => line.decision === decision) };
}

describe('the lines about a job', () => {
	// A start after an acknowledged cancel could not be told from one by a leader that had never read the cancel.
	it('name the term at the first start of an accepted job, once for all of its tasks', () => {
		const { harness, linesOf } = createHarness();
		harness.submit('a', 'desk', job);
		harness.advance(100);
		expect(harness.confirmStarts()).toBe(2);
		expect(linesOf('job-started')).toEqual([
			{ decision: 'job-started', job: 'a', queue: 'desk', term: 10, isFromJournal: false, state: 'queued' },
		]);
	});

	// The successor of the leader that acknowledged the cancel starts a task that its predecessor had started already.
	it('tell a job of an earlier leader, and that it had started, from a new one', () => {
		const { harness: predecessor } = createHarness();
		predecessor.submit('a', 'desk', job);
		predecessor.advance(100);
		const runs = predecessor.journal.flatMap(event => (event.type === 'started' ? event.runs : []));
		expect(runs).toHaveLength(2);
		const ended: JournalEvent = { type: 'ended', runs: runs.map(([task, run]) => [task, run, 'failed', '']) };
		const { harness, linesOf } = createHarness([...predecessor.journal, ended]);
		harness.advance(100);
		expect(linesOf('job-started')).toEqual([
			{ decision: 'job-started', job: 'a', queue: 'desk', term: 10, isFromJournal: true, state: 'running' },
		]);
	});

	// A cancel that was answered with "no such job" left no line at the leader.
	it('include a cancel of a job that the leader does not know, with its term', () => {
		const { harness, linesOf } = createHarness();
		harness.engine.cancel('a', undefined, harness.now);
		expect(linesOf('cancel-of-unknown-job')).toEqual([{ decision: 'cancel-of-unknown-job', job: 'a', term: 10 }]);
	});

	// Two leaders may decide about one job, and the lines did not show which of them came later.
	it('name the term of a cancel and of a refusal', () => {
		const { harness, linesOf } = createHarness();
		harness.submit('a', 'desk', job);
		harness.engine.cancel('a', undefined, harness.now);
		harness.submit('b', 'none', job);
		expect(linesOf('job-cancelled')).toEqual([{ decision: 'job-cancelled', job: 'a', term: 10 }]);
		expect(linesOf('job-refused')).toMatchObject([{ job: 'b', kind: 'unknown-queue', term: 10 }]);
	});
});
