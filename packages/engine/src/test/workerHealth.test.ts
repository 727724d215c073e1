import { describe, expect, it } from 'vitest';
import { highestLatencyRatio, nextPace } from '../common/workers/pacing.js';
import { suspicionOf } from '../common/workers/workerSuspicion.js';
import type { EngineEffect } from '../common/engineMessages.js';
import {
	createEngineHarness,
	harnessJob,
	harnessQueue,
	harnessStep,
	type EngineHarness,
	type HarnessWorker,
} from './engineHarness.js';

const pools = [{ name: 'desk', isStandby: false, guardsRoom: false }];

function createTwoWorkerHarness(): { harness: EngineHarness; workers: readonly HarnessWorker[] } {
	const harness = createEngineHarness({ pools, queues: [harnessQueue('desk')] });
	return { harness, workers: ['w0', 'w1'].map(name => harness.addWorker(name, 'desk')) };
}

const effectsOfType = <Type extends EngineEffect['type']>(
	effects: readonly EngineEffect[],
	type: Type,
): readonly Extract<EngineEffect, { type: Type }>[] =>
	effects.filter((effect): effect is Extract<EngineEffect, { type: Type }> => effect.type === type);

describe('a worker whose tasks make no progress', () => {
	const startOneTask = (): { harness: EngineHarness; worker: HarnessWorker; task: string } => {
		const { harness, workers } = createTwoWorkerHarness();
		harness.submit('0000000000000001', 'desk', harnessJob(harnessStep({ count: 1 })));
		harness.advance(20);
		harness.confirmStarts();
		const worker = workers.find(({ running }) => running.size > 0);
		if (worker === undefined) {
			throw new Error('no task of the submitted job was started');
		}
		return { harness, worker, task: '0000000000000001.0.0.0' };
	};

	it('has them moved to another worker after a second without progress', () => {
		const { harness, worker, task } = startOneTask();
		harness.advance(1_300);
		const stops = effectsOfType(harness.takeEffects(), 'stop');
		expect(stops.map(stop => stop.task)).toEqual([task]);
		harness.endRun(worker, task, 'stopped');
		harness.advance(40);
		const starts = effectsOfType(harness.takeEffects(), 'start');
		expect(starts.map(({ run }) => run)).toEqual([2]);
		expect(starts[0]?.workerKey).not.toBe(`${worker.name}@1`);
	});

	it('keeps tasks that progress slowly', () => {
		const { harness, worker, task } = startOneTask();
		for (let percent = 1; percent < 40; percent++) {
			worker.running.set(task, { task, run: 1, checkpoint: '', percent, load: 0 });
			harness.advance(400);
		}
		expect(effectsOfType(harness.takeEffects(), 'stop')).toEqual([]);
	});

	it('keeps service tasks, which report no progress', () => {
		const { harness, workers } = createTwoWorkerHarness();
		harness.submit('0000000000000002', 'desk', harnessJob(harnessStep({ isLasting: true, count: 2 })));
		harness.advance(20);
		harness.confirmStarts();
		harness.advance(4_000);
		expect(effectsOfType(harness.takeEffects(), 'stop')).toEqual([]);
		expect(workers.reduce((sum, { running }) => sum + running.size, 0)).toBe(2);
	});
});

describe('a worker whose runs fail', () => {
	const createOutcome = (good: boolean, job: string, at: number) => ({ hasSucceeded: good, job, endedAt: at });

	it('is quarantined for a limited time after three failures of different jobs', () => {
		const outcomes = [createOutcome(false, 'a', 100), createOutcome(false, 'b', 200), createOutcome(false, 'c', 300)];
		expect(suspicionOf({ outcomes }, 400).quarantinedUntil).toBe(2_300);
		expect(suspicionOf({ outcomes }, 400).loadPenalty).toBe(2);
	});

	it('is not quarantined for repeated failures of a single job', () => {
		const outcomes = [1, 2, 3, 4].map(at => createOutcome(false, 'a', at));
		expect(suspicionOf({ outcomes }, 10)).toEqual({ loadPenalty: 0, quarantinedUntil: 0 });
	});

	it('is healthy again after a successful run, and once its failures have expired', () => {
		const outcomes = [
			createOutcome(false, 'a', 1),
			createOutcome(false, 'b', 2),
			createOutcome(true, 'c', 3),
			createOutcome(false, 'd', 4),
		];
		expect(suspicionOf({ outcomes }, 10).quarantinedUntil).toBe(0);
		expect(suspicionOf({ outcomes }, 7_000)).toEqual({ loadPenalty: 0, quarantinedUntil: 0 });
	});

	it('remains in use when most workers of its pool fail', () => {
		const { harness, workers } = createTwoWorkerHarness();
		for (let job = 0; job < 8; job++) {
			harness.submit(`000000000000000${job}`, 'desk', harnessJob(harnessStep({ count: 2 })));
			harness.advance(60);
			harness.confirmStarts();
			workers.forEach(worker => [...worker.running.keys()].forEach(task => harness.endRun(worker, task, 'failed')));
		}
		harness.takeEffects();
		harness.submit('00000000000000ff', 'desk', harnessJob(harnessStep({ count: 1 })));
		harness.advance(60);
		expect(effectsOfType(harness.takeEffects(), 'start').some(({ task }) => task.startsWith('00000000000000ff'))).toBe(
			true,
		);
	});
});

describe('best-effort tasks beside service tasks', () => {
	it('are paused when a service task exceeds its latency target, and resume in steps', () => {
		expect(nextPace(1.2, 100)).toBe(0);
		expect(nextPace(0.9, 100)).toBe(30);
		expect(nextPace(0.9, 0)).toBe(0);
		expect(nextPace(0.7, 30)).toBe(30);
		expect(nextPace(0.5, 30)).toBe(55);
		expect(nextPace(undefined, 0)).toBe(100);
	});

	it('are throttled by the tail latency that the worker reports', () => {
		const { harness, workers } = createTwoWorkerHarness();
		const serviceStep = harnessStep({ isLasting: true, count: 1, targetMs: 100, image: 'serve' });
		const bestEffortStep = harnessStep({ isLasting: true, count: 2, fills: true, image: 'fill' });
		harness.submit('0000000000000003', 'desk', harnessJob(serviceStep, bestEffortStep));
		harness.advance(40);
		harness.confirmStarts();
		harness.takeEffects();
		const serviceWorker = workers.find(({ running }) => running.has('0000000000000003.0.0.0'));
		if (serviceWorker === undefined) {
			throw new Error('the service task was not started');
		}
		const bestEffortTasks = [...serviceWorker.running.keys()].filter(task => task.startsWith('0000000000000003.0.1.'));
		expect(bestEffortTasks.length).toBeGreaterThan(0);
		serviceWorker.running.set('0000000000000003.0.0.0', {
			task: '0000000000000003.0.0.0',
			run: 1,
			checkpoint: '',
			percent: 100,
			load: 180,
		});
		harness.pollWorker(serviceWorker);
		const paces = effectsOfType(harness.takeEffects(), 'pace');
		expect(paces.map(({ task, percent }) => ({ task, percent }))).toEqual(
			bestEffortTasks.map(task => ({ task, percent: 0 })),
		);
		expect(highestLatencyRatio([])).toBeUndefined();
	});
});
