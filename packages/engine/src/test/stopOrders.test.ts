import { describe, expect, it } from 'vitest';
import type { ListedRun } from '@chestnutwheel/ports/common/workerService.js';
import type { EngineEffect } from '../common/engineMessages.js';
import type { JournalEvent } from '../common/jobs/journalEvent.js';
import {
	createEngineHarness,
	harnessJob,
	harnessQueue,
	harnessStep,
	type EngineHarness,
	type HarnessWorker,
} from './engineHarness.js';

const JOB = '00000000000000c1';
const TASK = `${JOB}.0.0.0`;
const WORKER_KEY = 'w@1';

const listedRun: ListedRun = { task: TASK, run: 1, checkpoint: '', percent: 100, load: undefined };

function createHarness(journal: readonly JournalEvent[] = []): EngineHarness {
	return createEngineHarness({
		pools: [{ name: 'desk', isStandby: false, guardsRoom: false }],
		queues: [harnessQueue('desk')],
		journal,
	});
}

const stopsOf = (harness: EngineHarness): readonly Extract<EngineEffect, { type: 'stop' }>[] =>
	harness.takeEffects().flatMap(effect => (effect.type === 'stop' ? [effect] : []));

/** Starts a job with one service task and cancels it. */
function cancelRunningJob(): { readonly harness: EngineHarness; readonly worker: HarnessWorker } {
	const harness = createHarness();
	const worker = harness.addWorker('w', 'desk');
	harness.submit(JOB, 'desk', harnessJob(harnessStep({ count: 1, isLasting: true })));
	harness.advance(100);
	harness.confirmStarts();
	harness.advance(100);
	harness.takeEffects();
	harness.engine.cancel(JOB, undefined, harness.now);
	harness.advance(20);
	return { harness, worker };
}

describe('the stop of a run of a cancelled job', () => {
	it('is ordered once while it is being sent', () => {
		const { harness } = cancelRunningJob();
		harness.advance(2_000);
		expect(stopsOf(harness)).toMatchObject([{ workerKey: WORKER_KEY, task: TASK, run: 1, isRepeat: false }]);
	});

	// After the eighth attempt nothing stopped the run any more, and polls extended its lease.
	it('is ordered again when it was abandoned and the worker still lists the run', () => {
		const { harness } = cancelRunningJob();
		stopsOf(harness);
		harness.engine.monitor.stopAbandoned(WORKER_KEY, TASK, 1);
		harness.advance(100);
		expect(stopsOf(harness)).toMatchObject([{ task: TASK, run: 1, isRepeat: true }]);
	});

	it('is ordered again when the worker lists the run long after it has answered', () => {
		const { harness } = cancelRunningJob();
		stopsOf(harness);
		harness.engine.monitor.stopAnswered(WORKER_KEY, TASK, 1, { type: 'done', clockMs: harness.now }, harness.now);
		harness.advance(900);
		expect(stopsOf(harness)).toEqual([]);
		harness.advance(300);
		expect(stopsOf(harness)).toMatchObject([{ task: TASK, isRepeat: true }]);
	});

	// The new leader ordered the stop before it knew the address of the worker, and never again.
	it('is ordered again by a new leader that could not send it at the begin of its term', () => {
		const { harness: former } = cancelRunningJob();
		const harness = createHarness(former.journal);
		expect(stopsOf(harness)).toHaveLength(1);
		harness.engine.monitor.stopAbandoned(WORKER_KEY, TASK, 1);
		harness.addWorker('w', 'desk', {}, [listedRun]);
		expect(stopsOf(harness)).toMatchObject([{ workerKey: WORKER_KEY, task: TASK, run: 1 }]);
	});

	it('is not ordered again when the run has ended', () => {
		const { harness, worker } = cancelRunningJob();
		harness.engine.monitor.stopAnswered(WORKER_KEY, TASK, 1, { type: 'done', clockMs: harness.now }, harness.now);
		harness.endRun(worker, TASK, 'stopped');
		stopsOf(harness);
		harness.advance(3_000);
		expect(stopsOf(harness)).toEqual([]);
	});
});
