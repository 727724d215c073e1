import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { Engine } from '@chestnutwheel/engine/common/engine.js';
import type { DecisionLogger } from '@chestnutwheel/engine/common/engineMessages.js';
import type { WorkerFeed } from '@chestnutwheel/ports/common/feeds.js';

/** Interval between two reads of the worker feed; each worker writes an entry about every 1.5 s. */
const READ_INTERVAL_MS = 250;

/** Interval between two reads while a host is expected to register a new worker, for which tasks may be waiting. */
const EXPECTING_READ_INTERVAL_MS = 50;

/** Delay before a failed read is retried. */
const RETRY_DELAY_MS = 150;

/** Options of {@link runWorkerFeed}. */
export interface WorkerFeedOptions {
	readonly feed: WorkerFeed;
	readonly engine: Engine;
	readonly flush: () => void;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly logDecision: DecisionLogger;
}

/** Passes the entries of the worker feed to the engine until the signal is aborted. */
export async function runWorkerFeed(options: WorkerFeedOptions, signal: AbortSignal): Promise<void> {
	const { feed, engine, flush, clock, counters, logDecision } = options;
	let from: number | undefined;
	let isReadable = true;
	const setReadable = (readable: boolean, reason: string): void => {
		if (readable !== isReadable) {
			isReadable = readable;
			logDecision(readable ? 'worker-entries-readable' : 'worker-entries-unreadable', { reason });
		}
	};
	while (!signal.aborted) {
		const outcome = from === undefined ? await feed.snapshot(signal) : await feed.changes(from, 0, signal);
		counters.add('worker_feed_reads_total', { outcome: outcome.type });
		if (outcome.type === 'changes') {
			setReadable(true, '');
			const names =
				from === undefined
					? new Set(outcome.changes.filter(({ value }) => value !== undefined).map(({ key }) => key))
					: undefined;
			engine.workersChanged(outcome.changes, names, clock.now());
			from = outcome.end;
			flush();
			await delay(engine.expectsWorker(clock.now()) ? EXPECTING_READ_INTERVAL_MS : READ_INTERVAL_MS, signal);
		} else {
			setReadable(outcome.type === 'expired', outcome.type === 'failed' ? outcome.reason : '');
			from = outcome.type === 'expired' ? undefined : from;
			await delay(RETRY_DELAY_MS, signal);
		}
	}
}
