import type { JournalEvent } from '../common/jobs/journalEvent.js';

/** Returns the journal from an offset on as a successor reads it, after a round trip through JSON. */
export function readStoredJournal(journal: readonly JournalEvent[], offset: number): readonly JournalEvent[] {
	return JSON.parse(JSON.stringify(journal.slice(offset))) as readonly JournalEvent[];
}
