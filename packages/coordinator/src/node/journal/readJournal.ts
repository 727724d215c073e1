import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { JournalEvent } from '@chestnutwheel/engine/common/jobs/journalEvent.js';
import type { LogService, ReadOutcome } from '@chestnutwheel/ports/common/logService.js';
import { errorMessageOf, kindError } from '@chestnutwheel/base/common/kindError.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { SkippedRecord } from '../../common/skippedRecordLog.js';
import { termReactions } from '../../common/storeReactions.js';
import { decodeEvents } from './journalCodec.js';
import { JOURNAL_WRITER } from './journalWriter.js';

/** Delay before a call that the store did not serve is repeated; it doubles up to the maximum. */
const FIRST_RETRY_DELAY_MS = 20;
const MAXIMUM_RETRY_DELAY_MS = 160;

/** Reads at the end of the journal return at once. */
const NO_WAIT_MS = 0;

/** Maximum length of the values in a log line about a skipped event. */
const MAXIMUM_REASON_LENGTH = 80;

/** Statistics of a replay of the journal. */
export interface JournalReadResult {
	readonly records: number;
	readonly bytes: number;
	/** Number of records that could not be decoded, and of events that could not be applied. They were skipped. */
	readonly unreadable: number;
	/** Offset of the first record read; `undefined` if none was. */
	readonly firstOffset: number | undefined;
	/** End offset of the journal when the predecessors were fenced off. */
	readonly endOffset: number;
	/** Offset after the last record read. */
	readonly reachedOffset: number;
	/** Time that the log took for the append that fenced off the predecessors, in milliseconds. */
	readonly appendLatencyMs: number;
}

/** Reports whether the log serves the takeover: `true` when a call failed, `false` when one succeeded. */
export type BlockedListener = (isBlocked: boolean) => void;

/** Receives the events of the journal and the progress of a takeover. */
export interface TakeoverListener {
	readonly onEvent: (event: JournalEvent, offset: number) => void;
	readonly onSkipped: (skipped: SkippedRecord) => void;
	/**
	 * Called when records behind those read so far have expired, since a leader of an earlier term may still trim the journal.
	 * The events applied so far must be discarded: the expired ones may have ended jobs that the retained ones do not name.
	 */
	readonly onRestart: (expired: { readonly from: number; readonly first: number }) => void;
	readonly onBlocked: BlockedListener;
}

/**
 * Fences off the journal writers of earlier terms, then replays the journal to its end. Calls that the log does not serve
 * are repeated until the signal is aborted.
 * @throws `log-unavailable` when the signal is aborted first, `not-ready` when a successor has fenced off this term or trimmed
 * the journal
 */
export async function takeOverJournal(
	log: LogService,
	term: number,
	clock: Clock,
	listener: TakeoverListener,
	signal: AbortSignal,
): Promise<JournalReadResult> {
	const { onBlocked, onSkipped, onRestart } = listener;
	const { end, appendLatencyMs } = await fencePredecessors(log, term, clock, onBlocked, signal);
	let from = 0;
	let firstOffset: number | undefined;
	let records = 0;
	let bytes = 0;
	let unreadable = 0;
	let retryDelayMs = FIRST_RETRY_DELAY_MS;
	const read = (): Promise<ReadOutcome> => log.read('journal', from, NO_WAIT_MS, signal);
	const throwIfEnded = (reason: string): void => {
		if (signal.aborted) {
			throw kindError('log-unavailable', `the journal was not read before the term ended: ${reason}`);
		}
	};
	let pendingRead: Promise<ReadOutcome> | undefined;
	while (from < end) {
		const outcome = rejectIncompleteRead(await (pendingRead ?? read()), from, end);
		pendingRead = undefined;
		// A read through a follower is answered although the signal is aborted.
		throwIfEnded(outcome.type === 'failed' ? outcome.reason : 'a read took too long');
		if (outcome.type === 'failed') {
			onBlocked(true);
			await delay(retryDelayMs, signal);
			retryDelayMs = Math.min(MAXIMUM_RETRY_DELAY_MS, 2 * retryDelayMs);
			throwIfEnded(outcome.reason);
			continue;
		}
		onBlocked(false);
		retryDelayMs = FIRST_RETRY_DELAY_MS;
		if (outcome.type === 'expired') {
			if (outcome.first > end) {
				throw kindError('not-ready', `a term newer than ${term} has trimmed the journal to ${outcome.first}`);
			}
			if (firstOffset !== undefined) {
				onRestart({ from, first: outcome.first });
				firstOffset = undefined;
				records = 0;
				bytes = 0;
				unreadable = 0;
			}
			from = outcome.first;
			continue;
		}
		let offset = from;
		firstOffset ??= from;
		// Only a successor can have appended records behind the fence.
		const ownRecords = outcome.records.slice(0, end - from);
		from += ownRecords.length;
		// The next records arrive while these are applied.
		pendingRead = from < end ? read() : undefined;
		for (const record of ownRecords) {
			records++;
			bytes += record.length;
			const events = decodeEvents(record);
			if (events === undefined) {
				unreadable++;
				onSkipped({ offset, event: undefined, reason: 'the record is not a list of events' });
			}
			for (const event of events ?? []) {
				if (!applyEvent(event, offset, listener)) {
					unreadable++;
				}
			}
			offset++;
		}
	}
	return { records, bytes, unreadable, firstOffset, endOffset: end, reachedOffset: from, appendLatencyMs };
}

/**
 * Turns a read before the end of the journal into a failure if it shows less than the journal holds. A term that begins on a
 * part of the journal does not know jobs that run, and starts tasks of jobs that are cancelled.
 * @param end end of the journal when the predecessors were fenced off
 */
function rejectIncompleteRead(outcome: ReadOutcome, from: number, end: number): ReadOutcome {
	if (outcome.type === 'expired' && outcome.first <= from) {
		return { type: 'failed', reason: `the log retains offset ${outcome.first}, but not ${from}` };
	}
	if (outcome.type === 'records' && outcome.end < end) {
		return { type: 'failed', reason: `the log ended at ${outcome.end}, before ${end}` };
	}
	if (outcome.type === 'records' && outcome.records.length === 0) {
		return { type: 'failed', reason: `the log returned no records before ${end}` };
	}
	return outcome;
}

/** Applies an event. @returns whether it could be applied; another build or a faulty writer may have written it */
function applyEvent(event: JournalEvent, offset: number, { onEvent, onSkipped }: TakeoverListener): boolean {
	try {
		onEvent(event, offset);
		return true;
	} catch (error) {
		onSkipped({ offset, event: typeOf(event), reason: errorMessageOf(error).slice(0, MAXIMUM_REASON_LENGTH) });
		return false;
	}
}

/** Returns the type of an event that may be any JSON value. */
function typeOf(event: unknown): string {
	const type = typeof event === 'object' && event !== null && 'type' in event ? event.type : undefined;
	return typeof type === 'string' ? type.slice(0, MAXIMUM_REASON_LENGTH) : 'none';
}

/**
 * Raises the writer epoch of the journal to the term.
 * @returns the end offset of the journal, and the time that the successful append took, in milliseconds
 */
async function fencePredecessors(
	log: LogService,
	term: number,
	clock: Clock,
	onBlocked: BlockedListener,
	signal: AbortSignal,
): Promise<{ readonly end: number; readonly appendLatencyMs: number }> {
	let reason = 'the term ended before';
	for (let retryDelayMs = FIRST_RETRY_DELAY_MS; !signal.aborted; retryDelayMs *= 2) {
		const sentAt = clock.now();
		const outcome = await log.append('journal', [], { writer: { name: JOURNAL_WRITER, epoch: term } }, signal);
		if (outcome.type === 'appended') {
			onBlocked(false);
			return { end: outcome.end, appendLatencyMs: Math.round(clock.now() - sentAt) };
		}
		if (termReactions['fence-journal'][outcome.type] === 'lost') {
			throw kindError('not-ready', `a term newer than ${term} has fenced off the journal: ${outcome.type}`);
		}
		reason = outcome.type;
		onBlocked(true);
		await delay(Math.min(MAXIMUM_RETRY_DELAY_MS, retryDelayMs), signal);
	}
	throw kindError('log-unavailable', `the journal did not accept term ${term}: ${reason}`);
}
