import { beforeEach, describe, expect, it, vi } from 'vitest';
import { createCounters } from '@chestnutwheel/base/common/counters.js';
import type { Engine } from '@chestnutwheel/engine/common/engine.js';
import type { HostService } from '@chestnutwheel/ports/common/hostService.js';
import { createTermProof, type TermProof } from '../common/termProof.js';
import { createHostOrderTask, type HostOrderTask } from '../node/leader/hostOrderTask.js';
import { createVirtualTime, type VirtualTime } from './virtualTime.js';

let time: VirtualTime;
/** States of the wave in the order in which the store has stored them. */
let stored: string[];
/** Called when the store has received a report. */
let onReceived: (state: string) => void;

vi.mock('@chestnutwheel/base/node/delay.js', () => ({
	delay: (milliseconds: number, signal: AbortSignal) => time.sleep(milliseconds, signal),
}));

beforeEach(() => {
	time = createVirtualTime();
	stored = [];
	onReceived = () => undefined;
});

/** Creates the task of a term. The store refuses its first `refusals` reports. */
function createTask(
	term: number,
	refusals: number,
	signal: AbortSignal,
): HostOrderTask & { readonly proof: TermProof } {
	let left = refusals;
	const proof = createTermProof(time.clock);
	const task = createHostOrderTask(
		{
			engine: {} as Engine,
			hosts: {} as HostService,
			waveReports: {
				publish: (_wave, state) => {
					onReceived(state);
					if (left-- > 0) {
						return Promise.resolve({ type: 'refused', reason: 'busy' });
					}
					stored.push(state);
					return Promise.resolve({ type: 'appended', offset: stored.length - 1, end: stored.length });
				},
			},
			clock: time.clock,
			counters: createCounters(),
			flush: () => undefined,
			term,
			holder: `front-${term}`,
			proof,
		},
		signal,
	);
	return { ...task, proof };
}

describe('the reports on a wave', () => {
	// A new leader reports a wave that its predecessor has completed as running and as done at once. The first report was
	// repeated after the second was stored, and the operator saw a completed wave as running for good.
	it('end with its completion when the store refuses the first report', async () => {
		const { signal } = new AbortController();
		const task = createTask(1, 1, signal);
		void task.report(1, 'running');
		void task.report(1, 'done');
		await time.advance(1_000);
		expect(stored.at(-1)).toBe('done');
	});

	it('end with a completion that is reported while the store handles the first report', async () => {
		const task = createTask(1, 0, new AbortController().signal);
		onReceived = state => {
			if (state === 'running') {
				void task.report(1, 'done');
			}
		};
		await task.report(1, 'running');
		expect(stored).toEqual(['running', 'done']);
	});

	it('are stored for every wave', async () => {
		const task = createTask(1, 0, new AbortController().signal);
		void task.report(1, 'running');
		await task.report(2, 'done');
		await task.report(3, 'done');
		expect(stored).toEqual(['running', 'done', 'done']);
	});

	// A leader that was suspended before it repeated a report wrote it over the completion that its successor had reported.
	it('end with its completion when a leader that was replaced repeats its report', async () => {
		const former = new AbortController();
		void createTask(1, 1, former.signal).report(1, 'running');
		await time.advance(0);
		const successor = createTask(2, 0, new AbortController().signal);
		await successor.report(1, 'running');
		await successor.report(1, 'done');
		await time.advance(1_000);
		former.abort();
		expect(stored.at(-1)).toBe('done');
	});

	it('are repeated by a leader once the store has confirmed its term again', async () => {
		const task = createTask(1, 1, new AbortController().signal);
		void task.report(1, 'running');
		await time.advance(1_000);
		expect(stored).toEqual([]);
		task.proof.confirm(task.proof.sendTime());
		await time.advance(0);
		expect(stored).toEqual(['running']);
	});

	it('are the newest when the store confirms the term', async () => {
		const task = createTask(1, 1, new AbortController().signal);
		void task.report(1, 'running');
		await time.advance(1_000);
		void task.report(1, 'done');
		task.proof.confirm(task.proof.sendTime());
		await time.advance(0);
		expect(stored).toEqual(['done']);
	});

	it('end with the term', async () => {
		const term = new AbortController();
		const task = createTask(1, 1, term.signal);
		const reported = task.report(1, 'running');
		await time.advance(1_000);
		term.abort();
		await reported;
		expect(stored).toEqual([]);
	});
});
