import type { JournalEvent } from './journalEvent.js';

/** State of the leaders of earlier terms, as known from the journal and from their processes. */
export interface Predecessor {
	/** Time at which it was established that none of them leads; `undefined` while one may still lead. */
	stoppedAt: number | undefined;
	/** Whether no term was read from the journal so far; after the replay, whether the journal has never held a record. */
	isFirst: boolean;
	/** Whether only the last of them may still be active. */
	isSettled: boolean;
	/** Longest lease that one of them requests. */
	leaseMs: number;
	/** Longest time for which one of them renews leases after its leadership was last confirmed. */
	validMs: number;
	/** Whether all of them record the workers on which a lease may be longer than they ask for. */
	recordsLongLeases: boolean;
}

/** Creates the state that holds before anything was read from the journal. */
export function createPredecessor(): Predecessor {
	return { stoppedAt: undefined, isFirst: true, isSettled: true, leaseMs: 0, validMs: 0, recordsLongLeases: true };
}

/** Adds what the record of a term says. */
export function readTerm(predecessor: Predecessor, event: Extract<JournalEvent, { type: 'term' }>): void {
	predecessor.leaseMs = Math.max(predecessor.leaseMs, event.leaseMs);
	predecessor.validMs = Math.max(predecessor.validMs, event.validMs);
	predecessor.recordsLongLeases &&= event.recordsLongLeases === true;
	predecessor.isSettled = predecessor.isFirst && event.isUnsettled !== true;
	predecessor.isFirst = false;
}
