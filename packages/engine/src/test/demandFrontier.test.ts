import fc from 'fast-check';
import { createCounters } from '@chestnutwheel/base/common/counters.js';
import type { StepSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import { fitsInto } from '@chestnutwheel/ports/common/resources.js';
import { describe, expect, it } from 'vitest';
import { createDemandFrontier } from '../common/scheduling/demandFrontier.js';
import {
	createEngineHarness,
	harnessJob,
	harnessQueue,
	harnessStep,
	type EngineHarnessOptions,
} from './engineHarness.js';

const demands = fc.record({
	milliCores: fc.integer({ min: 0, max: 8 }),
	memoryMb: fc.integer({ min: 0, max: 8 }),
	accelerators: fc.integer({ min: 0, max: 1 }),
});

describe('a set of demands that cannot be met', () => {
	it('covers exactly the demands that are at least as large as one of them', () => {
		fc.assert(
			fc.property(fc.array(demands), fc.array(demands), (added, asked) => {
				const frontier = createDemandFrontier();
				added.forEach(demand => frontier.add(demand));
				for (const demand of asked) {
					expect(frontier.covers(demand)).toBe(added.some(known => fitsInto(known, demand)));
				}
			}),
			{ seed: 26 },
		);
	});
});

describe('a scheduling pass', () => {
	const options: EngineHarnessOptions = {
		pools: [{ name: 'desk', isStandby: false, guardsRoom: false }],
		queues: [harnessQueue('desk')],
	};
	const jobId = (number: number): string => number.toString(16).padStart(16, '0');
	const step = (milliCores: number, memoryMb: number, changes: Partial<StepSpec> = {}): StepSpec =>
		harnessStep({ demand: { milliCores, memoryMb, accelerators: 0 }, ...changes });

	// Each pass looked at all workers for each step of the backlog, which took the leader up to half of its processor time.
	it('does not search for each step of a backlog that fits on no worker', () => {
		const counters = createCounters();
		const harness = createEngineHarness({ ...options, counters });
		// Some workers have only processors left and the others only memory.
		for (let number = 0; number < 10; number++) {
			harness.addWorker(`processors-${number}`, 'desk', { labels: ['processors'] });
			harness.addWorker(`memory-${number}`, 'desk', { labels: ['memory'] });
		}
		const full = harnessJob(
			step(1_000, 20_000, { count: 30, requiredLabel: 'processors' }),
			step(10_000, 1_000, { count: 30, requiredLabel: 'memory' }),
		);
		harness.submit(jobId(1), 'desk', full);
		harness.advance(100);
		expect(harness.confirmStarts()).toBe(60);
		for (let job = 2; job < 100; job++) {
			harness.submit(jobId(job), 'desk', harnessJob(step(5_000 + 10 * (job % 7), 10_000, { count: 1 })));
		}
		harness.advance(20);
		const searchesBefore = counters.value('placement_searches_total');
		harness.submit(jobId(1_000), 'desk', harnessJob(step(5_000, 10_000, { count: 1 })));
		harness.advance(20);
		expect(counters.value('placement_searches_total') - searchesBefore).toBeLessThan(10);
	});

	it('searches for a step without constraints after an equally large one that finds no worker with its label', () => {
		const harness = createEngineHarness(options);
		harness.addWorker('w0', 'desk');
		harness.submit(jobId(1), 'desk', harnessJob(harnessStep({ count: 1, requiredLabel: 'rare' })));
		harness.submit(jobId(2), 'desk', harnessJob(harnessStep({ count: 1 })));
		harness.advance(100);
		const starts = harness.takeEffects().filter(({ type }) => type === 'start');
		expect(starts).toHaveLength(1);
	});
});
