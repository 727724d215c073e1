import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { DecisionLogger } from '../engineMessages.js';

/** Interval between two log lines, in milliseconds. */
const LOG_INTERVAL_MS = 5_000;

/** Longest time that one plan is counted for, in milliseconds, so that a pause between plans is not counted as use. */
const MAXIMUM_INTERVAL_MS = 1_000;

/** What the hosts of a pool are there for: those at work, and the reasons for those without any run. */
export type HostUseReason =
	| 'busy'
	/** On the way to the pool. */
	| 'moving'
	/** Needed by work that arrives at the recent rate, but not by the work at hand. */
	| 'arriving'
	/** Ordered for a peak that is forecast. */
	| 'expected'
	/** Needed only as the minimum of the pool: for the loss of a host, or for the limit of a step on tasks per worker. */
	| 'minimum'
	/** Needed by the work at hand, which is spread over fewer hosts, or kept free so that it stays below the target utilisation. */
	| 'margin'
	/** Kept because the pool needed them shortly before, or for a peak that is near. */
	| 'retained';

/** Hosts of a pool and its needs, in hosts. */
export interface PoolUse {
	/** Hosts that serve the pool or are moving to it. */
	readonly currentHosts: number;
	readonly movingHosts: number;
	readonly idleHosts: number;
	readonly targetHosts: number;
	readonly minimumHosts: number;
	/** Hosts needed by the work at hand alone. */
	readonly atHandHosts: number;
	/** Hosts needed by the work at hand or the arriving work, whichever is more. */
	readonly arrivingHosts: number;
}

/** Splits the hosts of a pool by what they are there for. */
export function splitHosts(use: PoolUse): Readonly<Record<HostUseReason, number>> {
	const { currentHosts, movingHosts, idleHosts, targetHosts, minimumHosts, atHandHosts, arrivingHosts } = use;
	let left = idleHosts;
	const takeUpTo = (count: number): number => {
		const taken = Math.max(0, Math.min(left, count));
		left -= taken;
		return taken;
	};
	const retained = takeUpTo(currentHosts - targetHosts);
	const minimum = takeUpTo(Math.min(targetHosts, minimumHosts) - arrivingHosts);
	const expected = takeUpTo(targetHosts - Math.max(minimumHosts, arrivingHosts));
	const arriving = takeUpTo(arrivingHosts - atHandHosts);
	const busy = Math.max(0, currentHosts - movingHosts - idleHosts);
	return { busy, moving: movingHosts, retained, minimum, expected, arriving, margin: left };
}

/** Counts the seconds that hosts spend in pools by what they are there for. */
export interface HostUseCounter {
	count(uses: readonly PoolUse[], now: number): void;
}

/** Creates a counter that has seen no plan. */
export function createHostUseCounter(counters: Counters, logDecision: DecisionLogger): HostUseCounter {
	const seconds: Record<HostUseReason, number> = {
		busy: 0,
		moving: 0,
		arriving: 0,
		expected: 0,
		minimum: 0,
		margin: 0,
		retained: 0,
	};
	let countedAt: number | undefined;
	let loggedAt = -Infinity;
	return {
		count: (uses, now) => {
			const elapsedMs = Math.min(MAXIMUM_INTERVAL_MS, now - (countedAt ?? now));
			countedAt = now;
			for (const use of uses) {
				for (const [reason, hosts] of Object.entries(splitHosts(use)) as [HostUseReason, number][]) {
					seconds[reason] += (hosts * elapsedMs) / 1_000;
				}
			}
			if (now >= loggedAt + LOG_INTERVAL_MS) {
				loggedAt = now;
				const rounded = Object.entries(seconds).map(([use, value]) => [use, Math.round(value)] as const);
				rounded.forEach(([use, value]) => counters.set('pool_host_seconds', value, { use }));
				logDecision('pool-use', Object.fromEntries(rounded));
			}
		},
	};
}
