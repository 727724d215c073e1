import { describe, expect, it } from 'vitest';
import { createEngineHarness, defaultWorkerEntry, harnessJob, harnessQueue, harnessStep } from './engineHarness.js';

describe('a new leader that has reached only some workers of a pool', () => {
	// The job was refused for good, since the only worker that had answered was smaller than the one that could run it.
	it('does not refuse a job as too large for the pool', () => {
		const harness = createEngineHarness({
			pools: [{ name: 'desk', isStandby: false, guardsRoom: false }],
			queues: [harnessQueue('desk')],
		});
		const small = { milliCores: 4_000, memoryMb: 8_000, accelerators: 0 };
		const large = { milliCores: 32_000, memoryMb: 64_000, accelerators: 0 };
		const entry = { ...defaultWorkerEntry, worker: 'large', host: 'host-large', pool: 'desk', resources: large };
		// Both entries are read at once; the answer of the large worker is still to come.
		harness.engine.workersChanged([{ key: 'large', offset: 0, value: entry }], undefined, harness.now);
		harness.addWorker('small', 'desk', { resources: small, host: 'host-small' });
		const demand = { milliCores: 16_000, memoryMb: 16_000, accelerators: 0 };
		expect(harness.submit('00000000000000a1', 'desk', harnessJob(harnessStep({ demand }))).type).toBe('accepted');
	});
});
