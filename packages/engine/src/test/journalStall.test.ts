import { describe, expect, it } from 'vitest';
import type { JournalEvent } from '../common/jobs/journalEvent.js';
import { createEngineHarness, harnessJob, harnessQueue, harnessStep, type EngineHarness } from './engineHarness.js';
import { readStoredJournal } from './storedJournal.js';

/** A pool with one worker, and an open queue. @param journal records of earlier leaders */
function createHarness(journal: readonly JournalEvent[] = []): EngineHarness {
	const harness = createEngineHarness({
		pools: [{ name: 'desk', isStandby: false, guardsRoom: false }],
		queues: [harnessQueue('desk')],
		journal,
	});
	const worker = harness.addWorker('w1', 'desk');
	harness.pollWorker(worker);
	return harness;
}

const job = harnessJob(harnessStep());

describe('submissions while the store keeps nothing for some seconds', () => {
	it('are refused at once with a time to return, whereas a job that is stored already is confirmed', () => {
		const harness = createHarness();
		expect(harness.submit('a', 'desk', job).type).toBe('accepted');
		harness.engine.journalStalled(harness.now - 800);
		expect(harness.submit('a', 'desk', job).type).toBe('accepted');
		expect(harness.submit('b', 'desk', job)).toMatchObject({
			type: 'refused',
			kind: 'log-unavailable',
			retryAfterMs: 1_000,
		});
		harness.engine.journalStalled(undefined);
		expect(harness.submit('b', 'desk', job).type).toBe('accepted');
	});

	it('leave no trace once they are withdrawn, and the same job may be submitted again', () => {
		const harness = createHarness();
		harness.submit('a', 'desk', job);
		harness.advance(20);
		const startsBefore = harness.takeEffects().filter(({ type }) => type === 'start').length;
		expect(startsBefore).toBe(2);
		harness.engine.withdraw('a', harness.now);
		expect(harness.engine.state('a', undefined)).toEqual({ type: 'unknown-job' });
		expect(harness.engine.pendingCount('desk')).toBe(0);
		// Orders that were about to be sent are void.
		expect(harness.engine.monitor.startDeadline('w1@1', 'a.0.0.0', 1, harness.now)).toBeUndefined();
		harness.advance(100);
		expect(harness.takeEffects().filter(({ type }) => type === 'stop' || type === 'start')).toEqual([]);
		expect(harness.submit('a', 'desk', job).type).toBe('accepted');
		harness.advance(20);
		expect(harness.takeEffects().filter(({ type }) => type === 'start')).toHaveLength(2);
	});

	// The withdrawal left nothing of the cancel, and a repeated submission started all tasks of the job.
	it('start nothing if they were cancelled before they are withdrawn, and submitted again', () => {
		const harness = createHarness();
		harness.setJournalAvailable(false);
		harness.submit('a', 'desk', job);
		expect(harness.engine.cancel('a', undefined, harness.now).type).toBe('cancelled');
		harness.engine.withdraw('a', harness.now);
		harness.setJournalAvailable(true);
		expect(harness.engine.state('a', undefined)).toEqual({ type: 'unknown-job' });
		const journal = harness.journal.filter(({ type }) => type !== 'accepted');
		for (const leader of [harness, createHarness(readStoredJournal(journal, 0))]) {
			expect(leader.submit('a', 'desk', job).type).toBe('accepted');
			leader.advance(100);
			expect(leader.takeEffects().filter(({ type }) => type === 'start')).toEqual([]);
			expect(leader.engine.state('a', undefined)).toEqual({ type: 'state', state: 'cancelled' });
		}
	});
});
