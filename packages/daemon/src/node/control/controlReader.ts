import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { errorKindOf, errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import { parseSnapshot } from '@chestnutwheel/configuration/common/snapshot.js';
import type { LogClient } from '@chestnutwheel/platform/common/logProtocol.js';
import type { Logger } from 'pino';
import type { ControlState } from './controlState.js';
import { takeNewestSnapshot } from './newestSnapshot.js';

/** Name of the stream that holds notes and the records of waves. */
export const CONTROL_STREAM = 'control';

/** Name of the stream that holds snapshots of the accepted state. */
export const SNAPSHOT_STREAM = 'control-snapshots';

/** What the reader needs. */
export interface ControlReaderOptions {
	readonly log: LogClient;
	readonly state: ControlState;
	readonly clock: Clock;
	readonly random: SeededRandom;
	readonly counters: Counters;
	readonly logger: Logger;
	/** The read that was sent at this time reached the end of the stream. */
	readonly onConfirmed: (offset: number, sentAt: number) => void;
	/** The last read failed. */
	readonly onUnreadable: () => void;
	/** The records that the state needs have expired; the peers are asked instead. */
	readonly onGap: () => Promise<void>;
}

const READ_LIMIT = 500;
const LONG_POLL_MS = 1_000;
const RETRY_BASE_MS = 100;
const RETRY_CAP_MS = 1_000;

/** Follows the control stream until the signal is aborted. */
export async function runControlReader(options: ControlReaderOptions, signal: AbortSignal): Promise<void> {
	const { clock, counters, logger, random } = options;
	let failures = 0;
	let hasStarted = false;
	while (!signal.aborted) {
		try {
			if (!hasStarted) {
				await adoptNewestSnapshot(options, signal);
				hasStarted = true;
			}
			await readOnce(options, signal);
			if (failures > 0) {
				logger.info({ failures }, 'the log is readable again');
			}
			failures = 0;
		} catch (error) {
			failures++;
			counters.add('control_reads_failed_total', { kind: errorKindOf(error) });
			if (failures === 1 && isRunning(signal)) {
				logger.warn({ reason: errorMessageOf(error), at: clock.now() }, 'the log cannot be read');
			}
			if (errorKindOf(error) === 'log-record-expired') {
				hasStarted = false;
				await options.onGap();
			}
			options.onUnreadable();
			const longest = Math.min(RETRY_CAP_MS, RETRY_BASE_MS * 2 ** Math.min(failures, 10));
			await delay(random.next() * longest, signal);
		}
	}
}

/** Reads the flag anew; the compiler would take it for unchanged since the head of the loop. */
function isRunning(signal: AbortSignal): boolean {
	return !signal.aborted;
}

async function readOnce(options: ControlReaderOptions, signal: AbortSignal): Promise<void> {
	const { log, state, clock, counters } = options;
	const sentAt = clock.now();
	const from = state.current().offset + 1;
	const answer = await log.read(CONTROL_STREAM, from, { limit: READ_LIMIT, waitMs: LONG_POLL_MS, signal });
	if (answer.endOffset < from) {
		// A replica of the log that lags; what was accepted is never taken back.
		counters.add('control_reads_behind_total');
		await delay(RETRY_BASE_MS, signal);
		return;
	}
	state.apply(answer.records);
	const offset = state.current().offset;
	if (offset + 1 >= answer.endOffset) {
		options.onConfirmed(offset, sentAt);
	}
	if (state.isStopped()) {
		await delay(LONG_POLL_MS, signal);
	}
}

async function adoptNewestSnapshot(options: ControlReaderOptions, signal: AbortSignal): Promise<void> {
	const { log, state, counters } = options;
	const take = (text: string): boolean => {
		const snapshot = parseSnapshot(text);
		if (snapshot !== undefined) {
			state.adopt(snapshot);
		}
		return snapshot !== undefined;
	};
	counters.add('control_snapshots_damaged_total', {}, await takeNewestSnapshot(log, SNAPSHOT_STREAM, take, signal));
}
