import { describe, expect, it } from 'vitest';
import type { MaintenanceWave } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { EngineEffect } from '../common/engineMessages.js';
import type { HostAction, JournalEvent } from '../common/jobs/journalEvent.js';
import { createEngineHarness, harnessJob, harnessQueue, harnessStep, type EngineHarness } from './engineHarness.js';
import { readStoredJournal } from './storedJournal.js';

const pools = [{ name: 'desk', isStandby: false, guardsRoom: false }];
const queues = [harnessQueue('desk')];
const wave: MaintenanceWave = { wave: 1, hosts: ['host-1'], durationMs: 60_000, maximumDown: 1 };

/** A job whose tasks fill three hosts. */
const wideJob = harnessJob(harnessStep({ count: 12, demand: { milliCores: 8_000, memoryMb: 1_000, accelerators: 0 } }));

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

describe('a host to which a former leader journaled an order that was not journaled as accepted', () => {
	const move: HostAction = { type: 'move', pool: 'press' };
	const upkeep: HostAction = { type: 'upkeep', wave: 1 };

	/** Begins a term after a leader that ordered `host-1` just before it stopped. */
	const succeed = (action: HostAction): EngineHarness => {
		const ordered: JournalEvent = {
			type: 'host-ordered',
			order: { host: 'host-1', action, term: 9, orderedAt: 4_900 },
		};
		const harness = createFleet(['w0', 'w1', 'w2'], [ordered], 5_000);
		harness.engine.predecessorStopped(harness.now);
		return harness;
	};

	/** Advances the clock while the host service lists the hosts every 100 ms. @param changes what it lists of `host-1` */
	const advance = (harness: EngineHarness, milliseconds: number, changes: Partial<ListedHost> = {}): void => {
		for (const until = harness.now + milliseconds; harness.now < until;) {
			harness.advance(100);
			harness.listHosts(
				['w0', 'w1', 'w2'].map((worker, host) => ({
					host: `host-${host}`,
					pool: 'desk',
					worker,
					...(host === 1 ? changes : {}),
				})),
			);
		}
	};

	const startsOnHost = (effects: readonly EngineEffect[]): boolean =>
		effects.some(effect => effect.type === 'start' && effect.workerKey === 'w1@1');

	// A new leader kept such hosts empty for 3.5 s and then repeated the orders of its predecessor.
	it.each([move, upkeep])('receives work soon after the leader has stopped if it is listed as up (%o)', action => {
		const harness = succeed(action);
		harness.submit('0000000000000002', 'desk', wideJob);
		advance(harness, 1_300);
		const effects = harness.takeEffects();
		expect(startsOnHost(effects)).toBe(true);
		expect(effects.filter(isHostOrder)).toEqual([]);
	});

	it('receives no work while a request of the former leader may still arrive', () => {
		const harness = succeed(move);
		harness.submit('0000000000000002', 'desk', wideJob);
		advance(harness, 500);
		expect(startsOnHost(harness.takeEffects())).toBe(false);
	});

	it('is ordered again once orders of the two leaders cannot alternate, and not before', () => {
		const harness = succeed(upkeep);
		advance(harness, 3_400);
		expect(harness.takeEffects().filter(isHostOrder)).toEqual([]);
		advance(harness, 400);
		expect(harness.takeEffects().filter(isHostOrder)).toHaveLength(1);
	});

	it('counts as accepted once it is listed as under maintenance', () => {
		const harness = succeed(upkeep);
		advance(harness, 1_500, { state: 'upkeep' });
		harness.submit('0000000000000002', 'desk', wideJob);
		advance(harness, 700);
		const effects = harness.takeEffects();
		expect(startsOnHost(effects)).toBe(true);
		expect(effects.filter(isHostOrder)).toEqual([]);
		expect(effects).toContainEqual({ type: 'report-wave', wave: 1, state: 'done' });
	});
});

describe('a host whose last order by a former leader is complete', () => {
	/** Begins a term after a leader whose wall clock is ahead of the new leader's, or behind it. */
	const succeed = (clockAheadMs: number, sinceOrderMs: number): EngineHarness => {
		const endedAt = 5_000 + clockAheadMs;
		const orderedAt = endedAt - sinceOrderMs;
		const action: HostAction = { type: 'move', pool: 'desk' };
		const job = { id: '0000000000000001', queue: 'desk', team: undefined, terms: harnessQueue('desk'), spec: wideJob };
		return createFleet(
			['w0', 'w1', 'w2'],
			[
				{ type: 'term', term: 9, holder: 'former', leaseMs: 3_000, validMs: 2_000 },
				{ type: 'host-ordered', order: { host: 'host-1', action, term: 9, orderedAt } },
				{ type: 'host-accepted', host: 'host-1', acceptance: {}, last: ['host-1', 9, orderedAt] },
				{ type: 'host-settled', host: 'host-1', action, isDone: true, last: ['host-1', 9, orderedAt] },
				{ type: 'accepted', job: { ...job, acceptedAt: endedAt } },
				{ type: 'cancelled', job: job.id },
			],
			5_000,
		);
	};

	const ordersWithin = (harness: EngineHarness, milliseconds: number): readonly EngineEffect[] => {
		harness.advance(milliseconds);
		return harness.takeEffects().filter(isHostOrder);
	};

	// The wall clocks of the two leaders were compared: a host was paused for seconds, or ordered too early.
	it.each([-60_000, 0, 60_000])(
		'may be ordered once the two orders cannot alternate, with clocks %i ms apart',
		ahead => {
			expect(ordersWithin(succeed(ahead, 3_600), 400)).toHaveLength(1);
			const harness = succeed(ahead, 600);
			expect(ordersWithin(harness, 2_800)).toEqual([]);
			expect(ordersWithin(harness, 400)).toHaveLength(1);
		},
	);
});
