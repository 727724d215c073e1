import type { JournalEvent } from '@chestnutwheel/engine/common/jobs/journalEvent.js';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import { kindError } from '@chestnutwheel/base/common/kindError.js';
import { decodeEvents } from './journalCodec.js';
import { JOURNAL_WRITER } from './journalWriter.js';

/** Reads that fail in a row before a new leader gives its term up. */
const MAXIMUM_FAILURES = 20;

/** Time that a read waits when there is no record, in milliseconds. */
const NO_WAIT_MS = 0;

/** What was read. */
export interface JournalReadResult {
	readonly records: number;
	readonly bytes: number;
	/** Records that could not be read and were left out. */
	readonly unreadable: number;
}

/**
 * Shuts predecessors out of the journal, then reads it to its end.
 * @throws `log-unavailable` when the log does not answer, `not-ready` when a successor has shut this term out
 */
export async function takeOverJournal(
	log: LogService,
	term: number,
	onEvent: (event: JournalEvent, offset: number) => void,
	signal: AbortSignal,
): Promise<JournalReadResult> {
	const end = await fencePredecessors(log, term, signal);
	let from = 0;
	let records = 0;
	let bytes = 0;
	let unreadable = 0;
	let failures = 0;
	while (from < end) {
		const outcome = await log.read('journal', from, NO_WAIT_MS, signal);
		if (outcome.type === 'expired') {
			from = outcome.first;
			continue;
		}
		if (outcome.type === 'failed') {
			failures++;
			if (failures > MAXIMUM_FAILURES || signal.aborted) {
				throw kindError('log-unavailable', `the journal cannot be read: ${outcome.reason}`);
			}
			continue;
		}
		if (outcome.records.length === 0) {
			break;
		}
		for (const record of outcome.records) {
			records++;
			bytes += record.length;
			const events = decodeEvents(record);
			if (events === undefined) {
				unreadable++;
			}
			for (const event of events ?? []) {
				onEvent(event, from);
			}
			from++;
		}
	}
	return { records, bytes, unreadable };
}

/** Raises the journal's epoch. @returns the end of the journal */
async function fencePredecessors(log: LogService, term: number, signal: AbortSignal): Promise<number> {
	let reason = '';
	for (let failures = 0; failures <= MAXIMUM_FAILURES && !signal.aborted; failures++) {
		const outcome = await log.append('journal', [], { writer: { name: JOURNAL_WRITER, epoch: term } }, signal);
		if (outcome.type === 'appended') {
			return outcome.end;
		}
		if (outcome.type === 'fenced') {
			throw kindError('not-ready', `the journal is written under term ${outcome.epoch}; this one is ${term}`);
		}
		reason = outcome.type;
	}
	throw kindError('log-unavailable', `the journal does not take term ${term}: ${reason}`);
}
