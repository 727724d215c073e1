import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { JournalEvent } from '@chestnutwheel/engine/common/jobs/journalEvent.js';
import type { DecisionLogger } from '@chestnutwheel/engine/common/engineMessages.js';
import type { AppendOutcome, LogLimits, LogService } from '@chestnutwheel/ports/common/logService.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import { createAdaptiveTimeout } from '../../common/adaptiveTimeout.js';
import { termReactions } from '../../common/storeReactions.js';
import type { TermConfirmation, TermProof } from '../../common/termProof.js';
import { decodeEvents, encodeEvents } from './journalCodec.js';

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

/** Size of the prefix of a record in a call. */
const RECORD_PREFIX_BYTES = 4;

/** Options of {@link createJournalWriter}. */
export interface JournalWriterOptions {
	readonly log: LogService;
	readonly term: number;
	readonly proof: TermProof;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly appendEveryMs: number;
	/** Sizes that the log accepts. */
	readonly limits: LogLimits;
	readonly logDecision: DecisionLogger;
	/** Time that the log took for an earlier append, in milliseconds; `undefined` if there was none. */
	readonly knownLatencyMs: number | undefined;
	/** Called when all batches up to and including `batch` are stored. */
	readonly onStored: (batch: number, offset: number) => void;
	/** Called when a successor has fenced off this writer, or when the log will never store what it has to write. */
	readonly onFenced: (reason: string) => void;
}

/** Writer that appends batches in order and exactly once, several per append. */
export interface JournalWriter {
	add(batch: number, events: readonly JournalEvent[]): void;
	/** Whether batches are waiting to be stored. */
	readonly isBusy: boolean;
	/** Time at which the append that is being retried was first sent; `undefined` if none is. */
	readonly unansweredSince: number | undefined;
	/**
	 * Removes the acceptance of a job from the batches of which no record can have been stored. Readers of the journal ignore
	 * all other events of a job that was never accepted.
	 * @returns whether the acceptance was removed
	 */
	withdraw(job: string): boolean;
}

interface Batch {
	readonly batch: number;
	readonly events: readonly JournalEvent[];
}

function sizeOf(records: readonly Uint8Array[]): number {
	return records.reduce((sum, record) => sum + record.length + RECORD_PREFIX_BYTES, 0);
}

/**
 * Divides records over appends of at most the given size, in order, at least one append. A record that is larger gets an append
 * of its own.
 */
function divideRecords(records: readonly Uint8Array[], callBytes: number): Uint8Array[][] {
	const appends: Uint8Array[][] = [];
	let bytes = Infinity;
	for (const record of records) {
		const size = record.length + RECORD_PREFIX_BYTES;
		if (bytes + size > callBytes) {
			appends.push([]);
			bytes = 0;
		}
		appends.at(-1)?.push(record);
		bytes += size;
	}
	return appends.length === 0 ? [[]] : appends;
}

/** Creates a journal writer that stops when the signal is aborted. */
export function createJournalWriter(options: JournalWriterOptions, signal: AbortSignal): JournalWriter {
	const { log, term, proof, clock, counters, appendEveryMs } = options;
	/** Batches of which no record can have been stored. */
	let queuedBatches: Batch[] = [];
	const appendTimeout = createAdaptiveTimeout({
		minimumMs: MINIMUM_ANSWER_TIMEOUT_MS,
		maximumMs: MAXIMUM_ANSWER_TIMEOUT_MS,
		knownLatencyMs: options.knownLatencyMs,
	});
	let sequence = 1;
	/** Sizes that the log has accepted or is configured to accept; smaller once it has rejected an append. */
	let { recordBytes, callBytes } = options.limits;
	let isRunning = false;
	let isFenced = false;
	let lastSentAt = -Infinity;
	let unansweredSince: number | undefined;

	/** Takes as many batches as fit into one append, or one batch, whose records may need several. */
	const takeBatches = (): { readonly batches: Batch[]; readonly appends: Uint8Array[][] } => {
		const records: Uint8Array[] = [];
		let count = 0;
		let bytes = 0;
		for (const { events } of queuedBatches) {
			const encoded = encodeEvents(events, recordBytes);
			bytes += sizeOf(encoded);
			if (count > 0 && bytes > callBytes) {
				break;
			}
			records.push(...encoded);
			count++;
		}
		return { batches: queuedBatches.splice(0, count), appends: divideRecords(records, callBytes) };
	};

	/** Sends less in one append from now on. @returns `false` if no smaller appends can hold the records */
	const reduceAppends = (records: readonly Uint8Array[], reason: string): boolean => {
		const largest = records.reduce((maximum, { length }) => Math.max(maximum, length), 0);
		const bytes = sizeOf(records);
		const events = records.flatMap(record => decodeEvents(record) ?? []);
		counters.add('journal_appends_rejected_total');
		options.logDecision('journal-append-rejected', {
			term,
			reason,
			bytes,
			largest,
			records: records.length,
			events: [...new Set(events.map(({ type }) => type))],
		});
		if (records.length > 1) {
			callBytes = Math.min(callBytes, Math.ceil(bytes / 2));
			return true;
		}
		recordBytes = Math.min(recordBytes, Math.ceil(largest / 2));
		// The state of a job is divided anew from its whole.
		return events.some(({ type }) => type === 'rewritten-part') || encodeEvents(events, recordBytes).length > 1;
	};

	const appendWithTimeout = async (
		records: readonly Uint8Array[],
		sent: TermConfirmation,
	): Promise<AppendOutcome> => {
		lastSentAt = sent.monotonicAt;
		const answerWithinMs = Math.round(appendTimeout.currentMs);
		const writer = { name: JOURNAL_WRITER, epoch: term, sequence };
		const outcome = await log.append('journal', records, { writer, answerWithinMs }, signal);
		counters.add('journal_appends_total', { outcome: outcome.type });
		if (outcome.type === 'unknown') {
			appendTimeout.recordTimeout();
		} else if (outcome.type === 'appended') {
			appendTimeout.recordLatency(clock.now() - sent.monotonicAt);
		}
		return outcome;
	};

	const stop = (reason: string): 'stopped' => {
		isFenced = true;
		options.onFenced(reason);
		return 'stopped';
	};

	/**
	 * Appends records, with retries while the outcome of an attempt is unknown.
	 * @returns the offset; `not-stored` when the log refused the only attempt; `rejected` when the records will never be stored;
	 * `stopped` when the writer was fenced off or stopped
	 */
	const appendRecords = async (
		records: readonly Uint8Array[],
	): Promise<number | 'not-stored' | 'rejected' | 'stopped'> => {
		counters.add('journal_bytes_total', {}, records.reduce((sum, record) => sum + record.length, 0));
		let firstUnknown: TermConfirmation | undefined;
		while (!signal.aborted) {
			const sent = proof.sendTime();
			const outcome = await appendWithTimeout(records, sent);
			if (outcome.type === 'appended') {
				unansweredSince = undefined;
				// The store may answer a repeated append with the outcome of an earlier attempt.
				proof.confirm(firstUnknown ?? sent);
				return outcome.offset;
			}
			const reaction = termReactions['write-journal'][outcome.type];
			if (reaction === 'lost') {
				return stop(`the journal rejected an append as ${outcome.type} in term ${term}`);
			}
			if (outcome.type === 'rejected') {
				return reduceAppends(records, outcome.reason)
					? 'rejected'
					: stop(`the journal cannot store an event in term ${term}: ${outcome.reason}`);
			}
			unansweredSince ??= sent.monotonicAt;
			if (outcome.type === 'unknown') {
				firstUnknown ??= sent;
			}
			if (firstUnknown === undefined) {
				return 'not-stored';
			}
			await delay(RETRY_DELAY_MS, signal);
		}
		return 'stopped';
	};

	/**
	 * Stores batches. Of a batch that needs several appends, a successor may read the first ones only.
	 * @returns the offset of the first record; `not-stored` if no record was stored
	 */
	const storeAppends = async (appends: readonly Uint8Array[][]): Promise<number | 'not-stored' | 'stopped'> => {
		let first: number | undefined;
		const remaining = [...appends];
		for (let records = remaining.shift(); records !== undefined; records = remaining.shift()) {
			const result = await appendRecords(records);
			if (typeof result === 'number') {
				sequence++;
				first ??= result;
			} else if (result === 'stopped') {
				return result;
			} else if (first === undefined) {
				return 'not-stored';
			} else if (result === 'rejected' && records.length === 1) {
				return stop(`the journal cannot store a record of ${sizeOf(records)} bytes in term ${term}`);
			} else {
				remaining.unshift(...divideRecords(records, callBytes));
				await delay(RETRY_DELAY_MS, signal);
			}
		}
		return first ?? 'not-stored';
	};

	const run = async (): Promise<void> => {
		while (queuedBatches.length > 0 && !signal.aborted) {
			const delayMs = lastSentAt + appendEveryMs - clock.now();
			if (delayMs > 0) {
				await delay(delayMs, signal);
			}
			const { batches, appends } = takeBatches();
			const last = batches.at(-1);
			const result = await storeAppends(appends);
			if (result === 'stopped' || last === undefined) {
				return;
			}
			if (result === 'not-stored') {
				queuedBatches = [...batches, ...queuedBatches];
				await delay(RETRY_DELAY_MS, signal);
				continue;
			}
			options.onStored(last.batch, result);
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
		withdraw: job => {
			const isAcceptance = (event: JournalEvent): boolean => event.type === 'accepted' && event.job.id === job;
			const isQueued = queuedBatches.some(({ events }) => events.some(isAcceptance));
			queuedBatches = queuedBatches.map(({ batch, events }) => ({
				batch,
				events: events.filter(event => !isAcceptance(event)),
			}));
			return isQueued;
		},
	};
}
