import { describe, expect, it } from 'vitest';
import type { EngineEffect } from '../common/engineMessages.js';
import type { WorkerEntry } from '@chestnutwheel/ports/common/workerService.js';
import type { JournalEvent } from '../common/jobs/journalEvent.js';
import { createWorkerTable } from '../common/workers/workerTable.js';
import {
	createEngineHarness,
	harnessJob,
	harnessQueue,
	harnessStep,
	defaultWorkerEntry,
	type EngineHarness,
} from './engineHarness.js';

const pools = [
	{ name: 'north', isStandby: false, guardsRoom: false },
	{ name: 'south', isStandby: false, guardsRoom: false },
	{ name: 'spare', isStandby: true, guardsRoom: false },
];

type Move = Extract<EngineEffect, { type: 'host-order' }>;

const takeMoves = (harness: EngineHarness): readonly Move[] =>
	harness.takeEffects().filter((effect): effect is Move => effect.type === 'host-order');

/** Creates two pools of four hosts each, and six hosts that are switched off. */
function createTwoPools(journal: readonly JournalEvent[] = []): EngineHarness {
	const harness = createEngineHarness({ pools, queues: [harnessQueue('north'), harnessQueue('south')], journal });
	const names = ['n0', 'n1', 'n2', 'n3', 's0', 's1', 's2', 's3'];
	for (const name of names) {
		harness.addWorker(name, name.startsWith('n') ? 'north' : 'south');
	}
	harness.listHosts([
		...names.map(name => ({ host: `host-${name}`, pool: name.startsWith('n') ? 'north' : 'south', worker: name })),
		...Array.from({ length: 6 }, (_, index) => ({ host: `off-${index}`, pool: 'spare' })),
	]);
	return harness;
}

const wideJob = harnessJob(harnessStep({ count: 16, demand: { milliCores: 8_000, memoryMb: 1_000, accelerators: 0 } }));

describe('pools with alternating peaks', () => {
	it('receive switched-off hosts first, then surplus hosts of another pool', () => {
		const harness = createTwoPools();
		harness.takeEffects();
		for (let job = 0; job < 6; job++) {
			harness.submit(`job-${job}`, 'north', wideJob);
		}
		harness.advance(200);
		const moves = takeMoves(harness);
		expect(moves.every(({ action }) => action.type === 'move' && action.pool === 'north')).toBe(true);
		expect(moves.map(({ host }) => host).sort()).toEqual([
			'host-s0',
			'host-s1',
			'off-0',
			'off-1',
			'off-2',
			'off-3',
			'off-4',
			'off-5',
		]);
	});

	it('switch off hosts that were not needed for some seconds, but keep two', () => {
		const harness = createTwoPools();
		harness.advance(6_000);
		const moves = takeMoves(harness);
		expect(moves.map(({ action }) => action)).toEqual(Array(4).fill({ type: 'move', pool: 'spare' }));
	});

	it('never move a host with active runs', () => {
		const harness = createTwoPools();
		harness.submit('lasting', 'south', harnessJob(harnessStep({ count: 4, isLasting: true, maximumPerWorker: 1 })));
		harness.advance(100);
		harness.confirmStarts();
		harness.takeEffects();
		for (let job = 0; job < 6; job++) {
			harness.submit(`job-${job}`, 'north', wideJob);
		}
		harness.advance(400);
		expect(takeMoves(harness).filter(({ host }) => host.startsWith('host-s'))).toEqual([]);
	});

	it('do not receive hosts that a predecessor sent an order for within the host lease', () => {
		const last: JournalEvent = {
			type: 'host-settled',
			host: 'off-0',
			action: { type: 'move', pool: 'spare' },
			isDone: true,
			last: ['off-0', 5, 900],
		};
		const harness = createTwoPools([{ type: 'term', term: 5, holder: 'former', leaseMs: 3_000, validMs: 2_000 }, last]);
		for (let job = 0; job < 6; job++) {
			harness.submit(`job-${job}`, 'north', wideJob);
		}
		harness.advance(400);
		const hostsBeforeLeaseEnd = takeMoves(harness).map(({ host }) => host);
		expect(hostsBeforeLeaseEnd).toContain('off-1');
		expect(hostsBeforeLeaseEnd).not.toContain('off-0');
		harness.advance(6_000);
		expect(takeMoves(harness).map(({ host }) => host)).toContain('off-0');
	});

	it('settle a move of a predecessor that the host list shows as complete, without a second order', () => {
		const ordered: JournalEvent = {
			type: 'host-ordered',
			order: { host: 'off-0', action: { type: 'move', pool: 'spare' }, term: 5, orderedAt: 900 },
		};
		const harness = createTwoPools([
			{ type: 'term', term: 5, holder: 'former', leaseMs: 3_000, validMs: 2_000 },
			ordered,
		]);
		harness.advance(200);
		expect(harness.journal.filter(({ type }) => type === 'host-settled')).toHaveLength(1);
		expect(takeMoves(harness).filter(({ host }) => host === 'off-0')).toEqual([]);
	});

	it('move hosts right after a leader change although a moved host still has a stale worker entry', () => {
		const harness = createEngineHarness({ pools, queues: [harnessQueue('north')], journal: [] });
		harness.addWorker('n0', 'north');
		harness.addWorker('n1', 'north');
		harness.addUnreachableWorker('former', 'host-off-0', 'north');
		harness.listHosts([
			{ host: 'host-n0', pool: 'north', worker: 'n0' },
			{ host: 'host-n1', pool: 'north', worker: 'n1' },
			...Array.from({ length: 6 }, (_, index) => ({ host: `host-off-${index}`, pool: 'spare' })),
		]);
		for (let job = 0; job < 6; job++) {
			harness.submit(`job-${job}`, 'north', wideJob);
		}
		harness.advance(200);
		expect(takeMoves(harness).length).toBeGreaterThan(3);
	});

	// A new leader left hosts off in a load peak until the entries of their former workers had been gone for seconds.
	it('receive switched-off hosts although the entries of their former workers are still listed', () => {
		const harness = createEngineHarness({ pools, queues: [harnessQueue('north')] });
		harness.addWorker('n0', 'north');
		harness.addWorker('n1', 'north');
		const off = Array.from({ length: 6 }, (_, index) => `off-${index}`);
		off.forEach(host => harness.addUnreachableWorker(`former-${host}`, host, 'south'));
		harness.listHosts([
			{ host: 'host-n0', pool: 'north', worker: 'n0' },
			{ host: 'host-n1', pool: 'north', worker: 'n1' },
			...off.map(host => ({ host, pool: 'spare' })),
		]);
		for (let job = 0; job < 6; job++) {
			harness.submit(`job-${job}`, 'north', wideJob);
		}
		harness.advance(200);
		const moved = takeMoves(harness).map(({ host }) => host);
		expect(moved.toSorted()).toEqual(off);
	});
});

describe('the current worker of a host', () => {
	it('is its newest incarnation, whatever order the entries are read in', () => {
		const workers = createWorkerTable();
		const entry = (worker: string, incarnation: number): WorkerEntry => ({
			...defaultWorkerEntry,
			worker,
			host: 'h',
			incarnation,
		});
		workers.applyEntryChange({ key: 'new', offset: 0, value: entry('new', 7) }, 0);
		workers.applyEntryChange({ key: 'old', offset: 1, value: entry('old', 3) }, 0);
		expect(workers.byHost('h')?.worker).toBe('new');
		const newest = workers.byName('new');
		if (newest !== undefined) {
			newest.hasEnded = true;
		}
		expect(workers.byHost('h')?.worker).toBe('old');
		workers.applyEntryChange({ key: 'old', offset: 2, value: undefined }, 0);
		workers.prune(60_000, 5_000);
		expect(workers.byHost('h')).toBeUndefined();
	});
});
