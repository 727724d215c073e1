import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { errorKindOf } from '@chestnutwheel/base/common/kindError.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { LogClient } from '@chestnutwheel/platform/common/logProtocol.js';
import type { WorkLedger } from '@chestnutwheel/work/common/workLedger.js';
import { takeNewestSnapshot } from '../../control/newestSnapshot.js';
import type { AppendResult } from '@chestnutwheel/work/common/workMessages.js';

/** Reads and writes the work stream of one cell. */
export interface WorkStream {
	/** Appends one record; never rejects. */
	append(value: string): Promise<AppendResult>;
	/** Appends a snapshot of the ledger; never rejects. */
	appendSnapshot(value: string): Promise<void>;
	/** Folds the stream into the ledger while the daemon leads the cell, until the signal is aborted. */
	follow(isLeading: () => boolean, signal: AbortSignal): Promise<void>;
}

/** What the stream needs. */
export interface WorkStreamOptions {
	readonly cell: string;
	readonly log: LogClient;
	readonly ledger: WorkLedger;
	readonly clock: Clock;
	readonly counters: Counters;
	/** The ledger has folded more records. */
	readonly onFolded: () => void;
}

const READ_LIMIT = 500;
const LONG_POLL_MS = 1_000;
const RETRY_MS = 200;
const IDLE_MS = 50;

/** Creates the stream of a cell. */
export function createWorkStream(options: WorkStreamOptions): WorkStream {
	const { cell, clock, counters, ledger, log } = options;
	const stream = `work-${cell}`;
	const snapshotStream = `work-snapshots-${cell}`;

	const restore = async (signal: AbortSignal): Promise<void> => {
		const take = (text: string): boolean => ledger.restore(text, clock.now());
		counters.add('work_snapshots_unused_total', { cell }, await takeNewestSnapshot(log, snapshotStream, take, signal));
	};

	const readOnce = async (signal: AbortSignal): Promise<void> => {
		const answer = await log.read(stream, ledger.offset + 1, { limit: READ_LIMIT, waitMs: LONG_POLL_MS, signal });
		for (const { offset, value } of answer.records) {
			counters.add('work_records_total', { cell, verdict: ledger.fold(offset, value, clock.now()) });
		}
		if (answer.records.length > 0) {
			options.onFolded();
		}
	};

	const step = async (hasRestored: boolean, signal: AbortSignal): Promise<boolean> => {
		try {
			if (!hasRestored) {
				await restore(signal);
			}
			await readOnce(signal);
			return true;
		} catch (error) {
			counters.add('work_reads_failed_total', { cell, kind: errorKindOf(error) });
			await delay(RETRY_MS, signal);
			return hasRestored && errorKindOf(error) !== 'log-record-expired';
		}
	};

	return {
		append: async value => {
			try {
				await log.append(stream, value);
				return 'appended';
			} catch (error) {
				const result = errorKindOf(error) === 'append-unknown' ? 'unknown' : 'failed';
				counters.add('work_appends_failed_total', { cell, result });
				return result;
			}
		},
		appendSnapshot: async value => {
			await log.append(snapshotStream, value).catch(() => counters.add('work_snapshots_failed_total', { cell }));
		},
		follow: async (isLeading, signal) => {
			let hasRestored = false;
			while (!signal.aborted) {
				if (isLeading()) {
					hasRestored = await step(hasRestored, signal);
				} else {
					await delay(IDLE_MS, signal);
				}
			}
		},
	};
}
