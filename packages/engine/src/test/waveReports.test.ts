import { describe, expect, it } from 'vitest';
import type { EngineEffect } from '../common/engineMessages.js';
import { createEngineHarness, harnessQueue, type EngineHarness } from './engineHarness.js';

const options = { pools: [{ name: 'desk', isStandby: false, guardsRoom: false }], queues: [harnessQueue('desk')] };

const wave = { wave: 1, hosts: ['host-1'], durationMs: 60_000, maximumDown: 1 };

function reportedStates(harness: EngineHarness): readonly string[] {
	const reports = harness
		.takeEffects()
		.filter((effect): effect is Extract<EngineEffect, { type: 'report-wave' }> => effect.type === 'report-wave');
	return reports.map(({ state }) => state);
}

describe('a new leader of a fleet whose wave is complete', () => {
	// It reported each wave as running and as done at once, and the two reports could be stored in any order.
	it('does not report the wave as running', () => {
		const harness = createEngineHarness({
			...options,
			journal: [
				{ type: 'host-settled', host: 'host-1', action: { type: 'upkeep', wave: 1 }, isDone: true, last: undefined },
			],
		});
		harness.addWorker('w', 'desk', { host: 'host-1' });
		harness.engine.wavesChanged([wave], harness.now);
		harness.listHosts([{ host: 'host-1', pool: 'desk', worker: 'w' }]);
		harness.advance(1_000);
		expect(reportedStates(harness)).toEqual(['done']);
	});
});

describe('a new leader of a fleet whose wave is not complete', () => {
	it('reports the wave as running, once', () => {
		const harness = createEngineHarness(options);
		harness.addWorker('w', 'desk', { host: 'host-1' });
		harness.engine.wavesChanged([wave], harness.now);
		harness.listHosts([{ host: 'host-1', pool: 'desk', worker: 'w' }]);
		harness.advance(1_000);
		expect(reportedStates(harness)).toEqual(['running']);
	});
});
