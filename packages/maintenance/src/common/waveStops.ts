import type { FleetState, Wave, WaveState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { CellWave } from './cellWaves.js';
import { createReturnedHealth, tooManyFailing, type ReturnedHealth } from './returnedHealth.js';
import { formatStopCause, parseStopCause, type StopCause } from './stopReasons.js';

/** A record about a wave as a whole. */
export interface WaveChange {
	readonly type: 'wave-stopped' | 'wave-resumed';
	readonly reason: string;
}

/** Decides when waves stop and resume. */
export interface WaveStops {
	/** Takes note of a new state, before anything is decided on it. */
	follow(waves: readonly CellWave[]): void;
	/** Counts a result of a returned host. @returns whether it may change what is due */
	takeResult(waves: readonly CellWave[], host: string, succeeded: boolean): boolean;
	/** The record that is due for a wave; `undefined` when there is none. */
	changeOf(wave: CellWave, state: FleetState, overdueHosts: readonly string[]): WaveChange | undefined;
	/** Waves that went on after a stop, by the driver or by a note, since the last call. */
	takeResumed(): readonly string[];
	forget(): void;
}

/** Creates the decisions of one leader. */
export function createWaveStops(): WaveStops {
	const healthByWave = new Map<string, ReturnedHealth>();
	const lastStates = new Map<string, WaveState>();
	let resumed: string[] = [];

	const healthOf = (name: string): ReturnedHealth => {
		const known = healthByWave.get(name);
		if (known !== undefined) {
			return known;
		}
		const created = createReturnedHealth();
		healthByWave.set(name, created);
		return created;
	};

	const enter = (wave: Wave, before: WaveState | undefined): void => {
		if (wave.state === 'stopped' && before !== 'stopped') {
			const cause = parseStopCause(wave.reason);
			if (cause?.kind === 'returned-hosts-failing') {
				const health = healthOf(wave.name);
				cause.hosts.filter(host => !health.isFailing(host)).forEach(health.markFailing);
			}
		}
		if (wave.state === 'running' && before === 'stopped') {
			// Whoever resumed the wave has accepted what stopped it, so the same results may not stop it again.
			healthOf(wave.name).clear();
			resumed.push(wave.name);
		}
	};

	const failingHosts = ({ wave, returned }: CellWave, state: FleetState): readonly string[] => {
		const health = healthOf(wave.name);
		return returned.filter(host => state.hosts[host] !== undefined && health.isFailing(host));
	};

	const isGone: Readonly<
		Record<
			StopCause['kind'],
			(cellWave: CellWave, state: FleetState, cause: StopCause, overdueHosts: readonly string[]) => boolean
		>
	> = {
		'host-overdue': ({ wave }, state, cause, overdueHosts) =>
			overdueHosts.length === 0 &&
			cause.hosts.every(host => wave.hosts[host] !== 'claimed' || state.hosts[host] === undefined),
		'returned-hosts-failing': (cellWave, state) =>
			!tooManyFailing(failingHosts(cellWave, state).length, cellWave.returned.length),
	};

	return {
		follow: waves => {
			const names = new Set(waves.map(({ wave }) => wave.name));
			for (const name of [...lastStates.keys()].filter(known => !names.has(known))) {
				lastStates.delete(name);
				healthByWave.delete(name);
			}
			for (const { wave } of waves) {
				enter(wave, lastStates.get(wave.name));
				lastStates.set(wave.name, wave.state);
			}
		},
		takeResult: (waves, host, succeeded) => {
			const changes = waves
				.filter(({ wave }) => wave.hosts[host] === 'returned')
				.map(({ wave }) => healthOf(wave.name).takeResult(host, succeeded));
			return changes.includes(true);
		},
		changeOf: (cellWave, state, overdueHosts) => {
			const { wave, returned } = cellWave;
			if (wave.state === 'running') {
				if (overdueHosts.length > 0) {
					return { type: 'wave-stopped', reason: formatStopCause({ kind: 'host-overdue', hosts: overdueHosts }) };
				}
				const failing = failingHosts(cellWave, state);
				return tooManyFailing(failing.length, returned.length)
					? { type: 'wave-stopped', reason: formatStopCause({ kind: 'returned-hosts-failing', hosts: failing }) }
					: undefined;
			}
			const cause = wave.state === 'stopped' ? parseStopCause(wave.reason) : undefined;
			return cause !== undefined && isGone[cause.kind](cellWave, state, cause, overdueHosts)
				? { type: 'wave-resumed', reason: `the cause is gone: ${formatStopCause(cause)}` }
				: undefined;
		},
		takeResumed: () => {
			const names = resumed;
			resumed = [];
			return names;
		},
		forget: () => {
			healthByWave.clear();
			lastStates.clear();
			resumed = [];
		},
	};
}
