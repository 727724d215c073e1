import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import { describe, expect, it } from 'vitest';
import { createWaveDriver, type WaveDriver } from '../common/waveDriver.js';
import type { HostStatus, WaveEffect } from '../common/waveMessages.js';
import { fakeFold, fakeState } from './fakeFold.js';
import { hosts, pools, waveOver, waves } from './modelFleet.js';

const answerOf = (host: string, requestedAt: number, other: Partial<HostStatus> = {}): HostStatus => ({
	host,
	reachable: true,
	boot: '1',
	running: 0,
	draining: false,
	requestedAt,
	...other,
});

const start = (statuses: Readonly<Record<string, Partial<HostStatus>>> = {}): WaveDriver => {
	const driver = createWaveDriver({ cell: 'cell', random: createSeededRandom(7) });
	driver.handle({ type: 'leading', term: 1, until: 1_000_000 }, 0);
	driver.handle({ type: 'host-list', hosts: Object.fromEntries(hosts.map(({ name }) => [name, 'live'])) }, 0);
	for (const { name } of hosts) {
		driver.handle({ type: 'host-status', status: answerOf(name, 0, statuses[name]) }, 0);
	}
	return driver;
};
const claimsOf = (effects: readonly WaveEffect[]): readonly string[] =>
	effects.flatMap(effect =>
		effect.type === 'append' && effect.record.type === 'wave-claim' ? [effect.record.host] : [],
	);
const typesOf = (effects: readonly WaveEffect[]): readonly string[] => effects.map(effect => effect.type);
const state = fakeState(pools, hosts, waves.slice(0, 1));
const stateWith = (claimed: readonly string[], base = state): FleetState =>
	claimed.reduce((next, host, index) => {
		const claim = { type: 'wave-claim', version: 1, claimId: host, wave: 'first', host, unavailable: [] } as const;
		return fakeFold(next, index + 1, claim).state;
	}, base).fleet;

describe('wave driver', () => {
	it('claims the least busy rack first and as wide as both budgets allow', () => {
		const busy = Object.fromEntries(['a-0', 'a-1', 'a-2', 'a-3', 'a-8'].map(name => [name, { running: 5 }]));
		const effects = start({ ...busy, 'a-5': { running: 1 } }).handle({ type: 'configuration', state: state.fleet }, 0);
		// Idle racks come first. Two of rack a-rack-1, then the bound of its data centre sends the third claim to the next rack.
		expect(claimsOf(effects)).toEqual(['b-0', 'b-1', 'a-4', 'a-6', 'a-0']);
	});

	it('claims hosts that are set aside first, since they serve nothing', () => {
		const driver = start();
		driver.handle({ type: 'host-set-aside', host: 'a-7' }, 0);
		expect(claimsOf(driver.handle({ type: 'configuration', state: state.fleet }, 0))[0]).toBe('a-7');
	});

	it('names every host that is away in the claim, so that the fold counts it', () => {
		const driver = start({ 'a-1': { reachable: false } });
		driver.handle(
			{
				type: 'host-list',
				hosts: { ...Object.fromEntries(hosts.map(({ name }) => [name, 'live'])), 'a-2': 'leaving' },
			},
			0,
		);
		const effects = driver.handle({ type: 'configuration', state: state.fleet }, 0);
		const [claim] = effects.flatMap(effect => (effect.type === 'append' ? [effect.record] : []));
		expect(claim).toMatchObject({ type: 'wave-claim', unavailable: ['a-1', 'a-2'] });
	});

	it('neither drains nor stops work before the fold has accepted the claim', () => {
		const driver = start();
		const before = driver.handle({ type: 'configuration', state: state.fleet }, 0);
		expect(before.filter(effect => effect.type === 'stop-work-on')).toEqual([{ type: 'stop-work-on', hosts: [] }]);
		expect(typesOf(before)).not.toContain('drain-host');
		const after = driver.handle({ type: 'configuration', state: stateWith(['a-0']) }, 10);
		expect(after[0]).toEqual({ type: 'stop-work-on', hosts: ['a-0'] });
		expect(typesOf(after)).toContain('drain-host');
	});

	it('reboots only when a drained host reports that nothing runs', () => {
		const driver = start();
		driver.handle({ type: 'configuration', state: stateWith(['a-0']) }, 10);
		const statusAt = (now: number, other: Partial<HostStatus>): readonly string[] =>
			typesOf(driver.handle({ type: 'host-status', status: answerOf('a-0', now, other) }, now));
		expect(statusAt(1_000, { running: 0, draining: false })).not.toContain('reboot-host');
		expect(statusAt(2_000, { running: 1, draining: true })).not.toContain('reboot-host');
		expect(statusAt(3_000, { running: 0, draining: true })).toContain('reboot-host');
		expect(statusAt(4_000, { running: 0, draining: true })).not.toContain('reboot-host');
	});

	it('records a return only when the host has a new boot, is listed live and has ended its drain', () => {
		const driver = start();
		driver.handle({ type: 'configuration', state: stateWith(['a-0']) }, 10);
		const statusAt = (now: number, other: Partial<HostStatus>): readonly WaveEffect[] =>
			driver.handle({ type: 'host-status', status: answerOf('a-0', now, other) }, now);
		statusAt(1_000, { draining: true });
		driver.handle({ type: 'host-list', hosts: { 'a-0': 'down' } }, 1_000);
		expect(typesOf(statusAt(2_000, { boot: '2' }))).not.toContain('append');
		expect(typesOf(statusAt(3_000, { boot: '2', draining: true }))).toContain('resume-host');
		driver.handle({ type: 'host-list', hosts: { 'a-0': 'live' } }, 3_500);
		expect(statusAt(4_000, { boot: '2' })).toContainEqual({
			type: 'append',
			record: { type: 'host-returned', version: 1, wave: 'first', host: 'a-0' },
		});
	});

	it('makes one attempt at a time in a log outage, with growing pauses, and goes on when the log is back', () => {
		const driver = start();
		driver.handle({ type: 'configuration', state: state.fleet }, 0);
		driver.handle({ type: 'append-failed', recordType: 'wave-claim' }, 100);
		const attempts: number[] = [];
		for (let now = 200; now < 60_000; now += 200) {
			for (const { name } of hosts) {
				driver.handle({ type: 'host-status', status: answerOf(name, now) }, now).forEach(effect => {
					if (effect.type === 'append') {
						attempts.push(now);
					}
				});
			}
		}
		expect(attempts.length).toBeGreaterThan(2);
		expect(attempts.length).toBeLessThan(10);
		expect(new Set(attempts).size).toBe(attempts.length);
		const effects = driver.handle({ type: 'configuration', state: { ...state.fleet, offset: 9 } }, 70_000);
		expect(claimsOf(effects)).toHaveLength(5);
	});

	it('decides nothing after its lease has ended, from statuses older than their limit, or when it does not lead', () => {
		const driver = start();
		const leaseOver = driver.handle({ type: 'configuration', state: stateWith(['a-0']) }, 1_000_000);
		expect(leaseOver).toEqual([]);
		const stale = start().handle({ type: 'configuration', state: state.fleet }, 20_000);
		expect(claimsOf(stale)).toEqual([]);
		expect(stale).toContainEqual(expect.objectContaining({ subject: 'wave/first', reason: 'host-unheard' }));
		driver.handle({ type: 'not-leading' }, 10);
		expect(driver.handle({ type: 'tick' }, 20)).toEqual([]);
		expect(driver.nextTickAt()).toBeUndefined();
	});

	it('gives a refused pool a pause, explains the refusal, and leaves the other pool alone', () => {
		const driver = start();
		driver.handle({ type: 'configuration', state: state.fleet }, 0);
		const refusal = { type: 'claim-verdict', claimId: 'cell-1-1', accepted: false, reason: 'pool budget: 4' } as const;
		const effects = driver.handle(refusal, 100);
		expect(claimsOf(effects)).toEqual([]);
		expect(effects).toContainEqual(expect.objectContaining({ reason: 'claim-refused' }));
		expect(claimsOf(driver.handle({ type: 'tick' }, driver.nextTickAt() ?? 0))).toHaveLength(1);
	});

	it.each(['withdrawn', 'stopped'] as const)('claims nothing for a %s wave, however much room there is', waveState => {
		const [wave] = waves;
		const over = waveOver('first', Object.keys(wave?.hosts ?? {}));
		const changed = { ...over, hosts: { ...over.hosts, 'a-0': 'claimed' as const }, state: waveState };
		const effects = start().handle({ type: 'configuration', state: fakeState(pools, hosts, [changed]).fleet }, 0);
		expect(claimsOf(effects)).toEqual([]);
		expect(effects).toContainEqual(expect.objectContaining({ subject: 'wave/first', reason: waveState }));
	});

	it('says why a wave with a budget of zero does not begin', () => {
		const none = pools.map(pool => ({ ...pool, budget: { maximumUnavailable: 0 } }));
		const effects = start().handle(
			{ type: 'configuration', state: fakeState(none, hosts, [waveOver('first', ['a-0'])]).fleet },
			0,
		);
		expect(claimsOf(effects)).toEqual([]);
		expect(effects).toContainEqual(expect.objectContaining({ subject: 'wave/first', reason: 'budget-used' }));
	});
});
