import { createCounters } from '@chestnutwheel/base/common/counters.js';
import type { Engine } from '@chestnutwheel/engine/common/engine.js';
import type { WorkerOrderOutcome, WorkerService } from '@chestnutwheel/ports/common/workerService.js';
import { describe, expect, it } from 'vitest';
import { createWorkerOrders } from '../node/leader/workerOrders.js';

const stopEffect = { type: 'stop', workerKey: 'w0@1', task: 'service.0.0.0', run: 1, isRepeat: false } as const;

/** Sends a stop whose first attempt gets no answer. Returns what happened, in order. */
async function sendUnansweredStop(mayRepeat: readonly boolean[]): Promise<readonly string[]> {
	const events: string[] = [];
	const verdicts = [...mayRepeat];
	const outcomes: WorkerOrderOutcome[] = [
		{ type: 'silent', reason: 'no answer' },
		{ type: 'done', clockMs: 5 },
	];
	const end = new AbortController();
	await new Promise<void>(resolve => {
		const orders = createWorkerOrders(
			{
				engine: {
					term: 7,
					monitor: {
						stopAnswered: (_key, _task, _run, { type }) => {
							events.push(type);
							if (type === 'done') {
								resolve();
							}
						},
					} as Partial<Engine['monitor']> as Engine['monitor'],
					mayRepeatStop: () => {
						const isAllowed = verdicts.shift() ?? true;
						events.push(isAllowed ? 'allowed' : 'held');
						return isAllowed;
					},
				},
				workers: {
					stop: () => Promise.resolve(outcomes.shift() ?? { type: 'done', clockMs: 9 }),
				} as Partial<WorkerService> as WorkerService,
				clock: { now: () => 0, wallNow: () => 0 },
				counters: createCounters(),
				logDecision: () => undefined,
				flush: () => undefined,
				isTermConfirmed: () => true,
			},
			end.signal,
		);
		orders.setAddress('w0@1', { worker: 'w0', address: '10.0.0.1:1' });
		orders.stop(stopEffect);
	});
	end.abort();
	return events;
}

describe('a stop that got no answer', () => {
	// The stop was repeated by time alone, when the other tasks of its step had been lost since it was decided.
	it('is sent again only once the engine allows it', async () => {
		expect(await sendUnansweredStop([false, false, true])).toEqual(['silent', 'held', 'held', 'allowed', 'done']);
	});
});

/** Orders stops whose attempts are answered in turn, and returns what the engine is told. */
async function orderStops(
	effects: readonly (typeof stopEffect)[],
	outcomes: readonly WorkerOrderOutcome[],
	isAddressKnown = true,
): Promise<{ readonly events: readonly string[]; readonly attempts: number }> {
	const events: string[] = [];
	const pending = [...outcomes];
	let attempts = 0;
	const end = new AbortController();
	await new Promise<void>(resolve => {
		const orders = createWorkerOrders(
			{
				engine: {
					term: 7,
					monitor: {
						stopAnswered: (_key, _task, _run, { type }) => {
							events.push(type);
							if (type !== 'silent') {
								resolve();
							}
						},
						stopAbandoned: () => {
							events.push('abandoned');
							resolve();
						},
					} as Partial<Engine['monitor']> as Engine['monitor'],
					mayRepeatStop: () => true,
				},
				workers: {
					stop: () => {
						attempts++;
						return Promise.resolve(pending.shift() ?? { type: 'silent', reason: 'no answer' });
					},
				} as Partial<WorkerService> as WorkerService,
				clock: { now: () => 0, wallNow: () => 0 },
				counters: createCounters(),
				logDecision: () => undefined,
				flush: () => undefined,
				isTermConfirmed: () => true,
			},
			end.signal,
		);
		if (isAddressKnown) {
			orders.setAddress('w0@1', { worker: 'w0', address: '10.0.0.1:1' });
		}
		effects.forEach(effect => orders.stop(effect));
	});
	end.abort();
	return { events, attempts };
}

// The engine orders a stop again only if it learns that nothing is being sent any more. Its run went on otherwise.
describe('a stop that cannot be delivered', () => {
	it('is abandoned after a few attempts', async () => {
		const { events } = await orderStops([stopEffect], []);
		expect(events).toEqual(['silent', 'silent', 'silent', 'silent', 'abandoned']);
	});

	it('is abandoned at once if the address of the worker is not known', async () => {
		expect(await orderStops([stopEffect], [], false)).toEqual({ events: ['abandoned'], attempts: 0 });
	});

	it('is sent once, however often it is ordered meanwhile', async () => {
		const { attempts } = await orderStops([stopEffect, stopEffect, stopEffect], [{ type: 'done', clockMs: 5 }]);
		expect(attempts).toBe(1);
	});
});
