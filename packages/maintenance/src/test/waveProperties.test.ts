import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { hosts, pools, waves } from './modelFleet.js';
import { faultKinds, runModel, type Fault, type ModelRun } from './waveModel.js';

const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
	kind: fc.constantFrom(...faultKinds),
	at: fc.integer({ min: 1, max: 240 }).map(seconds => seconds * 1_000),
	forMs: fc.constantFrom(8_000, 40_000, 150_000, 10_000_000),
	target: fc.nat(100),
});

const runArbitrary: fc.Arbitrary<ModelRun> = fc.record({
	seed: fc.nat(1_000_000),
	pools: fc.constant(pools),
	hosts: fc.constant(hosts),
	waves: fc.constantFrom(waves, waves.slice(0, 1)),
	faults: fc.array(faultArbitrary, { maxLength: 8 }),
	rebootMs: fc.constantFrom(10_000, 25_000),
	listLagMs: fc.constantFrom(0, 4_000, 12_000),
	drainSurvivesReboot: fc.boolean(),
	lostAnswers: fc.constantFrom(0, 0, 0.3),
	endAt: fc.constant(1_500_000),
	useRealFold: fc.boolean(),
});

describe('waves over a model of hosts and of the fold', () => {
	// Guards against claims beyond the budget, reboots under running tasks, and waves that hang without a reason.
	it.each([20261204, 71, 90210])('holds budgets and reaches an end or a true reason, seed %i', seed => {
		fc.assert(
			fc.property(runArbitrary, run => {
				expect(runModel(run).checks.violations).toEqual([]);
			}),
			{ seed, numRuns: Number(process.env.WAVE_RUNS ?? 25), endOnFailure: process.env.WAVE_RUNS !== undefined },
		);
	});
});
