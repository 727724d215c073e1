import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createDeadlineHeap } from '../common/deadlineHeap.js';
import { createFairQueue } from '../common/fairQueue.js';
import { defaultDispatchPolicy } from '../common/dispatchPolicy.js';
import { createWaitingQueues } from '../common/waitingQueues.js';
import { createWorkerClocks } from '../common/workerClocks.js';
import { createWorkerHealth } from '../common/workerHealth.js';
import { requestOf } from './dispatcherHarness.js';
import { createFleetFixture } from './fleetFixture.js';

describe('worker clocks', () => {
	it('give no permit that a worker would accept after the lease, at any rate within the margin', () => {
		const times = fc.record({
			rate: fc.double({ min: 0.9991, max: 1.0009, noNaN: true }),
			offset: fc.integer({ min: 0, max: 1e9 }),
			age: fc.integer({ min: 0, max: 30_000 }),
			answerMs: fc.integer({ min: 0, max: 400 }),
			leaseMs: fc.integer({ min: 1, max: 1_470 }),
		});
		fc.assert(
			fc.property(times, ({ rate, offset, age, answerMs, leaseMs }) => {
				const clocks = createWorkerClocks();
				const requestedAt = 1_000;
				const now = requestedAt + answerMs + age;
				clocks.sample('w1', offset + requestedAt * rate, requestedAt, requestedAt + answerMs);
				const deadline = clocks.startDeadline('w1', now, now + leaseMs);
				if (deadline !== undefined) {
					expect(deadline.latestStartAt).toBeLessThanOrEqual(now + leaseMs);
					expect(deadline.startByMs).toBeLessThanOrEqual(offset + (now + leaseMs) * rate);
				}
			}),
			{ seed: 4, numRuns: 2_000 },
		);
	});
});

describe('deadline heap', () => {
	it('returns live items in order of time, whatever died meanwhile', () => {
		fc.assert(
			fc.property(fc.array(fc.tuple(fc.nat(1_000), fc.boolean()), { maxLength: 200 }), entries => {
				const dead = new Set<number>();
				const heap = createDeadlineHeap<number>(item => dead.has(item));
				entries.forEach(([at], index) => heap.push(at, index));
				entries.forEach(([, dies], index) => {
					if (dies) {
						dead.add(index);
						heap.noteDead();
					}
				});
				const expected = entries.filter(([, dies]) => !dies).map(([at]) => at);
				const taken = heap.takeUntil(1_000).map(index => entries[index]?.[0]);
				expect(taken).toEqual(expected.sort((left, right) => left - right));
			}),
			{ seed: 5, numRuns: 300 },
		);
	});
});

describe('waiting queues', () => {
	const waits = (team: string, id: string, changes = {}) => ({
		request: requestOf(team, id, changes),
		team,
		enqueuedAt: 0,
	});

	it('let the newest request of the largest team give way, so that one team cannot fill a queue', () => {
		const queues = createWaitingQueues();
		['a1', 'a2', 'a3'].forEach(id => queues.add(waits('amber', id)));
		queues.add(waits('birch', 'b1'));
		expect(queues.givesWay(waits('birch', 'b2'))?.request.requestId).toBe('a3');
		expect(queues.givesWay(waits('amber', 'a4'))).toBeUndefined();
		queues.add(waits('birch', 'r1', { class: 'research' }));
		expect(queues.givesWay(waits('birch', 'u1', { class: 'urgent' }))?.request.requestId).toBe('r1');
	});

	it('drop what reached its deadline and forget what was cancelled', () => {
		const queues = createWaitingQueues();
		queues.add(waits('amber', 'a1', { deadline: 100 }));
		queues.add(waits('amber', 'a2', { deadline: 50 }));
		queues.add(waits('amber', 'a3', { deadline: 60 }));
		queues.remove('a3');
		expect(queues.takeExpired(99).map(item => item.request.requestId)).toEqual(['a2']);
		expect(queues.earliestDeadline()).toBe(100);
		expect([queues.size, queues.countOfQueue('letters'), queues.countOfTeam('amber')]).toEqual([1, 1, 1]);
	});
});

describe('worker health', () => {
	const state = createFleetFixture();
	const hosts = Object.values(state.hosts).filter(host => host.pool === 'main');

	it('sets aside a worker that fails two teams, at most a quarter of a pool, and doubles the wait for a probe', () => {
		const health = createWorkerHealth();
		const [first, second] = hosts;
		if (first === undefined || second === undefined) {
			throw new Error('the fixture has no hosts');
		}
		const failAll = (host: typeof first, teams: readonly string[]) =>
			teams.map(team => health.record(host, team, 'failed', state, [], 0)?.type).filter(type => type !== undefined);
		expect(failAll(first, ['amber', 'amber', 'amber', 'amber', 'amber'])).toEqual([]);
		expect(failAll(first, ['birch'])).toEqual(['set-aside']);
		expect(failAll(second, ['amber', 'birch', 'amber', 'birch', 'amber'])).toEqual([]);
		expect([health.mayProbe('w1', 29_999), health.mayProbe('w1', 30_000)]).toEqual([false, true]);
		health.probeStarted('w1', 'g1');
		expect(health.mayProbe('w1', 30_000)).toBe(false);
		health.probeEnded('w1', 'g1', 'failed', 31_000);
		expect([health.mayProbe('w1', 90_999), health.mayProbe('w1', 91_000)]).toEqual([false, true]);
		health.probeStarted('w1', 'g2');
		expect(health.probeEnded('w1', 'g2', 'succeeded', 92_000)?.type).toBe('taken-back');
	});
});

describe('fair queue', () => {
	it('gives an idle team no more than its credit over a team that has run meanwhile', () => {
		const fair = createFairQueue({ ...defaultDispatchPolicy, projectionMs: 0 });
		const teams = ['amber', 'birch'].map(name => ({ name, organisation: name, share: 1 }));
		fair.configure(teams, 2, 0);
		fair.started('amber', false, 0);
		fair.started('amber', false, 0);
		fair.setCompeting(new Set(['amber']), 100_000);
		fair.setCompeting(new Set(['amber', 'birch']), 100_000);
		fair.ended('amber', false, 100_000);
		fair.ended('amber', false, 100_000);
		const lead = fair.lead('amber', 100_000);
		expect(lead).toBeGreaterThan(0);
		expect(lead).toBeLessThanOrEqual(defaultDispatchPolicy.creditMs);
	});

	it('lets urgent work of one team go first only until its own lead is used up', () => {
		const fair = createFairQueue(defaultDispatchPolicy);
		const teams = ['amber', 'birch'].map(name => ({ name, organisation: name, share: 1 }));
		fair.configure(teams, 8, 0);
		for (let index = 0; index < 8; index++) {
			fair.started('amber', true, 0);
		}
		expect(fair.urgentGoesFirst('amber', 1_900)).toBe(true);
		expect(fair.urgentGoesFirst('amber', 2_100)).toBe(false);
	});
});
