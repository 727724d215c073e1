import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { Engine } from '@chestnutwheel/engine/common/engine.js';
import type { WorkerAddress, WorkerService } from '@chestnutwheel/ports/common/workerService.js';
import type { CoordinatorSettings } from '../../common/coordinatorSettings.js';

/** Delay after an unanswered poll. */
const RETRY_DELAY_MS = 120;

/** Maximum delay of the next poll while results wait for the journal. Unacknowledged results make a poll return at once. */
const UNSTORED_RESULTS_DELAY_MS = 150;

/** Options of {@link createWorkerPoller}. */
export interface WorkerPollerOptions {
	readonly engine: Engine;
	readonly workers: WorkerService;
	readonly settings: CoordinatorSettings;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly flush: () => void;
	/** Returns the minimum interval between two polls of one worker, in milliseconds. */
	readonly pollIntervalMs: () => number;
	/** Returns whether the term was confirmed recently enough to extend leases. */
	readonly isTermConfirmed: () => boolean;
	/** Resolves when all events recorded so far are stored. Rejects when the term ends before. */
	readonly whenAllStored: () => Promise<void>;
}

/** Polls each monitored worker continuously. */
export interface WorkerPoller {
	start(workerKey: string, address: WorkerAddress): void;
	stop(workerKey: string): void;
}

/** Creates a worker poller that stops when the signal is aborted. */
export function createWorkerPoller(options: WorkerPollerOptions, signal: AbortSignal): WorkerPoller {
	const { engine, workers, settings, clock, counters, flush, pollIntervalMs, isTermConfirmed, whenAllStored } = options;
	const controllers = new Map<string, AbortController>();

	const pollWorker = async (workerKey: string, address: WorkerAddress, stopped: AbortSignal): Promise<void> => {
		const isStopped = (): boolean => stopped.aborted;
		let waitMs = 0;
		while (!isStopped()) {
			const sentAt = clock.now();
			const request = engine.monitor.pollRequest(workerKey, waitMs, isTermConfirmed(), sentAt);
			if (request === undefined) {
				return;
			}
			const answer = await workers.poll(address, request, stopped);
			if (isStopped()) {
				// A poll that was cut short says nothing about the worker, and another one may be under way by now.
				return;
			}
			counters.add('looks_total', { outcome: answer.type });
			engine.monitor.pollAnswered(workerKey, answer, clock.now());
			flush();
			if (answer.type !== 'listed') {
				waitMs = 0;
				await delay(RETRY_DELAY_MS, stopped);
				continue;
			}
			const hasResults = answer.listing.ended.length > 0;
			waitMs = engine.monitor.hasFiniteRuns(workerKey) ? settings.busyLookWaitMs : settings.lookWaitMs;
			if (hasResults) {
				await waitUntilStored(stopped);
			}
			const delayMs = sentAt + pollIntervalMs() - clock.now();
			if (delayMs > 0) {
				await delay(delayMs, stopped);
			}
		}
	};

	/** Waits until the results are stored, because a poll returns at once while results are not acknowledged. */
	const waitUntilStored = (stopped: AbortSignal): Promise<void> =>
		new Promise(resolve => {
			const end = (): void => {
				clearTimeout(timer);
				stopped.removeEventListener('abort', end);
				resolve();
			};
			const timer = setTimeout(end, UNSTORED_RESULTS_DELAY_MS);
			stopped.addEventListener('abort', end, { once: true });
			whenAllStored().then(end, () => {
				counters.add('looks_cut_off_total');
				end();
			});
		});

	return {
		start: (workerKey, address) => {
			controllers.get(workerKey)?.abort();
			const controller = new AbortController();
			controllers.set(workerKey, controller);
			const stopped = AbortSignal.any([signal, controller.signal]);
			void pollWorker(workerKey, address, stopped);
		},
		stop: workerKey => {
			controllers.get(workerKey)?.abort();
			controllers.delete(workerKey);
		},
	};
}
