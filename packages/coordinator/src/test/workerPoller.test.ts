import { createCounters } from '@chestnutwheel/base/common/counters.js';
import type { Engine } from '@chestnutwheel/engine/common/engine.js';
import type { WorkerService } from '@chestnutwheel/ports/common/workerService.js';
import { beforeEach, describe, expect, it, vi } from 'vitest';
import type { CoordinatorSettings } from '../common/coordinatorSettings.js';
import { pollIntervalMs } from '../common/pollInterval.js';
import { createTimerLag } from '../common/timerLag.js';
import { createWorkerPoller } from '../node/leader/workerPoller.js';
import { createVirtualTime, type VirtualTime } from './virtualTime.js';

let time: VirtualTime;

vi.mock('@chestnutwheel/base/node/delay.js', () => ({
	delay: (milliseconds: number, signal: AbortSignal) => time.sleep(milliseconds, signal),
}));

beforeEach(() => {
	time = createVirtualTime();
});

/** Counts the polls within a second of a worker on which a run ends every few milliseconds, so that each poll is answered at once. */
async function countPolls(timerLagMs: number): Promise<number> {
	const end = new AbortController();
	let polls = 0;
	const listing = { incarnation: 1, clockMs: 1, running: [], ended: [], mayHaveMoreEnds: false };
	const poller = createWorkerPoller(
		{
			engine: {
				monitor: {
					pollRequest: () => ({ fencingToken: 1, acknowledged: 0, leaseUntilMs: undefined, waitMs: 0 }),
					pollAnswered: () => undefined,
					hasFiniteRuns: () => true,
				} as Partial<Engine['monitor']> as Engine['monitor'],
			} as Engine,
			workers: {
				poll: () => {
					polls++;
					return Promise.resolve({ type: 'listed', listing });
				},
			} as Partial<WorkerService> as WorkerService,
			settings: { lookWaitMs: 1_000, busyLookWaitMs: 300 } as CoordinatorSettings,
			clock: time.clock,
			counters: createCounters(),
			flush: () => undefined,
			pollIntervalMs: () => pollIntervalMs(timerLagMs),
			isTermConfirmed: () => true,
			whenAllStored: () => Promise.resolve(),
		},
		end.signal,
	);
	poller.start('w0@1', { worker: 'w0', address: '10.0.0.1:1' });
	await time.advance(1_000);
	end.abort();
	return polls;
}

describe('a leader', () => {
	it('reads the results of a worker every 30 ms while its timers fire in time', async () => {
		expect(await countPolls(2)).toBeGreaterThan(30);
	});

	// A leader that was short of processor time spent half of what it had on polls that brought one result each.
	it('reads them less often while its timers fire late', async () => {
		expect(await countPolls(50)).toBeLessThanOrEqual(8);
	});

	it('reads them at least four times a second however late its timers fire', async () => {
		expect(await countPolls(5_000)).toBeGreaterThanOrEqual(4);
	});
});

describe('the average lateness of timers', () => {
	it('rises within a second of a busy event loop, and falls again', () => {
		const lag = createTimerLag();
		for (let turn = 0; turn < 20; turn++) {
			lag.record(100);
		}
		expect(lag.averageMs).toBeGreaterThan(80);
		for (let turn = 0; turn < 50; turn++) {
			lag.record(-1);
		}
		expect(lag.averageMs).toBeLessThan(1);
	});
});
