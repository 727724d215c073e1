import type { JournalEvent } from '@chestnutwheel/engine/common/jobs/journalEvent.js';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import { kindError } from '@chestnutwheel/base/common/kindError.js';
import { decodeEvents } from './journalCodec.js';
import { JOURNAL_WRITER } from './journalWriter.js';

/** Maximum number of failed calls before a new leader gives up its term. */
const MAXIMUM_FAILURES = 20;

/** Reads at the end of the journal return at once. */
const NO_WAIT_MS = 0;

/** Statistics of a replay of the journal. */
export interface JournalReadResult {
	readonly records: number;
	readonly bytes: number;
	/** Number of records that could not be decoded and were skipped. */
	readonly unreadable: number;
}

/**
 * Fences off the journal writers of earlier terms, then replays the journal to its end.
 * @throws `log-unavailable` when the log does not answer, `not-ready` when a successor has fenced off this term
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
				throw kindError('log-unavailable', `reading the journal failed repeatedly: ${outcome.reason}`);
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

/** Raises the writer epoch of the journal to the term. @returns the end offset of the journal */
async function fencePredecessors(log: LogService, term: number, signal: AbortSignal): Promise<number> {
	let reason = '';
	for (let failures = 0; failures <= MAXIMUM_FAILURES && !signal.aborted; failures++) {
		const outcome = await log.append('journal', [], { writer: { name: JOURNAL_WRITER, epoch: term } }, signal);
		if (outcome.type === 'appended') {
			return outcome.end;
		}
		if (outcome.type === 'fenced') {
			throw kindError('not-ready', `the journal is fenced by term ${outcome.epoch}, which is newer than term ${term}`);
		}
		reason = outcome.type;
	}
	throw kindError('log-unavailable', `the journal did not accept term ${term}: ${reason}`);
}
