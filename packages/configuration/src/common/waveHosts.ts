import type { Wave, WaveHostState } from './fleetState.js';
import { createShardedTable, type ShardedTable } from './shardedTable.js';

/** The hosts of a wave in a form that a claim or a return changes without copying the whole wave. */
export interface WaveHosts {
	readonly table: ShardedTable<WaveHostState>;
	readonly counts: Readonly<Record<WaveHostState, number>>;
}

const hostsByWave = new WeakMap<Wave, WaveHosts>();

/** The hosts of a wave; they are computed once for a wave that did not come from the fold. */
export function waveHostsOf(wave: Wave): WaveHosts {
	const known = hostsByWave.get(wave);
	if (known !== undefined) {
		return known;
	}
	const entries = Object.entries(wave.hosts);
	const counts = { waiting: 0, claimed: 0, returned: 0 };
	for (const [, hostState] of entries) {
		counts[hostState]++;
	}
	const hosts: WaveHosts = { table: createShardedTable(entries), counts };
	hostsByWave.set(wave, hosts);
	return hosts;
}

/** A wave with some fields changed. Its `hosts` record is built when it is first read, so a wave is never spread. */
export function changeWave(wave: Wave, changes: Partial<Omit<Wave, 'hosts'>>, hosts = waveHostsOf(wave)): Wave {
	const { name, pools, state, reason, returnWithinMs } = wave;
	const next: Wave = {
		name,
		pools,
		state,
		reason,
		returnWithinMs,
		...changes,
		get hosts() {
			return hosts.table.toRecord();
		},
	};
	hostsByWave.set(next, hosts);
	return next;
}

/** A wave with the state of one host changed; `undefined` takes the host out. */
export function changeWaveHost(wave: Wave, host: string, hostState: WaveHostState | undefined): Wave {
	const { table, counts } = waveHostsOf(wave);
	const nextCounts = { ...counts };
	const before = table.get(host);
	if (before !== undefined) {
		nextCounts[before]--;
	}
	if (hostState !== undefined) {
		nextCounts[hostState]++;
	}
	return changeWave(wave, {}, { table: table.with(new Map([[host, hostState]])), counts: nextCounts });
}
