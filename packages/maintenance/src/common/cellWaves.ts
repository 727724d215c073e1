import type { FleetState, Host, Pool, Wave } from '@chestnutwheel/configuration/common/fleetState.js';

/** A wave as far as one cell drives it. */
export interface CellWave {
	readonly wave: Wave;
	readonly waiting: readonly Host[];
	readonly claimed: readonly Host[];
	/** All hosts of the wave that have returned, also those of other cells. */
	readonly returned: readonly string[];
}

/** The part of the state that the leader of one cell drives. */
export interface CellWaves {
	readonly waves: readonly CellWave[];
	/** Names of all hosts of the fleet that some wave has claimed. */
	readonly claimedHosts: ReadonlySet<string>;
	hostsOf(pool: string): readonly Host[];
}

/** Reads the waves of one cell out of the state. */
export interface CellWavesReader {
	read(state: FleetState): CellWaves;
}

/** Creates a reader that keeps its index of hosts while the state holds the same hosts and pools. */
export function createCellWavesReader(cell: string): CellWavesReader {
	let indexedHosts: FleetState['hosts'] | undefined;
	let indexedPools: FleetState['pools'] | undefined;
	let byPool = new Map<string, Host[]>();

	const index = (state: FleetState): void => {
		if (state.hosts === indexedHosts && state.pools === indexedPools) {
			return;
		}
		indexedHosts = state.hosts;
		indexedPools = state.pools;
		byPool = new Map(
			Object.values<Pool>(state.pools)
				.filter(pool => pool.cell === cell)
				.map(pool => [pool.name, []]),
		);
		for (const host of Object.values(state.hosts)) {
			byPool.get(host.pool)?.push(host);
		}
	};

	const toCellWave = (state: FleetState, wave: Wave): CellWave => {
		const waiting: Host[] = [];
		const claimed: Host[] = [];
		const returned: string[] = [];
		for (const [name, hostState] of Object.entries(wave.hosts)) {
			const host = state.hosts[name];
			if (hostState === 'returned') {
				returned.push(name);
			} else if (host !== undefined && byPool.has(host.pool)) {
				(hostState === 'claimed' ? claimed : waiting).push(host);
			}
		}
		return { wave, waiting, claimed, returned };
	};

	return {
		read: state => {
			index(state);
			const active = Object.values(state.waves)
				.filter(wave => !isEnded(wave))
				.sort((left, right) => (left.name < right.name ? -1 : 1));
			const claimedHosts = new Set<string>();
			for (const wave of active) {
				for (const [name, hostState] of Object.entries(wave.hosts)) {
					if (hostState === 'claimed') {
						claimedHosts.add(name);
					}
				}
			}
			return {
				waves: active.map(wave => toCellWave(state, wave)),
				claimedHosts,
				hostsOf: pool => byPool.get(pool) ?? [],
			};
		},
	};
}

/** A withdrawn wave keeps its state when its last claimed host has returned. */
function isEnded(wave: Wave): boolean {
	return wave.state === 'finished' || (wave.state === 'withdrawn' && !Object.values(wave.hosts).includes('claimed'));
}
