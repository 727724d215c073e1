import { describe, expect, it } from 'vitest';
import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { createDispatcher } from '@chestnutwheel/dispatch/common/dispatcher.js';
import { createDeskShape, DESK_CELL } from '../common/experiment/deskShape.js';
import { fairIdeal } from '../common/experiment/fairIdeal.js';
import { createMeasures } from '../common/experiment/measures.js';
import { replay } from '../common/experiment/replay.js';
import type { Scenario } from '../common/experiment/scenarios.js';
import { shareErrors } from '../common/experiment/shareErrors.js';
import { generateTrace } from '../common/experiment/workload.js';

const scenario: Scenario = {
	name: 'short',
	durationMs: 12_000,
	load: { urgent: 0.1, normal: 1, research: 0.2 },
	bursts: true,
	rackLostAt: 6_000,
};

function runOnce() {
	const shape = createDeskShape('barley');
	const trace = generateTrace(shape, scenario, 7);
	const measures = createMeasures();
	const dispatcher = createDispatcher({ cell: DESK_CELL, random: createSeededRandom(7) });
	replay({ shape, scenario, trace, dispatcher, measures, seed: 7, stopwatch: () => 0 });
	return measures.figures(scenario.durationMs);
}

describe('experiment', () => {
	it('gives the same figures for the same seed, so that variants differ by their policy alone', () => {
		const figures = runOnce();
		expect(figures.completed).toBeGreaterThan(100);
		expect(runOnce()).toEqual(figures);
	});

	it('divides the slots of the ideal by organisation, then by team, and honours demand', () => {
		const { state } = createDeskShape('barley');
		const everything = (count: number) => new Map([['general', count]]);
		const demand = new Map([
			['north-1', everything(1_000)],
			['north-2', everything(1_000)],
			['hill-1', everything(1_000)],
			['lake-1', everything(1)],
		]);
		const ideal = fairIdeal(state, demand, new Map([['general', 41]]));
		expect(ideal.get('lake-1')).toBeCloseTo(1, 1);
		expect(ideal.get('hill-1')).toBeCloseTo(4, 0);
		expect(ideal.get('north-1')).toBeCloseTo(27, 0);
		expect(ideal.get('north-2')).toBeCloseTo(9, 0);
	});

	it('counts only windows in which the fleet was full and the team waited throughout', () => {
		const samples = Array.from({ length: 121 }, (_, index) => ({
			at: index * 500,
			full: index < 100,
			ideal: new Map([['a', 4]]),
			heldMs: new Map([['a', index * 500 * 5]]),
			backlogged: new Set(index <= 60 ? ['a'] : []),
		}));
		const errors = shareErrors(samples, 10_000);
		expect(errors.windows).toBe(3);
		expect(errors.worst).toBeCloseTo(0.25);
	});
});
