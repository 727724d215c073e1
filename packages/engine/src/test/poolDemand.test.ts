import { describe, expect, it } from 'vitest';
import { resourcesForWaiting } from '../common/pools/poolDemand.js';
import { createStartDelay } from '../common/scheduling/startDelay.js';
import { createEngineHarness, harnessJob, harnessQueue, harnessStep, type EngineHarness } from './engineHarness.js';

const oneCore = { milliCores: 1_000, memoryMb: 0, accelerators: 0 };
const requiredCores = (count: number, expectedMs: number, slackMs: number): number =>
	resourcesForWaiting(oneCore, count, expectedMs, slackMs).milliCores / 1_000;

describe('waiting tasks', () => {
	it('need room side by side when their jobs have no more time left than a host needs to come', () => {
		expect(requiredCores(10, 700, 1_900)).toBe(10);
		expect(requiredCores(10, 700, -500)).toBe(10);
	});

	it('can follow each other when their jobs can wait for longer', () => {
		// Of the 2 s that are left beyond the 1.9 s of a host half may be used: two tasks of 1 s after each other.
		expect(requiredCores(10, 1_000, 3_900)).toBe(5);
	});
});

describe('a store that is slow', () => {
	const pools = [
		{ name: 'desk', isStandby: false, guardsRoom: false },
		{ name: 'spare', isStandby: true, guardsRoom: false },
	];

	/** Hosts that are switched on for work that waits, after starts that took as long as given. */
	const hostsOrdered = (delayMs: number): number => {
		const harness: EngineHarness = createEngineHarness({ pools, queues: [harnessQueue('desk')] });
		const worker = harness.addWorker('w0', 'desk');
		harness.addWorker('w1', 'desk');
		const step = harnessStep({
			count: 1,
			estimateMs: 700,
			demand: { milliCores: 1_000, memoryMb: 1, accelerators: 0 },
		});
		for (let job = 0; job < 60; job++) {
			const id = `short-${job}`;
			harness.submit(id, 'desk', harnessJob(step));
			harness.advance(20);
			harness.advance(delayMs);
			harness.confirmStarts();
			harness.advance(700);
			for (const task of worker.running.keys()) {
				harness.endRun(worker, task, 'done');
			}
		}
		harness.listHosts([
			...['w0', 'w1'].map(name => ({ host: `host-${name}`, pool: 'desk', worker: name })),
			...Array.from({ length: 20 }, (_, index) => ({ host: `off-${index}`, pool: 'spare' })),
		]);
		harness.takeEffects();
		const wide = harnessStep({
			count: 60,
			estimateMs: 700,
			demand: { milliCores: 4_000, memoryMb: 1, accelerators: 0 },
		});
		harness.submit('wide', 'desk', harnessJob(wide));
		harness.advance(120);
		return harness.takeEffects().filter(({ type }) => type === 'host-order').length;
	};

	it('makes a pool ask for more hosts, since tasks hold their room while their start is written down', () => {
		expect(hostsOrdered(600)).toBeGreaterThan(hostsOrdered(0));
	});

	it('is known from some dozens of starts', () => {
		const delay = createStartDelay();
		for (let start = 0; start < 60; start++) {
			delay.record(400);
		}
		expect(delay.averageMs).toBeGreaterThan(300);
		expect(delay.averageMs).toBeLessThanOrEqual(400);
	});
});
