import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { JournalEvent } from '@chestnutwheel/engine/common/jobs/journalEvent.js';
import type { AppendOutcome, LogService } from '@chestnutwheel/ports/common/logService.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import { createAdaptiveTimeout } from '../../common/adaptiveTimeout.js';
import { encodeEvents } from './journalCodec.js';

/** Name of the idempotent writer; all leaders share it, so that a higher term shuts out the lower ones. */
export const JOURNAL_WRITER = 'leader';

/** The store answers an append in about 5 ms. One whose answer is lost holds up everything behind it until it is repeated. */
const MINIMUM_ANSWER_TIMEOUT_MS = 200;
const MAXIMUM_ANSWER_TIMEOUT_MS = 1_500;

/** Pause before an append that was refused or got no answer is sent again. */
const RETRY_DELAY_MS = 60;

/** Events of one append are bounded, so that an append stays under the log's bound of 2 MiB a call. */
const MAXIMUM_EVENTS_PER_APPEND = 2_000;

/** Options of {@link createJournalWriter}. */
export interface JournalWriterOptions {
	readonly log: LogService;
	readonly term: number;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly appendEveryMs: number;
	/** All batches up to this one are stored. */
	readonly onStored: (batch: number, offset: number) => void;
	/** A successor writes the journal now. */
	readonly onFenced: (reason: string) => void;
}

/** Appends batches in order, several at a time, each exactly once. */
export interface JournalWriter {
	add(batch: number, events: readonly JournalEvent[]): void;
	/** Whether batches wait to be stored. */
	readonly isBusy: boolean;
	/** When an append that is now without an answer was first sent; `undefined` when none is. */
	readonly unansweredSince: number | undefined;
	/** When the log last confirmed an append; counted from the time at which it was sent. */
	readonly confirmedAt: number;
	/** The same moment on both clocks. */
	readonly confirmation: TermConfirmation;
}

/** A moment at which the term surely held. */
export interface TermConfirmation {
	readonly monotonicAt: number;
	/** Wall clock; it also counts the time for which the process was suspended. */
	readonly wallAt: number;
}

/** Time since a proof, by the clock that counts more of it: a suspended process may not count the pause on one. */
export function confirmationAge(confirmation: TermConfirmation, clock: Clock): number {
	return Math.max(clock.now() - confirmation.monotonicAt, clock.wallNow() - confirmation.wallAt);
}

/** Creates a writer. It ends when the signal is aborted. */
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

	/** @returns the offset; `undefined` when the writer must not go on */
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
				options.onFenced(`the journal answered ${outcome.type} to term ${term}`);
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
