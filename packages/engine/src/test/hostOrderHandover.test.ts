import { describe, expect, it } from 'vitest';
import type { MaintenanceWave } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { EngineEffect } from '../common/engineMessages.js';
import type { JournalEvent } from '../common/jobs/journalEvent.js';
import { createEngineHarness, harnessJob, harnessQueue, harnessStep, type EngineHarness } from './engineHarness.js';
import { readStoredJournal } from './storedJournal.js';

const pools = [{ name: 'desk', isStandby: false, guardsRoom: false }];
const queues = [harnessQueue('desk')];
const wave: MaintenanceWave = { wave: 1, hosts: ['host-1'], durationMs: 60_000, maximumDown: 1 };

/** A job whose tasks fill two hosts. */
const wideJob = harnessJob(harnessStep({ count: 8, demand: { milliCores: 8_000, memoryMb: 1_000, accelerators: 0 } }));

const isHostOrder = ({ type }: EngineEffect): boolean => type === 'host-order';

/** Creates a leader of three hosts. @param workers the workers on them */
function createFleet(workers: readonly string[], journal: readonly JournalEvent[], now: number): EngineHarness {
	const harness = createEngineHarness({ pools, queues, journal, now });
	workers.forEach((name, host) => harness.addWorker(name, 'desk', { host: `host-${host}` }));
	harness.listHosts(workers.map((worker, host) => ({ host: `host-${host}`, pool: 'desk', worker })));
	harness.engine.wavesChanged([wave], harness.now);
	return harness;
}

/** Lets a leader take a host down for maintenance. @returns its journal after the host service has accepted the order */
function maintainHost(): readonly JournalEvent[] {
	const harness = createFleet(['w0', 'w1', 'w2'], [], 1_000);
	harness.advance(200);
	expect(harness.takeEffects().filter(isHostOrder)).toHaveLength(1);
	harness.engine.hostOrderAnswered('host-1', { type: 'accepted' }, harness.now);
	harness.advance(20);
	return harness.journal;
}

describe('a host that a former leader has taken down for maintenance, and that is back', () => {
	// A new leader kept such a host empty for 5 s and repeated its order, since the journal did not say that it was accepted.
	it('receives work as soon as its worker answers, and no second order', () => {
		const harness = createFleet(['w0', 'new', 'w2'], readStoredJournal(maintainHost(), 0), 5_000);
		harness.submit('0000000000000002', 'desk', wideJob);
		harness.advance(600);
		const effects = harness.takeEffects();
		expect(effects.filter(isHostOrder)).toEqual([]);
		expect(effects.some(effect => effect.type === 'start' && effect.workerKey === 'new@1')).toBe(true);
		expect(effects).toContainEqual({ type: 'report-wave', wave: 1, state: 'done' });
	});
});
