import { createCounters } from '@chestnutwheel/base/common/counters.js';
import type { Engine } from '@chestnutwheel/engine/common/engine.js';
import type { WorkerOrderOutcome, WorkerService } from '@chestnutwheel/ports/common/workerService.js';
import { describe, expect, it } from 'vitest';
import { createWorkerOrders } from '../node/leader/workerOrders.js';

const stopEffect = { type: 'stop', workerKey: 'w0@1', task: 'service.0.0.0', run: 1 } as const;

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
