import type { Host, Pool, Wave } from '@chestnutwheel/configuration/common/fleetState.js';

const hostsOf = (pool: string, count: number): readonly Host[] =>
	Array.from({ length: count }, (_, index) => {
		const rack = Math.floor(index / 4);
		const name = `${pool}-${index}`;
		const dataCentre = `dc${rack % 3}`;
		const address = `http://127.0.0.1:${pool === 'a' ? 7000 + index : 8000 + index}`;
		return { name, pool, address, dataCentre, rack: `${pool}-rack-${rack}`, slots: 8, connections: 64 };
	});

/** Two pools of one cell with small budgets. */
export const pools: readonly Pool[] = [
	{ name: 'a', cell: 'cell', budget: { maximumUnavailable: 3, maximumUnavailablePerDataCentre: 2 }, spare: false },
	{ name: 'b', cell: 'cell', budget: { maximumUnavailable: 2 }, spare: true },
];
/** Racks of four hosts over three data centres. */
export const hosts = [...hostsOf('a', 9), ...hostsOf('b', 5)];
/** A running wave over hosts of the model. */
export const waveOver = (name: string, names: readonly string[]): Wave => ({
	name,
	pools: [],
	hosts: Object.fromEntries(names.map(host => [host, 'waiting' as const])),
	state: 'running',
	returnWithinMs: 90_000,
});
/** A wave over everything, and a second one over some of the same hosts. */
export const waves = [
	waveOver(
		'first',
		hosts.map(host => host.name),
	),
	waveOver(
		'second',
		hosts.filter((_, index) => index % 3 === 0).map(host => host.name),
	),
];
