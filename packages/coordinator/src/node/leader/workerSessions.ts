import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { Engine } from '@chestnutwheel/engine/common/engine.js';
import type { WorkerAddress, WorkerService } from '@chestnutwheel/ports/common/workerService.js';
import type { CoordinatorSettings } from '../../common/coordinatorSettings.js';

/** Least time between two looks at one worker, so that ends that come close together are read at once. */
const LOOK_EVERY_MS = 30;

/** Pause after a look without an answer. */
const RETRY_MS = 120;

/** Pause between two looks while ends wait for the journal, which they would end at once. */
const UNSTORED_PAUSE_MS = 150;

/** Options of {@link createWorkerSessions}. */
export interface WorkerSessionsOptions {
	readonly engine: Engine;
	readonly workers: WorkerService;
	readonly settings: CoordinatorSettings;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly flush: () => void;
	/** Whether this daemon has proof that is new enough to extend leases. */
	readonly isSureToLead: () => boolean;
	/** Resolves when everything recorded so far is stored; rejects when the term ends before. */
	readonly allStored: () => Promise<void>;
}

/** Looks at each watched worker again and again. */
export interface WorkerSessions {
	watch(workerKey: string, address: WorkerAddress): void;
	unwatch(workerKey: string): void;
}

/** Creates sessions that end when the signal is aborted. */
export function createWorkerSessions(options: WorkerSessionsOptions, signal: AbortSignal): WorkerSessions {
	const { engine, workers, settings, clock, counters, flush, isSureToLead, allStored } = options;
	const sessions = new Map<string, AbortController>();

	const run = async (workerKey: string, address: WorkerAddress, ended: AbortSignal): Promise<void> => {
		let waitMs = 0;
		while (!ended.aborted) {
			const sentAt = clock.now();
			const request = engine.watch.lookRequest(workerKey, waitMs, isSureToLead(), sentAt);
			if (request === undefined) {
				return;
			}
			const answer = await workers.poll(address, request, ended);
			counters.add('looks_total', { outcome: answer.type });
			engine.watch.looked(workerKey, answer, clock.now());
			flush();
			if (answer.type !== 'listed') {
				waitMs = 0;
				await delay(RETRY_MS, ended);
				continue;
			}
			const hasEnds = answer.listing.ended.length > 0;
			waitMs = engine.watch.hasPassingRuns(workerKey) ? settings.busyLookWaitMs : settings.lookWaitMs;
			if (hasEnds) {
				await untilStored(ended);
			}
			const pause = sentAt + LOOK_EVERY_MS - clock.now();
			if (pause > 0) {
				await delay(pause, ended);
			}
		}
	};

	/** Waits until the ends are stored, since a look returns at once while they are not acknowledged. */
	const untilStored = async (ended: AbortSignal): Promise<void> => {
		const finished = new AbortController();
		const stored = allStored().catch(() => counters.add('looks_cut_off_total'));
		await Promise.race([stored, delay(UNSTORED_PAUSE_MS, AbortSignal.any([ended, finished.signal]))]);
		finished.abort();
	};

	return {
		watch: (workerKey, address) => {
			sessions.get(workerKey)?.abort();
			const controller = new AbortController();
			sessions.set(workerKey, controller);
			const ended = AbortSignal.any([signal, controller.signal]);
			void run(workerKey, address, ended);
		},
		unwatch: workerKey => {
			sessions.get(workerKey)?.abort();
			sessions.delete(workerKey);
		},
	};
}
