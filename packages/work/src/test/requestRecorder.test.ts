import { readdirSync, readFileSync } from 'node:fs';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createRequestRecorder } from '../common/requestRecorder.js';
import { createWorkLedger } from '../common/workLedger.js';
import { requestStepWeights, runRequestModel, type RequestStep } from './requestModel.js';

const step: fc.Arbitrary<RequestStep> = fc.record({
	kind: fc.oneof(
		...(Object.keys(requestStepWeights) as RequestStep['kind'][]).map(kind => ({
			weight: requestStepWeights[kind],
			arbitrary: fc.constant(kind),
		})),
	),
	leader: fc.integer({ min: 0, max: 1 }),
	choice: fc.nat(1_000),
	amount: fc.integer({ min: 1, max: 400 }),
});

describe('request recorder', () => {
	/** Guards P6 and P7 against lost answers, outages, paused leaders and two leaders at once. */
	it.each([7, 70, 700])(
		'starts no key twice and says "not run" only of requests that did not start (seed %i)',
		seed => {
			let grants = 0;
			fc.assert(
				fc.property(fc.noBias(fc.array(step, { maxLength: 120, size: 'max' })), steps => {
					const result = runRequestModel(steps);
					grants += result.grants;
					expect(result.mostRuns).toBeLessThanOrEqual(1);
					expect(result.contradictions).toBe(0);
					expect(result.lastStarted).toBe(true);
				}),
				{ seed, numRuns: 3_000 },
			);
			expect(grants).toBeGreaterThan(1_000);
		},
	);

	it('appends at most every 20 ms and refuses at once while the log cannot be appended to', () => {
		const ledger = createWorkLedger({ cell: 'desk' });
		const recorder = createRequestRecorder({ ledger });
		const ask = (id: number, now: number) =>
			recorder.handle(
				{ type: 'record-request', requestId: `r${id}`, team: 't', requestKey: `k${id}`, deadline: 60_000 },
				now,
			);
		recorder.handle({ type: 'lease-held', term: 1, until: 90_000 }, 0);
		expect(ask(1, 100).map(effect => effect.type)).toEqual(['append']);
		expect(ask(2, 110)).toEqual([]);
		expect(recorder.nextTickAt()).toBe(120);
		expect(recorder.handle({ type: 'tick' }, 120).map(effect => effect.type)).toEqual(['append']);
		const refused = recorder.handle({ type: 'append-ended', appendId: 'starts-1', result: 'failed' }, 130);
		expect(refused).toMatchObject([{ requestId: 'r2', kind: 'log-unavailable' }]);
		expect(ask(3, 140)).toMatchObject([{ requestId: 'r3', kind: 'log-unavailable' }]);
		expect(ask(4, 1_140).map(effect => effect.type)).toEqual(['append']);
		expect(recorder.handle({ type: 'tick' }, 60_000)).toMatchObject([
			{ requestId: 'r1', kind: 'deadline-passed' },
			{ requestId: 'r4', kind: 'deadline-passed' },
			{ type: 'append' },
		]);
	});
});

describe('an append with a lost answer', () => {
	const recorderWithUnknown = () => {
		const ledger = createWorkLedger({ cell: 'desk' });
		const recorder = createRequestRecorder({ ledger });
		recorder.handle({ type: 'lease-held', term: 1, until: 90_000 }, 0);
		const effects = recorder.handle(
			{ type: 'record-request', requestId: 'r1', team: 't', requestKey: 'k1', deadline: 5_000 },
			0,
		);
		expect(recorder.handle({ type: 'append-ended', appendId: 'starts-0', result: 'unknown' }, 2_500)).toEqual([]);
		return { ledger, recorder, value: effects[0]?.type === 'append' ? effects[0].value : '' };
	};

	it('lets the request start when its record is seen after all', () => {
		const { ledger, recorder, value } = recorderWithUnknown();
		ledger.fold(0, value, 2_600);
		expect(recorder.handle({ type: 'ledger-folded' }, 2_600)).toEqual([{ type: 'may-start', requestId: 'r1' }]);
	});

	it('is not recorded again under the same id once its end was sent, whose copy may still be under way', () => {
		const { ledger, recorder, value } = recorderWithUnknown();
		recorder.handle({ type: 'withdraw-request', requestId: 'r1' }, 2_600);
		ledger.fold(0, value, 2_700);
		const end = { team: 't', requestKey: 'k1', requestId: 'r1', outcome: 'not-run' };
		ledger.fold(1, JSON.stringify({ version: 1, term: 1, type: 'requests-ended', ends: [end] }), 2_700);
		expect(ledger.requestKey('t', 'k1', 2_700)?.state).toBe('not-run');
		const again = { type: 'record-request', requestId: 'r1', team: 't', requestKey: 'k1', deadline: 9_000 } as const;
		expect(recorder.handle(again, 2_800)).toMatchObject([{ kind: 'request-key-used' }]);
	});

	it('ends with the deadline of the request', () => {
		const { recorder } = recorderWithUnknown();
		expect(recorder.nextTickAt()).toBe(5_000);
		expect(recorder.handle({ type: 'tick' }, 5_000)[0]).toMatchObject({ kind: 'deadline-passed' });
	});
});

describe('recorded request histories', () => {
	const folder = new URL('traces/', import.meta.url);
	it.each(readdirSync(folder).filter(name => name.startsWith('request-model')))('%s starts no key twice', name => {
		const lines = readFileSync(new URL(name, folder), 'utf8').trim().split('\n');
		const steps = lines.map(line => JSON.parse(line) as RequestStep).filter(line => 'kind' in line);
		const result = runRequestModel(steps);
		expect(result.mostRuns).toBeLessThanOrEqual(1);
		expect(result.contradictions).toBe(0);
	});
});
