import fc from 'fast-check';
import { expect } from 'vitest';
import { runLeaseCluster, type ClusterEvent, type ClusterOptions } from './leaseCluster.js';

/** Interleavings per seed and kind of fault; the three seeds and two kinds add up to 2 x 2,100. */
const RUNS_PER_SEED = 700;
export const seeds = [20_261, 90_210, 1];
/** Faults end before this time, and the cluster must have one leader again after the recovery time. */
const FAULTS_UNTIL_MS = 11_000;
const RECOVERY_MS = 9_000;

const host = fc.integer({ min: 0, max: 4 });
const at = fc.integer({ min: 1_500, max: FAULTS_UNTIL_MS - 4_500 });
const forMs = fc.integer({ min: 1, max: 4_500 });

/** Faults of all kinds. */
export const anyFaults = fc.array(
	fc.oneof(
		{ weight: 4, arbitrary: fc.record({ type: fc.constant('cut' as const), at, from: host, to: host, forMs }) },
		{
			weight: 2,
			arbitrary: fc.record({
				type: fc.constant('slow' as const),
				at,
				from: host,
				to: host,
				delayMs: fc.integer({ min: 1, max: 2_500 }),
				forMs,
			}),
		},
		{
			weight: 1,
			arbitrary: fc.record({
				type: fc.constant('duplicate' as const),
				at,
				from: host,
				to: host,
				againMs: fc.integer({ min: 1, max: 4_000 }),
			}),
		},
		{ weight: 3, arbitrary: fc.record({ type: fc.constant('pause' as const), at, host, forMs }) },
		{ weight: 3, arbitrary: fc.record({ type: fc.constant('restart' as const), at, host }) },
		{ weight: 1, arbitrary: fc.record({ type: fc.constant('release' as const), at, host }) },
		{ weight: 2, arbitrary: fc.record({ type: fc.constant('lag' as const), at, host, forMs }) },
		{ weight: 3, arbitrary: fc.record({ type: fc.constant('toggle-member' as const), at, host }) },
	),
	{ maxLength: 16 },
);

/** Two consecutive changes of the entry set while one of the first three hosts lags and cannot reach another. */
export const entrySetChanges = fc
	.record({
		lagging: fc.integer({ min: 0, max: 2 }),
		other: fc.integer({ min: 0, max: 2 }),
		firstAt: fc.integer({ min: 3_500, max: 5_000 }),
		gapMs: fc.integer({ min: 60, max: 2_600 }),
		cutMs: fc.integer({ min: 2_000, max: 6_000 }),
		more: anyFaults,
	})
	.map(({ lagging, other, firstAt, gapMs, cutMs, more }): ClusterEvent[] => [
		{ at: firstAt - 1_000, type: 'lag', host: lagging, forMs: 6_000 },
		{ at: firstAt - 1_800, type: 'cut', from: lagging, to: other, forMs: cutMs },
		{ at: firstAt, type: 'toggle-member', host: 3 },
		{ at: firstAt + gapMs, type: 'toggle-member', host: 4 },
		...more.slice(0, 3),
	]);

/** Cluster options whose clock rates are within 1 % of real time and so differ by up to 2 %. */
export const clusterOptions = fc
	.record({
		seed: fc.integer({ min: 0, max: 1_000_000 }),
		rates: fc.array(fc.constantFrom(0.99, 1, 1.01), { minLength: 5, maxLength: 5 }),
		members: fc.integer({ min: 3, max: 5 }),
		lossPercent: fc.constantFrom(0, 0, 5, 30),
	})
	.map(({ seed, rates, members, lossPercent }): ClusterOptions => ({
		unit: 'lease-cluster',
		seed,
		hosts: rates.map((rate, index) => ({ name: `entry-${index}`, rate, clockStart: index * 100_000 })),
		members,
		lossPercent,
		endAt: FAULTS_UNTIL_MS,
	}));

/** Checks that no two daemons hold a cell at the same real time. */
export function expectOneHolder(events: fc.Arbitrary<ClusterEvent[]>, seed: number): void {
	let leases = 0;
	let changes = 0;
	fc.assert(
		fc.property(clusterOptions, events, (options, faults) => {
			const result = runLeaseCluster(options, faults);
			leases += result.leasesSeen;
			changes += result.setChanges;
			expect(result.mostHolders).toBeLessThanOrEqual(1);
			// Restarted voters may forget a term, which the workers report in a real fleet.
			if (!faults.some(fault => fault.type === 'restart' || fault.type === 'release')) {
				expect(result.termViolations).toBe(0);
			}
		}),
		{ seed, numRuns: RUNS_PER_SEED },
	);
	// Fails if the runs had too few leases or entry set changes to test anything.
	expect(leases).toBeGreaterThan(RUNS_PER_SEED * 1.2);
	expect(changes).toBeGreaterThan(RUNS_PER_SEED / 2);
}

/** Checks that candidates do not block each other permanently. */
export function expectLeaderAfterFaults(events: fc.Arbitrary<ClusterEvent[]>): void {
	fc.assert(
		fc.property(clusterOptions, events, (options, faults) => {
			const quiet = { ...options, lossPercent: 0, endAt: FAULTS_UNTIL_MS + RECOVERY_MS };
			expect(runLeaseCluster(quiet, faults).holdersAtEnd).toHaveLength(1);
		}),
		{ seed: 1_843, numRuns: 150 },
	);
}
