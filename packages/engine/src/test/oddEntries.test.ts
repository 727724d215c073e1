import { describe, expect, it } from 'vitest';
import type { WorkerEntry } from '@chestnutwheel/ports/common/workerService.js';
import type { EngineEffect } from '../common/engineMessages.js';
import {
	createEngineHarness,
	defaultWorkerEntry,
	harnessJob,
	harnessQueue,
	harnessResources,
	harnessStep,
	type EngineHarness,
	type EngineHarnessOptions,
} from './engineHarness.js';
import { readStoredJournal } from './storedJournal.js';

const options: EngineHarnessOptions = {
	pools: [
		{ name: 'desk', isStandby: false, guardsRoom: false },
		{ name: 'other', isStandby: false, guardsRoom: false },
	],
	queues: [harnessQueue('desk'), harnessQueue('other')],
};
const oneTask = harnessJob(harnessStep({ count: 1 }));
const BEYOND_ALL_CLOCKS = Number.MAX_SAFE_INTEGER;

/** An entry that the worker on its host has not written. */
const foreign = (changes: Partial<WorkerEntry>): WorkerEntry => ({
	...defaultWorkerEntry,
	pool: 'desk',
	address: '10.9.9.9:1',
	...changes,
});

/** Writes an entry as any process may, under any key. */
const write = (harness: EngineHarness, entry: WorkerEntry | 'unreadable', key?: string): void =>
	harness.engine.workersChanged(
		[{ key: key ?? (entry === 'unreadable' ? '' : entry.worker), offset: 0, value: entry }],
		undefined,
		harness.now,
	);

/** Keys of the workers that are told to start tasks. */
const startedOn = (effects: readonly EngineEffect[]): readonly string[] =>
	effects.flatMap(effect => (effect.type === 'start' ? [effect.workerKey] : []));

const ownEntry = (worker: string, changes: Partial<WorkerEntry> = {}): WorkerEntry => ({
	...defaultWorkerEntry,
	worker,
	host: `host-${worker}`,
	pool: 'desk',
	address: '10.0.0.1:1',
	...changes,
});

describe('an entry of another writer under the key of a living worker', () => {
	// All entries of the true worker were ignored from then on, and it got no work for the rest of its life.
	it('does not end the worker by a start time beyond all clocks', () => {
		const harness = createEngineHarness(options);
		harness.addWorker('w0', 'desk');
		write(harness, foreign({ worker: 'w0', incarnation: BEYOND_ALL_CLOCKS }));
		harness.advance(200);
		write(harness, ownEntry('w0'));
		harness.submit('0000000000000001', 'desk', oneTask);
		harness.advance(200);
		expect(startedOn(harness.takeEffects())).toEqual(['w0@1']);
	});

	it('does not end the worker for a leader that reads it first', () => {
		const harness = createEngineHarness(options);
		write(harness, foreign({ worker: 'w0', incarnation: BEYOND_ALL_CLOCKS }));
		harness.advance(200);
		harness.addWorker('w0', 'desk');
		harness.submit('0000000000000001', 'desk', oneTask);
		harness.advance(200);
		expect(startedOn(harness.takeEffects())).toEqual(['w0@1']);
	});

	it('does not end the runs of the worker, which would then start a second time', () => {
		const former = createEngineHarness(options);
		former.addWorker('w0', 'desk');
		former.submit('0000000000000001', 'desk', oneTask);
		former.advance(100);
		expect(former.confirmStarts()).toBe(1);
		const harness = createEngineHarness({ ...options, journal: readStoredJournal(former.journal, 0) });
		harness.addWorker('w1', 'desk');
		write(harness, foreign({ worker: 'w0', incarnation: BEYOND_ALL_CLOCKS }));
		harness.advance(500);
		expect(startedOn(harness.takeEffects())).toEqual([]);
		expect(harness.journal.filter(({ type }) => type === 'dropped')).toEqual([]);
	});

	it('is polled once, however many start times it claims', () => {
		const harness = createEngineHarness(options);
		harness.addWorker('w0', 'desk');
		harness.takeEffects();
		for (let claim = 0; claim < 20; claim++) {
			write(harness, foreign({ worker: 'w0', incarnation: 1_000 + claim }));
			harness.advance(20);
		}
		const effects = harness.takeEffects();
		const watched = new Set<string>();
		for (const effect of effects) {
			if (effect.type === 'watch') {
				watched.add(effect.workerKey);
			} else if (effect.type === 'unwatch') {
				watched.delete(effect.workerKey);
			}
		}
		expect(watched.size).toBe(1);
	});

	it('does not move the worker to another pool or address', () => {
		const harness = createEngineHarness(options);
		harness.addWorker('w0', 'desk');
		harness.listHosts([{ host: 'host-w0', pool: 'desk', worker: 'w0' }]);
		harness.takeEffects();
		write(harness, foreign({ worker: 'w0', host: 'host-w0', pool: 'other' }));
		harness.submit('0000000000000001', 'other', oneTask);
		harness.submit('0000000000000002', 'desk', oneTask);
		harness.advance(100);
		const effects = harness.takeEffects();
		expect(effects.filter(({ type }) => type === 'watch' || type === 'unwatch')).toEqual([]);
		expect(effects.flatMap(effect => (effect.type === 'start' ? [effect.task.slice(0, 16)] : []))).toEqual([
			'0000000000000002',
		]);
	});

	it('does not give the worker more resources than its host has', () => {
		const harness = createEngineHarness(options);
		harness.addWorker('w0', 'desk');
		harness.listHosts([{ host: 'host-w0', pool: 'desk', worker: 'w0' }]);
		write(harness, ownEntry('w0', { resources: { milliCores: 1e12, memoryMb: 1e12, accelerators: 0 } }));
		const wide = harnessStep({ count: 40, demand: { ...harnessResources, milliCores: 8_000, memoryMb: 1 } });
		harness.submit('0000000000000001', 'desk', harnessJob(wide));
		harness.advance(100);
		expect(startedOn(harness.takeEffects())).toHaveLength(4);
	});

	it('holds up the worker no longer than until its own next entry, if it cannot be decoded', () => {
		const harness = createEngineHarness(options);
		harness.addWorker('w0', 'desk');
		write(harness, 'unreadable', 'w0');
		harness.submit('0000000000000001', 'desk', oneTask);
		harness.advance(200);
		expect(startedOn(harness.takeEffects())).toEqual(['w0@1']);
	});

	it('counts as missing after some seconds, if it cannot be decoded', () => {
		const harness = createEngineHarness(options);
		harness.addWorker('w0', 'desk');
		write(harness, 'unreadable', 'w0');
		harness.advance(4_000);
		harness.submit('0000000000000001', 'desk', oneTask);
		harness.advance(200);
		expect(startedOn(harness.takeEffects())).toEqual([]);
	});
});

describe('an answer that names an earlier start than the one that the worker has confirmed', () => {
	const answer = (harness: EngineHarness): void => {
		const listing = { incarnation: 0, clockMs: 5, running: [], ended: [], mayHaveMoreEnds: false };
		harness.engine.monitor.pollAnswered('w0@1', { type: 'listed', listing }, harness.now);
	};

	// Two such answers counted as two crashes of the worker, and the job that ran on it failed.
	it('does not end the runs of the worker', () => {
		const harness = createEngineHarness(options);
		harness.addWorker('w0', 'desk');
		harness.submit('0000000000000001', 'desk', oneTask);
		harness.advance(100);
		expect(harness.confirmStarts()).toBe(1);
		harness.advance(300);
		for (let count = 0; count < 3; count++) {
			answer(harness);
			harness.advance(200);
		}
		expect(harness.journal.filter(({ type }) => type === 'dropped' || type === 'failed')).toEqual([]);
	});

	it('counts as silence, so that the leases of a worker that is gone run out', () => {
		const harness = createEngineHarness(options);
		const worker = harness.addWorker('w0', 'desk');
		harness.setSilent(worker, true);
		answer(harness);
		harness.submit('0000000000000001', 'desk', oneTask);
		harness.advance(200);
		expect(startedOn(harness.takeEffects())).toEqual([]);
	});
});

describe('a worker that has restarted after its clock was set back', () => {
	// Its entries were taken for those of an earlier incarnation.
	it('receives work once it answers', () => {
		const harness = createEngineHarness(options);
		harness.engine.workersChanged(
			[{ key: 'w0', offset: 0, value: ownEntry('w0', { incarnation: 5_000 }) }],
			undefined,
			harness.now,
		);
		const listing = { incarnation: 5_000, clockMs: 100, running: [], ended: [], mayHaveMoreEnds: false };
		harness.engine.monitor.pollRequest('w0@5000', 0, true, harness.now);
		harness.engine.monitor.pollAnswered('w0@5000', { type: 'listed', listing }, harness.now);
		harness.addWorker('w0', 'desk', { address: '10.0.0.1:7' });
		harness.submit('0000000000000001', 'desk', oneTask);
		harness.advance(200);
		expect(startedOn(harness.takeEffects())).toEqual(['w0@1']);
	});
});

describe('an entry of another writer under a key of its own', () => {
	const wave = { wave: 1, hosts: ['host-w0'], durationMs: 60_000, maximumDown: 1 };

	// The host was ordered down with the service task of its true worker.
	it('does not hide the worker on the host that it names', () => {
		const harness = createEngineHarness(options);
		harness.addWorker('w0', 'desk');
		harness.submit('0000000000000001', 'desk', harnessJob(harnessStep({ count: 1, isLasting: true, maximumAway: 0 })));
		harness.advance(100);
		harness.confirmStarts();
		harness.listHosts([{ host: 'host-w0', pool: 'desk', worker: 'w0' }]);
		write(harness, foreign({ worker: 'x', host: 'host-w0', incarnation: BEYOND_ALL_CLOCKS }));
		harness.engine.wavesChanged([wave], harness.now);
		harness.advance(3_000);
		expect(harness.takeEffects().filter(({ type }) => type === 'host-order')).toEqual([]);
	});

	// Each such entry counted as a worker of its pool, so that an overload was accepted.
	it('does not count as capacity of its pool', () => {
		const harness = createEngineHarness(options);
		harness.addWorker('w0', 'desk');
		write(
			harness,
			foreign({ worker: 'x', host: 'nowhere', resources: { milliCores: 1e12, memoryMb: 1e12, accelerators: 0 } }),
		);
		const wide = harnessJob(
			harnessStep({ count: 400, estimateMs: 1_000, demand: { milliCores: 4_000, memoryMb: 1, accelerators: 0 } }),
		);
		harness.submit('0000000000000001', 'desk', wide);
		expect(harness.submit('0000000000000002', 'desk', wide).type).toBe('refused');
	});
});
