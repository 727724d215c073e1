import { describe, expect, it } from 'vitest';
import { createReadyDispatcher, grantsOf, ofType, requestOf, statusOf } from './dispatcherHarness.js';
import { createFleetFixture } from './fleetFixture.js';

describe('dispatcher', () => {
	it('gives the same grant to a request that is asked again, so that a lost response starts nothing twice', () => {
		const dispatcher = createReadyDispatcher();
		const [first] = grantsOf(dispatcher.handle({ type: 'request', request: requestOf('amber', 'q1') }, 2));
		const [second] = grantsOf(dispatcher.handle({ type: 'request', request: requestOf('amber', 'q1') }, 9));
		expect(first).toBeDefined();
		expect(second).toEqual(first);
		expect(dispatcher.overview(9).runningByTeam).toEqual({ amber: 1 });
	});

	it('gives another grant after an unknown outcome and still counts the first attempt', () => {
		const dispatcher = createReadyDispatcher();
		const [first] = grantsOf(dispatcher.handle({ type: 'request', request: requestOf('amber', 'q1') }, 2));
		dispatcher.handle({ type: 'finished', grantId: first?.grantId ?? '', outcome: 'unknown' }, 3);
		const [second] = grantsOf(dispatcher.handle({ type: 'request', request: requestOf('amber', 'q1') }, 4));
		expect(second?.grantId).not.toBe(first?.grantId);
		expect(dispatcher.overview(4).runningByTeam).toEqual({ amber: 2 });
	});

	it('keeps the place of a waiting request that is asked again and starts nothing above the limit', () => {
		const dispatcher = createReadyDispatcher();
		for (const id of ['q1', 'q2', 'q3', 'q4', 'q5', 'q4']) {
			dispatcher.handle({ type: 'request', request: requestOf('amber', id) }, 2);
		}
		expect(dispatcher.overview(2).waitingByQueue.letters).toBe(2);
		const granted = grantsOf(dispatcher.handle({ type: 'finished', grantId: 'desk.1.1', outcome: 'succeeded' }, 3));
		expect(granted.map(grant => grant.requestId)).toEqual(['q4']);
		// A second report of the same end must not free a second slot.
		const again = dispatcher.handle({ type: 'finished', grantId: 'desk.1.1', outcome: 'succeeded' }, 4);
		expect(grantsOf(again)).toEqual([]);
	});

	it('starts nothing for a lowered limit and refuses waiting work whose key was withdrawn', () => {
		const state = createFleetFixture();
		const dispatcher = createReadyDispatcher(state);
		for (const id of ['q1', 'q2', 'q3', 'q4']) {
			dispatcher.handle({ type: 'request', request: requestOf('amber', id) }, 2);
		}
		const amber = state.teams.amber;
		const lowered = { ...state, teams: { ...state.teams, ...(amber ? { amber: { ...amber, limit: 2 } } : {}) } };
		dispatcher.handle({ type: 'configuration', state: lowered }, 3);
		const freed = dispatcher.handle({ type: 'finished', grantId: 'desk.1.1', outcome: 'succeeded' }, 4);
		expect(grantsOf(freed)).toEqual([]);
		const withdrawn = dispatcher.handle({ type: 'configuration', state: { ...lowered, keys: {} } }, 5);
		expect(ofType(withdrawn, 'refused').map(({ requestId, kind }) => [requestId, kind])).toEqual([
			['q4', 'unknown-key'],
		]);
	});

	it('counts all slots of a silent worker against small teams until 60 s have passed', () => {
		const dispatcher = createReadyDispatcher(undefined, ['w1']);
		const small = dispatcher.handle({ type: 'request', request: requestOf('amber', 'q1', { deadline: 90_000 }) }, 2);
		expect(grantsOf(small)).toEqual([]);
		const large = dispatcher.handle({ type: 'request', request: requestOf('cedar', 'q2') }, 2);
		expect(grantsOf(large)).toHaveLength(1);
		expect(dispatcher.overview(3).hosts.w1?.state).toBe('unreachable');
		for (let now = 1_000; now <= 60_000; now += 1_000) {
			expect(grantsOf(dispatcher.handle({ type: 'tick' }, now))).toEqual([]);
		}
		expect(grantsOf(dispatcher.handle({ type: 'tick' }, 61_000)).map(grant => grant.requestId)).toEqual(['q1']);
	});

	it('opens a host that is added long after the lease began, once it is fenced', () => {
		const state = createFleetFixture();
		const { s1, ...others } = state.hosts;
		const dispatcher = createReadyDispatcher({ ...state, hosts: others });
		const added = dispatcher.handle({ type: 'configuration', state }, 100_000);
		expect(ofType(added, 'fence-worker').map(effect => effect.host)).toContain(s1?.name);
		const status = statusOf('s1', 100_001, 1);
		dispatcher.handle({ type: 'worker-status', host: 's1', status, requestedAt: 100_000 }, 100_002);
		expect(dispatcher.overview(100_002).hosts.s1?.state).toBe('open');
	});

	it('does not hold back small teams for a worker that restarted and forgot its term', () => {
		const dispatcher = createReadyDispatcher();
		const status = { ...statusOf('w1', 0, 0), boot: 'w1-2' };
		dispatcher.handle({ type: 'worker-status', host: 'w1', status, requestedAt: 50 }, 51);
		expect(dispatcher.overview(51).hosts.w1?.state).toBe('open');
		expect(grantsOf(dispatcher.handle({ type: 'request', request: requestOf('amber', 'q1') }, 52))).toHaveLength(1);
	});

	it('frees a slot whose end was lost only by a status asked for after the latest start', () => {
		const dispatcher = createReadyDispatcher();
		const [grant] = grantsOf(dispatcher.handle({ type: 'request', request: requestOf('amber', 'q1') }, 2));
		const host = grant?.host ?? '';
		const tell = (requestedAt: number): void => {
			const status = statusOf(host, requestedAt + 1, 1);
			dispatcher.handle({ type: 'worker-status', host, status, requestedAt }, requestedAt + 2);
		};
		tell(900);
		expect(dispatcher.overview(902).runningByTeam).toEqual({ amber: 1 });
		tell(1_100);
		expect(dispatcher.overview(1_102).runningByTeam).toEqual({});
	});

	it('asks for a checkpoint when urgent work has waited 500 ms, and not for work of another class', () => {
		const dispatcher = createReadyDispatcher();
		for (let index = 0; index < 40; index++) {
			const job = requestOf('cedar', `j${index}`, { kind: 'job', class: 'research', deadline: 900_000 });
			dispatcher.handle({ type: 'request', request: job }, 2);
		}
		dispatcher.handle({ type: 'request', request: requestOf('birch', 'n1') }, 3);
		expect(ofType(dispatcher.handle({ type: 'tick' }, 700), 'checkpoint-job')).toEqual([]);
		dispatcher.handle({ type: 'request', request: requestOf('birch', 'u1', { class: 'urgent' }) }, 700);
		expect(ofType(dispatcher.handle({ type: 'tick' }, 1_100), 'checkpoint-job')).toEqual([]);
		const [stop] = ofType(dispatcher.handle({ type: 'tick' }, 1_225), 'checkpoint-job');
		expect(stop).toBeDefined();
		expect(ofType(dispatcher.handle({ type: 'tick' }, 1_300), 'checkpoint-job')).toEqual([]);
		const finished = { type: 'finished', grantId: stop?.grantId ?? '', outcome: 'not-started' } as const;
		expect(grantsOf(dispatcher.handle(finished, 1_400)).map(grant => grant.requestId)).toEqual(['u1']);
	});

	it('grants nothing after the lease has ended and no permit that outlives it', () => {
		const dispatcher = createReadyDispatcher();
		dispatcher.handle({ type: 'lease-lost' }, 10);
		dispatcher.handle({ type: 'lease-held', term: 2, until: 1_500 }, 20);
		for (const host of ['w1', 'w2', 'w3', 'w4', 's1']) {
			dispatcher.handle({ type: 'worker-status', host, status: statusOf(host, 21, 2), requestedAt: 20 }, 21);
		}
		const [grant] = grantsOf(dispatcher.handle({ type: 'request', request: requestOf('amber', 'q1') }, 800));
		expect(grant?.permit.startByMs).toBeLessThanOrEqual(1_500);
		const late = dispatcher.handle({ type: 'request', request: requestOf('amber', 'q2') }, 1_500);
		expect(ofType(late, 'refused').map(effect => effect.kind)).toEqual(['no-leader']);
	});
});
