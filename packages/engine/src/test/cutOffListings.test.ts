import { describe, expect, it } from 'vitest';
import type { EngineEffect } from '../common/engineMessages.js';
import { createEngineHarness, harnessJob, harnessQueue, harnessStep, type EngineHarness } from './engineHarness.js';

const JOB = '00000000000000a1';
const TASKS = 8;
const LISTED_ENDS_LIMIT = 3;

function createHarness(): EngineHarness {
	return createEngineHarness({
		pools: [{ name: 'desk', isStandby: false, guardsRoom: false }],
		queues: [harnessQueue('desk')],
		listedEndsLimit: LISTED_ENDS_LIMIT,
	});
}

function startedTasks(effects: readonly EngineEffect[]): readonly string[] {
	return effects.flatMap(effect => (effect.type === 'start' ? [effect.task] : []));
}

describe('a worker with more ends than it lists at a time', () => {
	// Tasks whose ends waited behind the first 500 of the list ran a second time after an outage of the store.
	it('has none of its ended tasks started again while the journal stores nothing', () => {
		const harness = createHarness();
		const worker = harness.addWorker('w', 'desk');
		harness.submit(JOB, 'desk', harnessJob(harnessStep({ count: TASKS })));
		harness.advance(100);
		expect(harness.confirmStarts()).toBe(TASKS);
		harness.setJournalAvailable(false);
		[...worker.running.keys()].forEach(task => harness.endRun(worker, task, 'done'));
		harness.advance(4_500);
		harness.setJournalAvailable(true);
		harness.advance(2_000);
		expect(startedTasks(harness.takeEffects())).toEqual([]);
		expect(harness.engine.state(JOB, undefined)).toEqual({ type: 'state', state: 'done' });
	});

	it('has a task started again that it never began, once its list is complete', () => {
		const harness = createHarness();
		const worker = harness.addWorker('w', 'desk');
		harness.submit(JOB, 'desk', harnessJob(harnessStep({ count: TASKS })));
		harness.advance(100);
		harness.confirmStarts();
		const [lost = ''] = worker.running.keys();
		harness.setJournalAvailable(false);
		worker.running.delete(lost);
		[...worker.running.keys()].forEach(task => harness.endRun(worker, task, 'done'));
		harness.setJournalAvailable(true);
		harness.advance(2_000);
		expect(startedTasks(harness.takeEffects())).toEqual([lost]);
	});
});
