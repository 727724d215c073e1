import type { ControlRecord } from '@chestnutwheel/configuration/common/controlRecord.js';
import {
	emptyFleetState,
	type FleetState,
	type Host,
	type Pool,
	type Wave,
	type WaveHostState,
} from '@chestnutwheel/configuration/common/fleetState.js';

/** State of the small fold of the tests: the fleet, and moves that wait for the return of a claimed host. */
export interface FakeState {
	readonly fleet: FleetState;
	readonly moves: Readonly<Record<string, string>>;
}

/** A record of the small fold; it adds the two notes that the tests need. */
export type FakeRecord = ControlRecord | { readonly type: 'withdraw'; readonly wave?: string; readonly host?: string };

/** One step of the fold; `refusal` says why the record changed nothing. */
export interface FakeStep {
	readonly state: FakeState;
	readonly refusal: string | undefined;
}

/** Builds a state with hosts, pools and waves. */
export function fakeState(pools: readonly Pool[], hosts: readonly Host[], waves: readonly Wave[]): FakeState {
	const byName = <Item extends { readonly name: string }>(items: readonly Item[]): Record<string, Item> =>
		Object.fromEntries(items.map(item => [item.name, item]));
	const fleet = { ...emptyFleetState, pools: byName(pools), hosts: byName(hosts), waves: byName(waves) };
	return { fleet: { ...fleet, offset: 0, noteOffset: 0 }, moves: {} };
}

/** Names of the hosts that any wave has claimed. */
export function claimedIn(fleet: FleetState): ReadonlySet<string> {
	const pairs = Object.values(fleet.waves).flatMap(wave => Object.entries(wave.hosts));
	return new Set(pairs.filter(([, hostState]) => hostState === 'claimed').map(([name]) => name));
}

/** Tells whether a wave has nothing left to do. */
export function isEnded(wave: Wave): boolean {
	return wave.state === 'finished' || (wave.state === 'withdrawn' && !Object.values(wave.hosts).includes('claimed'));
}

/** Why the budget refuses one more unavailable host; `undefined` when it holds. */
export function budgetRefusal(fleet: FleetState, unavailable: ReadonlySet<string>, host: Host): string | undefined {
	const budget = fleet.pools[host.pool]?.budget;
	const away = Object.values(fleet.hosts).filter(({ name, pool }) => pool === host.pool && unavailable.has(name));
	const near = away.filter(({ dataCentre }) => dataCentre === host.dataCentre);
	if (budget === undefined || away.length > budget.maximumUnavailable) {
		return `pool budget: ${away.length}`;
	}
	return near.length > (budget.maximumUnavailablePerDataCentre ?? Infinity)
		? `data centre budget: ${near.length}`
		: undefined;
}

const withWave = (state: FakeState, wave: Wave): FakeState => {
	const hostStates = Object.values(wave.hosts);
	const isDone = wave.state === 'withdrawn' ? !hostStates.includes('claimed') : hostStates.every(s => s === 'returned');
	const waves = { ...state.fleet.waves, [wave.name]: isDone ? { ...wave, state: 'finished' as const } : wave };
	return { ...state, fleet: { ...state.fleet, waves } };
};

const withHost = (state: FakeState, wave: Wave, host: string, hostState: WaveHostState): FakeState =>
	withWave(state, { ...wave, hosts: { ...wave.hosts, [host]: hostState } });

/** Folds one record; the result depends on the state and the record alone. */
export function fakeFold(before: FakeState, offset: number, record: FakeRecord): FakeStep {
	const state = { ...before, fleet: { ...before.fleet, offset } };
	const { fleet } = state;
	const refuse = (refusal: string): FakeStep => ({ state, refusal });
	const accept = (next: FakeState): FakeStep => ({ state: next, refusal: undefined });

	if (record.type === 'withdraw') {
		if (record.host === undefined) {
			const wave = fleet.waves[record.wave ?? ''];
			return wave === undefined || wave.state === 'finished'
				? refuse('no such wave')
				: accept(withWave(state, { ...wave, state: 'withdrawn' }));
		}
		const without = <Value>(items: Readonly<Record<string, Value>>): Record<string, Value> =>
			Object.fromEntries(Object.entries(items).filter(([name]) => name !== record.host));
		const shrunk = { ...state, fleet: { ...fleet, hosts: without(fleet.hosts) } };
		return accept(
			Object.values(fleet.waves).reduce(
				(next, wave) => (wave.state === 'finished' ? next : withWave(next, { ...wave, hosts: without(wave.hosts) })),
				shrunk,
			),
		);
	}
	if (record.type === 'host-moved') {
		const host = fleet.hosts[record.host];
		if (host?.pool !== record.from || fleet.pools[record.to] === undefined) {
			return refuse('not in that pool');
		}
		return accept(
			claimedIn(fleet).has(host.name)
				? { ...state, moves: { ...state.moves, [host.name]: record.to } }
				: { ...state, fleet: { ...fleet, hosts: { ...fleet.hosts, [host.name]: { ...host, pool: record.to } } } },
		);
	}
	if (record.type === 'note' || record.type === 'entry-acknowledged') {
		return refuse('not part of the small fold');
	}
	const wave = fleet.waves[record.wave];
	if (wave === undefined) {
		return refuse('no such wave');
	}
	if (record.type === 'wave-claim') {
		const host = fleet.hosts[record.host];
		if (wave.state !== 'running' || wave.hosts[record.host] !== 'waiting' || host === undefined) {
			return refuse('the host is not to be claimed');
		}
		if (claimedIn(fleet).has(host.name)) {
			return refuse('another wave has claimed the host');
		}
		const refusal = budgetRefusal(fleet, new Set([...claimedIn(fleet), ...record.unavailable, host.name]), host);
		return refusal === undefined ? accept(withHost(state, wave, host.name, 'claimed')) : refuse(refusal);
	}
	if (record.type === 'host-returned') {
		const host = fleet.hosts[record.host];
		if (wave.hosts[record.host] !== 'claimed' || host === undefined) {
			return refuse('the host is not claimed');
		}
		const moved = { ...host, pool: state.moves[host.name] ?? host.pool };
		const moves = Object.fromEntries(Object.entries(state.moves).filter(([name]) => name !== host.name));
		const joined = { fleet: { ...fleet, hosts: { ...fleet.hosts, [host.name]: moved } }, moves };
		return accept(withHost(joined, wave, host.name, 'returned'));
	}
	const [from, to] = record.type === 'wave-stopped' ? ['running', 'stopped'] : ['stopped', 'running'];
	return wave.state === from
		? accept(withWave(state, { ...wave, state: to as 'running' | 'stopped', reason: record.reason }))
		: refuse(`the wave is ${wave.state}`);
}
