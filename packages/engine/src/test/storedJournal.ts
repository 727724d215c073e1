import type { JournalEvent } from '../common/jobs/journalEvent.js';

/** The journal from an offset on, as a successor reads it: it was stored as JSON. */
export function readStoredJournal(journal: readonly JournalEvent[], offset: number): readonly JournalEvent[] {
	return JSON.parse(JSON.stringify(journal.slice(offset))) as readonly JournalEvent[];
}
