import type { ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { EngineContext } from '../engineContext.js';
import type { HostOrders } from '../hosts/hostOrders.js';
import type { MovableHost, PoolMove, PoolNeed } from './poolPlan.js';

/** Minimum interval between two log lines about pools that lack hosts, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** Largest number of pools whose hosts are listed in one line. */
const MAXIMUM_LISTED_POOLS = 8;

/** Why a host does not move to a pool that lacks hosts. `idle` hosts may move. */
export type HostUse =
	| 'idle'
	| 'busy'
	| 'service-tasks'
	/** No worker on it answers. */
	| 'unreachable'
	/** An order to it waits for its work to end. */
	| 'emptying'
	/** An order to it was sent or is about to be. */
	| 'ordered'
	/** It may not be ordered yet, because a former leader has ordered it recently. */
	| 'paused'
	| 'down'
	/** Its data centre is evacuated. */
	| 'evacuated';

/** Logs which pools lack hosts and what the hosts of the largest pools do instead. */
export interface PoolShortageLog {
	/**
	 * Logs a line if a pool still lacks hosts after the planned moves.
	 * @param idle hosts that may move, before the planned moves
	 */
	report(needs: readonly PoolNeed[], moves: readonly PoolMove[], idle: readonly MovableHost[], now: number): void;
}

/** Creates the log of pools that lack hosts. */
export function createPoolShortageLog(context: EngineContext, orders: HostOrders): PoolShortageLog {
	const { hosts, workers, logDecision } = context;
	let loggedAt = -Infinity;

	const useOf = ({ host, state, dataCentre }: ListedHost, idle: ReadonlySet<string>, now: number): HostUse => {
		if (context.evacuated.has(dataCentre)) {
			return 'evacuated';
		}
		const order = hosts.orders.get(host);
		if (order !== undefined) {
			return order.phase === 'emptying' ? 'emptying' : 'ordered';
		}
		if (state !== 'up') {
			return 'down';
		}
		if (idle.has(host)) {
			return 'idle';
		}
		if (!orders.isAvailable(host, now)) {
			return 'paused';
		}
		const worker = workers.byHost(host);
		if (worker?.reachability !== 'answering') {
			return 'unreachable';
		}
		const hasServiceTasks = [...worker.runs.values()].some(({ task }) => task.step.spec.isLasting);
		return hasServiceTasks ? 'service-tasks' : 'busy';
	};

	/** Counts the hosts of each pool by their use, for the pools with the most hosts. */
	const countUses = (
		idle: readonly MovableHost[],
		now: number,
	): Readonly<Record<string, Partial<Record<HostUse, number>>>> => {
		const idleHosts = new Set(idle.map(({ host }) => host));
		const pools = new Map<string, Map<HostUse, number>>();
		for (const listed of hosts.hosts.values()) {
			const uses = pools.get(listed.pool) ?? new Map<HostUse, number>();
			const use = useOf(listed, idleHosts, now);
			pools.set(listed.pool, uses.set(use, (uses.get(use) ?? 0) + 1));
		}
		const size = (uses: ReadonlyMap<HostUse, number>): number => [...uses.values()].reduce((sum, of) => sum + of, 0);
		return Object.fromEntries(
			[...pools]
				.sort(([, first], [, second]) => size(second) - size(first))
				.slice(0, MAXIMUM_LISTED_POOLS)
				.map(([pool, uses]) => [pool, Object.fromEntries(uses)]),
		);
	};

	return {
		report: (needs, moves, idle, now) => {
			const short = needs.filter(
				({ pool, currentHosts, targetHosts }) =>
					currentHosts + moves.filter(({ to }) => to === pool).length < targetHosts,
			);
			if (short.length === 0 || now < loggedAt + LOG_INTERVAL_MS) {
				return;
			}
			loggedAt = now;
			const listed = [...hosts.hosts.values()];
			logDecision('pools-short', {
				pools: short.map(({ pool, currentHosts, targetHosts }) => `${pool} ${currentHosts}/${targetHosts}`).join(),
				hosts: listed.length,
				up: listed.filter(({ state }) => state === 'up').length,
				idle: idle.length,
				ordered: hosts.orders.size,
				paused: listed.filter(({ host }) => !hosts.orders.has(host) && !orders.isAvailable(host, now)).length,
				uses: countUses(idle, now),
			});
		},
	};
}
