import { dominantShare } from '@chestnutwheel/ports/common/resources.js';
import type { MaintenanceWave } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { EngineContext } from '../engineContext.js';
import type { HostOrders } from './hostOrders.js';
import type { WaveState } from './hostBook.js';

/** Expected time from the choice of a host until it is back, in milliseconds: emptying, upkeep, a new worker. */
const EXPECTED_ROUND_MS = 5_000;

/** Part of the time that is left which the remaining rounds may take before busy pools are touched as well. */
const TIGHT_SHARE = 0.6;

/** Use of a pool, by its scarcest dimension, above which its hosts wait for a calmer moment. */
const BUSY_POOL_USE = 0.55;

/** Part of a pool's hosts that may be closing or away at once for a wave. */
const POOL_SHARE = 0.34;

/** Time for which a host may be missing from the list before it counts as gone. */
const MISSING_MS = 2_000;

/** Drives the operator's waves: hosts of calm pools first, as many at once as the wave allows. */
export interface UpkeepWaves {
	wavesChanged(waves: readonly MaintenanceWave[], now: number): void;
	advance(now: number): void;
	/** The state of a wave is in the store. */
	reported(wave: number, state: 'running' | 'done'): void;
	readonly isActive: boolean;
}

interface Candidate {
	readonly host: ListedHost;
	readonly use: number;
	readonly lasting: number;
}

/** Creates the part of the engine that drives waves. */
export function createUpkeepWaves(context: EngineContext, orders: HostOrders): UpkeepWaves {
	const { hosts, workers, note } = context;
	const missingSince = new Map<string, number>();

	const poolUse = (pool: string): number => {
		let use = 0;
		let count = 0;
		for (const { entry, used, isOver, isListed } of workers.current()) {
			if (entry?.pool === pool && !isOver && isListed) {
				use += dominantShare(used, entry.resources);
				count++;
			}
		}
		return count === 0 ? 0 : use / count;
	};

	const lastingOn = (host: string): number =>
		[...(workers.byHost(host)?.runs.values() ?? [])].filter(({ task }) => task.step.spec.isLasting).length;

	/** Hosts of the wave that are neither settled nor in work, and whether they can be ordered now. */
	const candidatesOf = ({ wave }: WaveState, now: number): Candidate[] => {
		const settled = hosts.settled(wave.wave);
		const uses = new Map<string, number>();
		const candidates: Candidate[] = [];
		for (const name of wave.hosts) {
			const host = hosts.hosts.get(name);
			if (settled.has(name) || hosts.orders.has(name)) {
				missingSince.delete(name);
				continue;
			}
			if (host === undefined) {
				settleMissing(wave, name, now);
				continue;
			}
			missingSince.delete(name);
			if (host.state === 'up') {
				const use = uses.get(host.pool) ?? poolUse(host.pool);
				uses.set(host.pool, use);
				candidates.push({ host, use, lasting: lastingOn(name) });
			}
		}
		return candidates;
	};

	const settleMissing = (wave: MaintenanceWave, host: string, now: number): void => {
		const since = missingSince.get(host) ?? now;
		missingSince.set(host, since);
		if (hosts.askedAt !== undefined && hosts.askedAt - since > MISSING_MS) {
			note('host-gone', { host, wave: wave.wave });
			context.record(
				{ type: 'host-settled', host, action: { type: 'upkeep', wave: wave.wave }, isDone: true, last: undefined },
				now,
			);
		}
	};

	const busyInPool = (pool: string): number => {
		let count = 0;
		for (const name of hosts.orders.keys()) {
			if (hosts.hosts.get(name)?.pool === pool) {
				count++;
			}
		}
		return count;
	};

	const poolSize = (pool: string): number => [...hosts.hosts.values()].filter(host => host.pool === pool).length;

	const isStandby = (pool: string): boolean =>
		context.plan?.pools.find(({ name }) => name === pool)?.isStandby ?? false;

	const advanceWave = (state: WaveState, now: number): void => {
		const { wave, seenAt } = state;
		const candidates = candidatesOf(state, now);
		const settled = hosts.settled(wave.wave);
		const inWork = [...hosts.orders.values()].filter(
			({ action }) => action.type === 'upkeep' && action.wave === wave.wave,
		).length;
		if (settled.size >= wave.hosts.length && inWork === 0) {
			report(state, 'done');
			return;
		}
		const rounds = Math.ceil(candidates.length / Math.max(1, wave.maximumDown));
		const left = seenAt + wave.durationMs - now;
		const isTight = rounds * EXPECTED_ROUND_MS > left * TIGHT_SHARE;
		candidates.sort((first, second) => first.use - second.use || first.lasting - second.lasting);
		let free = wave.maximumDown - inWork;
		for (const { host, use } of candidates) {
			if (free <= 0) {
				return;
			}
			const mayTake =
				isStandby(host.pool) ||
				((isTight || use < BUSY_POOL_USE) &&
					busyInPool(host.pool) < Math.max(1, Math.floor(poolSize(host.pool) * POOL_SHARE)));
			if (mayTake && orders.begin(host.host, { type: 'upkeep', wave: wave.wave }, now)) {
				free--;
			}
		}
	};

	const report = (state: WaveState, reported: 'running' | 'done'): void => {
		if (state.reported !== reported) {
			state.reported = reported;
			note('wave-reported', { wave: state.wave.wave, state: reported });
			context.afterBatch({ type: 'report-wave', wave: state.wave.wave, state: reported });
		}
	};

	return {
		wavesChanged: (changed, now) => {
			for (const wave of changed) {
				if (!hosts.waves.has(wave.wave)) {
					hosts.waves.set(wave.wave, { wave, seenAt: now, reported: undefined });
				}
			}
		},
		advance: now => {
			if (hosts.askedAt === undefined) {
				return;
			}
			for (const state of hosts.waves.values()) {
				if (state.reported !== 'done') {
					if (state.reported === undefined) {
						report(state, 'running');
					}
					advanceWave(state, now);
				}
			}
		},
		reported: (wave, reported) => {
			const state = hosts.waves.get(wave);
			if (state !== undefined && state.reported !== 'done') {
				state.reported = reported;
			}
		},
		get isActive() {
			return [...hosts.waves.values()].some(({ reported }) => reported !== 'done');
		},
	};
}
