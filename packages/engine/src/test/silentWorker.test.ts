import { describe, expect, it } from 'vitest';
import type { StepSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import { createEngineHarness, harnessJob, harnessQueue, harnessStep, type HarnessWorker } from './engineHarness.js';
import { modelSettings } from './modelSettings.js';

const kinds: Readonly<Record<string, Partial<StepSpec>>> = {
	'plain tasks': {},
	'a gang': { isGang: true },
	'service tasks': { isLasting: true, maximumAway: 1 },
	'tasks that allow copies': { allowsCopies: true },
};

function setProgress({ running }: HarnessWorker, percent: number): void {
	running.forEach((run, task) => running.set(task, { ...run, percent }));
}

/** Starts a step of two tasks on one of two workers, and makes the workers that run them silent. */
function silenceWorkers(changes: Partial<StepSpec>) {
	const harness = createEngineHarness({
		pools: [{ name: 'desk', isStandby: false, guardsRoom: false }],
		queues: [harnessQueue('desk')],
	});
	const workers = ['w1', 'w2', 'w3'].map(name => harness.addWorker(name, 'desk'));
	harness.submit('job', 'desk', harnessJob(harnessStep({ estimateMs: 20_000, ...changes })));
	harness.advance(20);
	harness.confirmStarts();
	harness.advance(200);
	harness.takeEffects();
	const running = workers.filter(worker => worker.running.size > 0);
	if (changes.isLasting !== true) {
		running.forEach(worker => setProgress(worker, 10));
		harness.advance(100);
	}
	running.forEach(worker => harness.setSilent(worker, true));
	return { harness, running };
}

describe('a worker that is silent for a while and goes on with its work', () => {
	it.each(
		Object.entries(kinds).flatMap(([kind, changes]) => [1_000, 2_000, 2_800].map(ms => [kind, ms, changes] as const)),
	)('keeps %s through %i ms: nothing is started again, stopped or given up', (_kind, silentMs, changes) => {
		expect(silentMs).toBeLessThan(modelSettings.leaseMs);
		const { harness, running } = silenceWorkers(changes);
		const eventsBefore = harness.journal.length;
		harness.advance(silentMs);
		if (changes.isLasting !== true) {
			running.forEach(worker => setProgress(worker, 30));
		}
		running.forEach(worker => harness.setSilent(worker, false));
		harness.advance(500);
		expect(harness.takeEffects().filter(({ type }) => type === 'start' || type === 'stop')).toEqual([]);
		expect(harness.journal.slice(eventsBefore).filter(({ type }) => type !== 'settled' && type !== 'learned')).toEqual(
			[],
		);
		if (changes.isLasting !== true) {
			running.forEach(worker => [...worker.running.keys()].forEach(task => harness.endRun(worker, task, 'done')));
			expect(harness.engine.state('job', undefined)).toEqual({ type: 'state', state: 'done' });
		}
	});

	it('loses its tasks to other workers once its lease has run out', () => {
		const { harness } = silenceWorkers({});
		harness.advance(modelSettings.leaseMs + 3_000);
		expect(harness.takeEffects().filter(({ type }) => type === 'start')).toHaveLength(2);
	});
});
