import { readdirSync, readFileSync } from 'node:fs';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { jobStepWeights, runJobModel, type JobStep } from './jobModel.js';

const step: fc.Arbitrary<JobStep> = fc.record({
	kind: fc.oneof(
		...(Object.keys(jobStepWeights) as JobStep['kind'][]).map(kind => ({
			weight: jobStepWeights[kind],
			arbitrary: fc.constant(kind),
		})),
	),
	leader: fc.integer({ min: 0, max: 1 }),
	choice: fc.nat(1_000),
	amount: fc.integer({ min: 1, max: 400 }),
});

const sound = { repeated: 0, vanished: 0, unfinished: 0, contradictions: 0, misjudged: 0 };

describe('job controller', () => {
	/** Guards accepted jobs and P7 against lost answers, log outages, paused leaders and two leaders at once. */
	it.each([7, 70, 700])('ends every accepted job once (seed %i)', seed => {
		const ended: Record<string, number> = {};
		fc.assert(
			fc.property(fc.noBias(fc.array(step, { maxLength: 120, size: 'max' })), steps => {
				const result = runJobModel(steps);
				expect(result).toMatchObject(sound);
				Object.entries(result.ended).forEach(([state, count]) => (ended[state] = (ended[state] ?? 0) + count));
			}),
			{ seed, numRuns: 2_000 },
		);
		// Guards against histories in which no job was accepted, failed or was lost.
		expect(ended.finished).toBeGreaterThan(100);
		expect(ended.failed).toBeGreaterThan(50);
		expect(ended.cancelled).toBeGreaterThan(10);
		expect(ended['outcome-unknown']).toBeGreaterThan(10);
	});
});

describe('recorded job histories', () => {
	const folder = new URL('traces/', import.meta.url);
	it.each(readdirSync(folder).filter(name => name.startsWith('job-model')))('%s is sound', name => {
		const lines = readFileSync(new URL(name, folder), 'utf8').trim().split('\n');
		const steps = lines.map(line => JSON.parse(line) as JobStep).filter(line => 'kind' in line);
		expect(runJobModel(steps)).toMatchObject(sound);
	});
});
