import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { DecisionLogger } from '@chestnutwheel/engine/common/engineMessages.js';

/** Maximum number of lines per takeover; a build that cannot read its predecessor's events would fill the log. */
const MAXIMUM_LINES = 10;

/** A journal record, or an event in a record, that a new leader has skipped. */
export interface SkippedRecord {
	readonly offset: number;
	/** Type of the event that could not be applied; `undefined` if the whole record could not be decoded. */
	readonly event: string | undefined;
	readonly reason: string;
}

/** Options of {@link createSkippedRecordLog}. */
export interface SkippedRecordLogOptions {
	readonly term: number;
	readonly counters: Counters;
	readonly logDecision: DecisionLogger;
}

/** Creates a function that counts the skipped records of one takeover, and logs the first of them. */
export function createSkippedRecordLog(options: SkippedRecordLogOptions): (skipped: SkippedRecord) => void {
	const { term, counters, logDecision } = options;
	let lines = 0;
	return skipped => {
		counters.add('journal_records_skipped_total', { type: skipped.event === undefined ? 'record' : 'event' });
		if (lines < MAXIMUM_LINES) {
			lines++;
			logDecision('journal-record-skipped', { term, ...skipped });
		}
	};
}
