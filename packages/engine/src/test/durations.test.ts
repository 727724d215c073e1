import { describe, expect, it } from 'vitest';
import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { remainingCriticalPaths, longestPath } from '../common/scheduling/criticalPath.js';
import { createDurationEstimator, type DurationEstimator } from '../common/scheduling/durationEstimator.js';
import { createEngineHarness, harnessJob, harnessQueue, harnessStep } from './engineHarness.js';

const QUEUE = 'redraft';

/** Records steps whose declared durations deviate far more than their actual durations differ. */
function recordSteps(durations: DurationEstimator, steps: number): void {
	const random = createSeededRandom(7);
	// The sum of twelve uniform values is nearly normal with variance 1.
	const normalDeviation = (spread: number): number =>
		spread * Array.from({ length: 12 }, () => random.next()).reduce((sum, value) => sum + value, -6);
	for (let step = 0; step < steps; step++) {
		const meanMs = 2_000 * Math.exp(normalDeviation(0.5));
		const times = Array.from({ length: 8 }, () => meanMs * Math.exp(normalDeviation(0.3)));
		durations.record(QUEUE, meanMs * Math.exp(normalDeviation(0.9)), times);
	}
}

describe('inaccurate declared durations', () => {
	it('are weighted by their correlation with actual durations', () => {
		const durations = createDurationEstimator();
		recordSteps(durations, 200);
		// The regression of actual on declared durations has the slope 0.25 / (0.25 + 0.81) on the logarithmic scale.
		const ratio = durations.expectedMs(QUEUE, 8_000) / durations.expectedMs(QUEUE, 2_000);
		expect(ratio).toBeGreaterThan(4 ** 0.1);
		expect(ratio).toBeLessThan(4 ** 0.4);
	});

	it('are used unchanged while no step has been recorded', () => {
		expect(createDurationEstimator().expectedMs(QUEUE, 700)).toBe(700);
		expect(createDurationEstimator().expectedMs(QUEUE, 0)).toBe(1_000);
	});
});

describe('the duration of a step with many tasks', () => {
	it('is the expected maximum of its tasks', () => {
		const durations = createDurationEstimator();
		recordSteps(durations, 200);
		const ratio = durations.expectedMaximumMs(QUEUE, 2_000, 8) / durations.expectedMs(QUEUE, 2_000);
		// exp(0.3 x 1.42): the expected maximum of eight tasks with a standard deviation of 0.3.
		expect(ratio).toBeGreaterThan(1.35);
		expect(ratio).toBeLessThan(1.75);
		expect(durations.expectedMaximumMs(QUEUE, 2_000, 1)).toBe(durations.expectedMs(QUEUE, 2_000));
	});

	it('adds to the critical path of its job', () => {
		const times = [300, 700, 400];
		const step = harnessStep();
		const spec = harnessJob(step, { ...step, after: [0] }, { ...step, after: [0] });
		const paths = remainingCriticalPaths(spec, (_step, number) => times[number] ?? 0);
		expect(paths.map(({ lengthMs }) => lengthMs)).toEqual([1_000, 700, 400]);
		expect(paths.map(({ steps }) => steps)).toEqual([2, 1, 1]);
		expect(longestPath(paths)).toEqual({ lengthMs: 1_000, steps: 2 });
	});

	it('updates the objective of its job once the step has ended', () => {
		const decisions: Readonly<Record<string, unknown>>[] = [];
		const harness = createEngineHarness({
			pools: [{ name: 'desk', isStandby: false, guardsRoom: false }],
			queues: [harnessQueue('desk')],
			logDecision: (decision, fields) => decision === 'job-done' && decisions.push(fields),
		});
		const worker = harness.addWorker('w0', 'desk');
		harness.submit('0000000000000001', 'desk', harnessJob(harnessStep({ count: 1, estimateMs: 100 })));
		harness.advance(40);
		harness.confirmStarts();
		harness.advance(2_000);
		harness.endRun(worker, '0000000000000001.0.0.0', 'done');
		// 1.6 times the measured 2 s of the task, plus 600 ms.
		expect(decisions).toEqual([expect.objectContaining({ objectiveMs: 3_800 })]);
	});
});
