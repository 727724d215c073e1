import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { JournalEvent } from '@chestnutwheel/engine/common/jobs/journalEvent.js';
import type { AppendOutcome, LogService } from '@chestnutwheel/ports/common/logService.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import { createAdaptiveTimeout } from '../../common/adaptiveTimeout.js';
import { encodeEvents } from './journalCodec.js';

/** Name of the idempotent writer. All leaders share it, so that a higher term fences off the lower ones. */
export const JOURNAL_WRITER = 'leader';

/**
 * Minimum timeout of an append. The store usually answers in about 5 ms, and an append whose response is lost blocks all
 * later ones until it is retried.
 */
const MINIMUM_ANSWER_TIMEOUT_MS = 200;
const MAXIMUM_ANSWER_TIMEOUT_MS = 1_500;

/** Delay before an append that was refused or timed out is retried. */
const RETRY_DELAY_MS = 60;

/** Maximum number of events per append. It keeps an append below the limit of the log, 2 MiB per call. */
const MAXIMUM_EVENTS_PER_APPEND = 2_000;

/** Options of {@link createJournalWriter}. */
export interface JournalWriterOptions {
	readonly log: LogService;
	readonly term: number;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly appendEveryMs: number;
	/** Called when all batches up to and including `batch` are stored. */
	readonly onStored: (batch: number, offset: number) => void;
	/** Called when a successor has fenced off this writer. */
	readonly onFenced: (reason: string) => void;
}

/** Writer that appends batches in order and exactly once, several per append. */
export interface JournalWriter {
	add(batch: number, events: readonly JournalEvent[]): void;
	/** Whether batches are waiting to be stored. */
	readonly isBusy: boolean;
	/** Time at which the append that is being retried was first sent; `undefined` if none is. */
	readonly unansweredSince: number | undefined;
	/** Send time of the last append that the log confirmed, on the monotonic clock. */
	readonly confirmedAt: number;
	/** The same time on the monotonic and the wall clock. */
	readonly confirmation: TermConfirmation;
}

/** Time at which the store confirmed that the term was still valid. */
export interface TermConfirmation {
	readonly monotonicAt: number;
	/** Wall-clock time, which also advances while the process is suspended. */
	readonly wallAt: number;
}

/**
 * Returns the time since a confirmation, in milliseconds. It is the larger age by the two clocks, because one of them may
 * stand still while the process is suspended.
 */
export function confirmationAge(confirmation: TermConfirmation, clock: Clock): number {
	return Math.max(clock.now() - confirmation.monotonicAt, clock.wallNow() - confirmation.wallAt);
}

/** Creates a journal writer that stops when the signal is aborted. */
export function createJournalWriter(options: JournalWriterOptions, signal: AbortSignal): JournalWriter {
	const { log, term, clock, counters, appendEveryMs } = options;
	const queuedBatches: { readonly batch: number; readonly events: readonly JournalEvent[] }[] = [];
	const appendTimeout = createAdaptiveTimeout({ minimumMs: MINIMUM_ANSWER_TIMEOUT_MS, maximumMs: MAXIMUM_ANSWER_TIMEOUT_MS });
	let sequence = 1;
	let isRunning = false;
	let isFenced = false;
	let lastSentAt = -Infinity;
	let unansweredSince: number | undefined;
	let confirmation: TermConfirmation = { monotonicAt: clock.now(), wallAt: clock.wallNow() };

	const takeBatches = (): { batch: number; events: JournalEvent[] } => {
		const events: JournalEvent[] = [];
		let batch = 0;
		while (queuedBatches[0] !== undefined && (events.length === 0 || events.length < MAXIMUM_EVENTS_PER_APPEND)) {
			events.push(...queuedBatches[0].events);
			batch = queuedBatches[0].batch;
			queuedBatches.shift();
		}
		return { batch, events };
	};

	const appendWithTimeout = async (
		records: readonly Uint8Array[],
		writer: { name: string; epoch: number; sequence: number },
	): Promise<AppendOutcome> => {
		const sentAt = clock.now();
		const answerWithinMs = Math.round(appendTimeout.currentMs);
		const outcome = await log.append('journal', records, { writer, answerWithinMs }, signal);
		if (outcome.type === 'unknown') {
			appendTimeout.recordTimeout();
		} else if (outcome.type === 'appended') {
			appendTimeout.recordLatency(clock.now() - sentAt);
		}
		return outcome;
	};

	/** Appends records, with retries. @returns the offset; `undefined` when the writer was fenced off or stopped */
	const appendOnce = async (records: readonly Uint8Array[]): Promise<number | undefined> => {
		const writer = { name: JOURNAL_WRITER, epoch: term, sequence };
		const firstSentAt = clock.now();
		while (!signal.aborted) {
			const sent: TermConfirmation = { monotonicAt: clock.now(), wallAt: clock.wallNow() };
			lastSentAt = sent.monotonicAt;
			const outcome = await appendWithTimeout(records, writer);
			counters.add('journal_appends_total', { outcome: outcome.type });
			if (outcome.type === 'appended') {
				unansweredSince = undefined;
				confirmation = sent;
				return outcome.offset;
			}
			if (outcome.type === 'fenced' || outcome.type === 'conflict' || outcome.type === 'out-of-sequence') {
				isFenced = true;
				options.onFenced(`the journal rejected an append as ${outcome.type} in term ${term}`);
				return undefined;
			}
			unansweredSince ??= firstSentAt;
			await delay(RETRY_DELAY_MS, signal);
		}
		return undefined;
	};

	const run = async (): Promise<void> => {
		while (queuedBatches.length > 0 && !signal.aborted) {
			const delayMs = lastSentAt + appendEveryMs - clock.now();
			if (delayMs > 0) {
				await delay(delayMs, signal);
			}
			const { batch, events } = takeBatches();
			const records = encodeEvents(events);
			counters.add('journal_bytes_total', {}, records.reduce((sum, record) => sum + record.length, 0));
			const offset = await appendOnce(records);
			if (offset === undefined) {
				return;
			}
			sequence++;
			options.onStored(batch, offset);
		}
	};

	const start = (): void => {
		if (isRunning || isFenced || signal.aborted || queuedBatches.length === 0) {
			return;
		}
		isRunning = true;
		void run().finally(() => {
			isRunning = false;
			start();
		});
	};

	return {
		add: (batch, events) => {
			queuedBatches.push({ batch, events });
			start();
		},
		get isBusy() {
			return isRunning;
		},
		get unansweredSince() {
			return unansweredSince;
		},
		get confirmedAt() {
			return confirmation.monotonicAt;
		},
		get confirmation() {
			return confirmation;
		},
	};
}
