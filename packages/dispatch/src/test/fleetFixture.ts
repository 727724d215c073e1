import {
	emptyFleetState,
	type FleetState,
	type Host,
	type Team,
} from '@chestnutwheel/configuration/common/fleetState.js';

/** Name of the cell in all tests. */
export const CELL = 'desk';

function createHost(name: string, pool: string, rack: string): Host {
	const address = `http://127.0.0.1/${name}`;
	return { name, pool, address, dataCentre: `dc-${rack}`, rack, slots: 8, connections: 64 };
}

function createTeam(name: string, organisation: string, share: number, limit: number): Team {
	return { name, organisation, share, limit, queues: ['letters', 'archive'] };
}

const pool = (name: string, spare: boolean) => ({ name, cell: CELL, budget: { maximumUnavailable: 2 }, spare });

const queue = (name: string, pools: readonly string[], open: boolean) => ({ name, pools, open, maximumWaiting: 50 });

/** Two pools with five workers, three teams, one open queue and two entry hosts. */
export function createFleetFixture(): FleetState {
	const hosts = [
		createHost('w1', 'main', 'r1'),
		createHost('w2', 'main', 'r1'),
		createHost('w3', 'main', 'r2'),
		createHost('w4', 'main', 'r3'),
		createHost('s1', 'spare', 'r3'),
	];
	const teams = [
		createTeam('amber', 'north', 2, 3),
		createTeam('birch', 'north', 1, 9),
		createTeam('cedar', 'south', 3, 40),
	];
	const byName = <Item extends { readonly name: string }>(items: readonly Item[]): Record<string, Item> =>
		Object.fromEntries(items.map(item => [item.name, item]));
	const entryHosts = ['e1', 'e2'].map(name => ({ name, address: `http://127.0.0.1/${name}`, dataCentre: 'dc-r1' }));
	return {
		...emptyFleetState,
		offset: 1,
		noteOffset: 1,
		pools: byName([pool('main', false), pool('spare', true)]),
		hosts: byName(hosts),
		queues: byName([
			queue('letters', ['main', 'spare'], false),
			queue('archive', ['main'], false),
			queue('public', ['spare'], true),
		]),
		teams: byName(teams),
		keys: Object.fromEntries(teams.map(({ name }) => [`key-${name}`, { id: `key-${name}`, team: name, sha256: '' }])),
		entryHosts: byName(entryHosts),
	};
}
