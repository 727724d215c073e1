import type { WorkerEntry } from '@chestnutwheel/ports/common/workerService.js';
import { describe, expect, it } from 'vitest';
import {
	createEngineHarness,
	defaultWorkerEntry,
	harnessJob,
	harnessQueue,
	harnessResources,
	harnessStep,
	type EngineHarness,
} from './engineHarness.js';

const pools = [{ name: 'desk', isStandby: false, guardsRoom: false }];

const address: Partial<WorkerEntry> = { worker: 'w0', host: 'host-w0', pool: 'desk', address: '10.0.0.1:1' };

/** Eight cores per task, so that a worker of 32 cores holds four. */
const step = harnessStep({ count: 8, demand: { milliCores: 8_000, memoryMb: 1_000, accelerators: 0 } });

function createSingleWorkerHarness(): EngineHarness {
	const harness = createEngineHarness({ pools, queues: [harnessQueue('desk')] });
	harness.addWorker('w0', 'desk', address);
	harness.listHosts([{ host: 'host-w0', pool: 'desk', worker: 'w0' }]);
	return harness;
}

/** Changes the cores that the worker offers. */
function setCores(harness: EngineHarness, milliCores: number): void {
	const value: WorkerEntry = { ...defaultWorkerEntry, ...address, resources: { ...harnessResources, milliCores } };
	harness.engine.workersChanged([{ key: 'w0', offset: 0, value }], undefined, harness.now);
}

function countStarts(harness: EngineHarness): number {
	harness.advance(100);
	return harness.confirmStarts();
}

describe('a worker whose resources shrink and grow while it runs', () => {
	// A start beyond the resources that are left overloads a worker that does not guard them itself.
	it('gets no task that exceeds what is left, counting the tasks that it still runs', () => {
		const harness = createSingleWorkerHarness();
		harness.submit('job', 'desk', harnessJob(step));
		expect(countStarts(harness)).toBe(4);
		setCores(harness, 16_000);
		harness.engine.monitor.stopAnswered('w0@1', 'job.0.0.0', 1, { type: 'done', clockMs: harness.now }, harness.now);
		expect(countStarts(harness)).toBe(0);
	});

	// A start that had waited for the journal was sent by the resources of the time of its decision.
	it('gets no task whose start waited for the journal while the resources shrank', () => {
		const harness = createSingleWorkerHarness();
		harness.setJournalAvailable(false);
		harness.submit('job', 'desk', harnessJob(step));
		harness.advance(100);
		setCores(harness, 16_000);
		harness.setJournalAvailable(true);
		expect(countStarts(harness)).toBe(2);
	});

	it('gets no task whose start waited for the journal while it began to drain', () => {
		const harness = createSingleWorkerHarness();
		harness.setJournalAvailable(false);
		harness.submit('job', 'desk', harnessJob(step));
		harness.advance(100);
		const value: WorkerEntry = { ...defaultWorkerEntry, ...address, isDraining: true };
		harness.engine.workersChanged([{ key: 'w0', offset: 0, value }], undefined, harness.now);
		harness.setJournalAvailable(true);
		expect(countStarts(harness)).toBe(0);
	});

	it('gets tasks again as far as the grown resources allow', () => {
		const harness = createSingleWorkerHarness();
		setCores(harness, 8_000);
		harness.submit('job', 'desk', harnessJob(step));
		expect(countStarts(harness)).toBe(1);
		setCores(harness, 24_000);
		expect(countStarts(harness)).toBe(2);
	});

	// A job that the pool can hold at its full size would be refused for good.
	it('does not have jobs refused that fit once the resources have grown again', () => {
		const harness = createSingleWorkerHarness();
		setCores(harness, 4_000);
		expect(harness.submit('job', 'desk', harnessJob(step)).type).toBe('accepted');
	});

	// Had only the start to that worker been withheld, the other members would have waited for it in vain.
	it('gets no member of a gang if the worker of another member has begun to drain', () => {
		const harness = createSingleWorkerHarness();
		harness.addWorker('w1', 'desk');
		harness.setJournalAvailable(false);
		const member = { ...step, count: 2, isGang: true, demand: { ...step.demand, milliCores: 24_000 } };
		harness.submit('job', 'desk', harnessJob(member));
		harness.advance(100);
		const value: WorkerEntry = { ...defaultWorkerEntry, ...address, isDraining: true };
		harness.engine.workersChanged([{ key: 'w0', offset: 0, value }], undefined, harness.now);
		harness.setJournalAvailable(true);
		expect(countStarts(harness)).toBe(0);
	});
});
