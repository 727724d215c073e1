import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { runInterleaving, type InterleavingResult } from './interleaving.js';
import type { Step } from './interleavingStep.js';

const team = fc.nat(3);
const host = fc.nat(4);

const step: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 6,
		arbitrary: fc.record({
			type: fc.constant('request' as const),
			team,
			queue: fc.nat(1),
			class: fc.constantFrom('urgent' as const, 'normal' as const, 'research' as const),
			ms: fc.integer({ min: 50, max: 60_000 }),
		}),
	},
	{
		weight: 5,
		arbitrary: fc.record({ type: fc.constant('burst' as const), team, count: fc.integer({ min: 2, max: 14 }) }),
	},
	{
		weight: 1,
		arbitrary: fc.record({ type: fc.constant('cancel-wave' as const), count: fc.integer({ min: 1, max: 20 }) }),
	},
	{
		weight: 6,
		arbitrary: fc.record({
			type: fc.constant('end' as const),
			count: fc.integer({ min: 1, max: 6 }),
			report: fc.constantFrom('now' as const, 'lost' as const, 'late' as const, 'twice' as const, 'unknown' as const),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({ type: fc.constantFrom('restart' as const, 'cut' as const, 'join' as const), host }),
	},
	{ weight: 2, arbitrary: fc.record({ type: fc.constant('limit' as const), team: fc.nat(2), limit: fc.nat(10) }) },
	{
		weight: 1,
		arbitrary: fc.record({ type: fc.constantFrom('withdraw-key' as const, 'restore-key' as const), team: fc.nat(2) }),
	},
	{ weight: 1, arbitrary: fc.record({ type: fc.constantFrom('leaving' as const, 'live' as const), host }) },
	{
		weight: 5,
		arbitrary: fc.record({ type: fc.constant('advance' as const), ms: fc.integer({ min: 1, max: 9_000 }) }),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			type: fc.constant('change-leader' as const),
			pauseOld: fc.boolean(),
			entrySilent: fc.boolean(),
		}),
	},
	{ weight: 1, arbitrary: fc.constant({ type: 'resume' as const }) },
);

/** Interleavings for each seed. */
const RUNS = 800;

describe('interleavings of one cell', () => {
	it.each([1, 2, 3])(
		'never exceed a limit or eight tasks a worker, nor start for a withdrawn key or on a leaving host (seed %i)',
		seed => {
			const totals = { starts: 0, refusedStarts: 0, leaderChanges: 0 };
			fc.assert(
				fc.property(fc.nat(), fc.array(step, { minLength: 20, maxLength: 60 }), (runSeed, steps) => {
					const result: InterleavingResult = runInterleaving(runSeed, steps);
					totals.starts += result.starts;
					totals.refusedStarts += result.refusedStarts;
					totals.leaderChanges += result.leaderChanges;
					expect(result.violations).toEqual([]);
				}),
				{ seed, numRuns: RUNS, endOnFailure: false },
			);
			// Guards against a generator under which nothing starts, so that nothing could fail.
			expect(totals.starts).toBeGreaterThan(RUNS * 5);
			expect(totals.refusedStarts).toBeGreaterThan(RUNS / 10);
			expect(totals.leaderChanges).toBeGreaterThan(RUNS / 2);
		},
	);
});
