import { dominantShare } from '@chestnutwheel/ports/common/resources.js';
import type { MaintenanceWave } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { EngineContext } from '../engineContext.js';
import type { Evacuation } from './evacuation.js';
import type { HostOrders } from './hostOrders.js';
import type { WaveState } from './hostRegistry.js';

/** Expected time from the selection of a host to its return, in milliseconds: evacuation, maintenance, worker start. */
const EXPECTED_HOST_ROUND_MS = 5_000;

/** Fraction of the remaining time that the remaining rounds may take before hosts of busy pools are taken as well. */
const TIGHT_TIME_FRACTION = 0.6;

/** Utilisation of a pool's dominant resource above which maintenance of its hosts is deferred. */
const BUSY_POOL_UTILISATION = 0.55;

/** Largest fraction of a pool's hosts that may be under an order before a wave takes no more of them. */
const MAXIMUM_POOL_FRACTION = 0.34;

/** Time for which a host must be missing from the list before it counts as removed, in milliseconds. */
const REMOVED_AFTER_MS = 2_000;

/**
 * Executes the operator's maintenance waves, hosts of the least used pools first, within each wave's concurrency limit.
 */
export interface MaintenanceWaves {
	addWaves(waves: readonly MaintenanceWave[], now: number): void;
	advance(now: number): void;
	/** Records that the state of a wave is stored. */
	handleReported(wave: number, state: 'running' | 'done'): void;
	readonly isActive: boolean;
}

interface Candidate {
	readonly host: ListedHost;
	readonly poolUtilisation: number;
	readonly serviceTaskCount: number;
}

/** Creates the component that executes maintenance waves. */
export function createMaintenanceWaves(
	context: EngineContext,
	orders: HostOrders,
	evacuation: Evacuation,
): MaintenanceWaves {
	const { hosts, workers, logDecision: note } = context;
	const missingSince = new Map<string, number>();

	const poolUtilisation = (pool: string): number => {
		let utilisation = 0;
		let count = 0;
		for (const state of workers.current()) {
			const { entry, usedResources, hasEnded, isListed } = state;
			const isCounted = entry?.pool === pool && !context.evacuated.has(entry.dataCentre);
			if (isCounted && !hasEnded && isListed && workers.isCertain(state)) {
				utilisation += dominantShare(usedResources, entry.resources);
				count++;
			}
		}
		return count === 0 ? 0 : utilisation / count;
	};

	const countServiceTasks = (host: string): number =>
		[...(workers.byHost(host)?.runs.values() ?? [])].filter(({ task }) => task.step.spec.isLasting).length;

	/** Returns the hosts of a wave that are up, not yet maintained and not under an order. */
	const candidatesOf = ({ wave }: WaveState, now: number): Candidate[] => {
		const settled = hosts.settledHosts(wave.wave);
		const utilisationByPool = new Map<string, number>();
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
				const poolUtilisationNow = utilisationByPool.get(host.pool) ?? poolUtilisation(host.pool);
				utilisationByPool.set(host.pool, poolUtilisationNow);
				candidates.push({ host, poolUtilisation: poolUtilisationNow, serviceTaskCount: countServiceTasks(name) });
			}
		}
		return candidates;
	};

	const settleMissing = (wave: MaintenanceWave, host: string, now: number): void => {
		const since = missingSince.get(host) ?? now;
		missingSince.set(host, since);
		if (hosts.listRequestedAt !== undefined && hosts.listRequestedAt - since > REMOVED_AFTER_MS) {
			note('host-gone', { host, wave: wave.wave });
			context.record(
				{ type: 'host-settled', host, action: { type: 'upkeep', wave: wave.wave }, isDone: true, last: undefined },
				now,
			);
		}
	};

	/** Whether a host is of a pool and not in an evacuated data centre, where its absence makes no difference. */
	const countsForPool = (host: ListedHost | undefined, pool: string): boolean =>
		host?.pool === pool && !context.evacuated.has(host.dataCentre);

	const countOrderedInPool = (pool: string): number =>
		[...hosts.orders.keys()].filter(name => countsForPool(hosts.hosts.get(name), pool)).length;

	const poolSize = (pool: string): number => [...hosts.hosts.values()].filter(host => countsForPool(host, pool)).length;

	/** Whether a host is empty and gets no work, because its data centre is evacuated. */
	const isEvacuated = ({ host, dataCentre }: ListedHost): boolean =>
		context.evacuated.has(dataCentre) && (workers.byHost(host)?.runs.size ?? 0) === 0;

	const isStandby = (pool: string): boolean =>
		context.plan?.pools.find(({ name }) => name === pool)?.isStandby ?? false;

	const advanceWave = (state: WaveState, now: number): void => {
		const { wave, seenAt } = state;
		const candidates = candidatesOf(state, now);
		const settled = hosts.settledHosts(wave.wave);
		const inProgress = [...hosts.orders.values()].filter(
			({ action }) => action.type === 'upkeep' && action.wave === wave.wave,
		).length;
		if (settled.size >= wave.hosts.length && inProgress === 0) {
			reportState(state, 'done');
			return;
		}
		reportState(state, 'running');
		evacuateEarly(candidates, now);
		const rounds = Math.ceil(candidates.length / Math.max(1, wave.maximumDown));
		const remainingMs = seenAt + wave.durationMs - now;
		const isTight = rounds * EXPECTED_HOST_ROUND_MS > remainingMs * TIGHT_TIME_FRACTION;
		candidates.sort(
			(first, second) =>
				Number(isEvacuated(second.host)) - Number(isEvacuated(first.host)) ||
				first.poolUtilisation - second.poolUtilisation ||
				first.serviceTaskCount - second.serviceTaskCount,
		);
		let remainingCapacity = wave.maximumDown - inProgress;
		for (const { host, poolUtilisation: hostPoolUtilisation } of candidates) {
			if (remainingCapacity <= 0) {
				return;
			}
			const mayTake =
				isStandby(host.pool) ||
				isEvacuated(host) ||
				((isTight || hostPoolUtilisation < BUSY_POOL_UTILISATION) &&
					countOrderedInPool(host.pool) < Math.max(1, Math.floor(poolSize(host.pool) * MAXIMUM_POOL_FRACTION)));
			if (mayTake && orders.begin(host.host, { type: 'upkeep', wave: wave.wave }, now)) {
				remainingCapacity--;
			}
		}
	};

	/**
	 * Moves service tasks off the hosts of a wave from its beginning, hosts with few of them first. A step may have only some
	 * of its tasks away, so that tasks that share a step leave one after the other; begun only once the hosts are chosen, the
	 * last of them left after the end of the wave.
	 */
	const evacuateEarly = (candidates: readonly Candidate[], now: number): void => {
		const dueHosts = hosts.hostsDueForMaintenance();
		candidates
			.filter(({ serviceTaskCount }) => serviceTaskCount > 0)
			.toSorted((first, second) => first.serviceTaskCount - second.serviceTaskCount)
			.forEach(({ host }) => {
				const state = workers.byHost(host.host);
				if (state !== undefined) {
					evacuation.moveServiceTasksEarly(state, dueHosts, now);
				}
			});
	};

	const reportState = (state: WaveState, reported: 'running' | 'done'): void => {
		if (state.reportedState !== reported) {
			state.reportedState = reported;
			note('wave-reported', { wave: state.wave.wave, state: reported });
			context.emitWhenStored({ type: 'report-wave', wave: state.wave.wave, state: reported });
		}
	};

	return {
		addWaves: (changed, now) => {
			for (const wave of changed) {
				if (!hosts.waves.has(wave.wave)) {
					hosts.waves.set(wave.wave, { wave, seenAt: now, reportedState: undefined });
				}
			}
		},
		advance: now => {
			if (hosts.listRequestedAt === undefined) {
				return;
			}
			for (const state of hosts.waves.values()) {
				if (state.reportedState !== 'done') {
					advanceWave(state, now);
				}
			}
		},
		handleReported: (wave, reported) => {
			const state = hosts.waves.get(wave);
			if (state !== undefined && state.reportedState !== 'done') {
				state.reportedState = reported;
			}
		},
		get isActive() {
			return [...hosts.waves.values()].some(({ reportedState }) => reportedState !== 'done');
		},
	};
}
