import type { MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import type { AppendEffect, AppendResult } from './workMessages.js';
import type { WorkRecord } from './workRecord.js';

/** A record is appended again when it was not read back after this time. Folding a second copy changes nothing. */
const APPEND_AGAIN_MS = 5_000;
/** Delay after an append that certainly failed. */
const FAILED_RETRY_MS = 500;
/** Appends under way at once; the others wait their turn. */
const MAXIMUM_IN_FLIGHT = 16;

/** A record on its way into the work stream. */
export interface PendingRecord {
	readonly record: WorkRecord;
	/** Whether the ledger shows that the record, or one that makes it moot, was folded. */
	isSeen(): boolean;
	whenSeen(now: MonotonicTime): void;
	/** Called after a failed append; returning false gives the record up. */
	mayRetry?(result: AppendResult): boolean;
}

/** Appends records until they are read back. */
export interface RecordWriter {
	write(pending: PendingRecord): void;
	/** Gives a record up; an append under way may still land. */
	drop(pending: PendingRecord): void;
	appendEnded(appendId: string, result: AppendResult, now: MonotonicTime): void;
	/** Takes note of what the ledger shows and returns the appends that are due. */
	advance(now: MonotonicTime): readonly AppendEffect[];
	/** Whether any append of the record was sent that may have landed. */
	mayHaveLanded(pending: PendingRecord): boolean;
	/** The earliest time at which an append is due again. */
	nextTickAt(): MonotonicTime;
}

interface Entry {
	sendAt: MonotonicTime;
	appendId: string | undefined;
	mayHaveLanded: boolean;
}

/** Creates a writer without records. */
export function createRecordWriter(): RecordWriter {
	const entries = new Map<PendingRecord, Entry>();
	const byAppend = new Map<string, PendingRecord>();
	let appendCount = 0;

	const drop = (pending: PendingRecord): void => {
		const appendId = entries.get(pending)?.appendId;
		entries.delete(pending);
		if (appendId !== undefined) {
			byAppend.delete(appendId);
		}
	};

	return {
		write: pending => {
			entries.set(pending, { sendAt: -Infinity, appendId: undefined, mayHaveLanded: false });
		},
		drop,
		appendEnded: (appendId, result, now) => {
			const pending = byAppend.get(appendId);
			byAppend.delete(appendId);
			const entry = pending === undefined ? undefined : entries.get(pending);
			if (pending === undefined || entry?.appendId !== appendId) {
				return;
			}
			entry.appendId = undefined;
			entry.mayHaveLanded ||= result !== 'failed';
			entry.sendAt = now + (result === 'failed' ? FAILED_RETRY_MS : APPEND_AGAIN_MS);
			if (pending.mayRetry?.(result) === false) {
				entries.delete(pending);
			}
		},
		advance: now => {
			for (const pending of [...entries.keys()]) {
				if (pending.isSeen()) {
					drop(pending);
					pending.whenSeen(now);
				}
			}
			const effects: AppendEffect[] = [];
			for (const [pending, entry] of entries) {
				if (entry.appendId === undefined && now >= entry.sendAt && byAppend.size < MAXIMUM_IN_FLIGHT) {
					entry.appendId = `jobs-${appendCount++}`;
					byAppend.set(entry.appendId, pending);
					effects.push({ type: 'append', appendId: entry.appendId, value: JSON.stringify(pending.record) });
				}
			}
			return effects;
		},
		mayHaveLanded: pending => {
			const entry = entries.get(pending);
			return entry !== undefined && (entry.mayHaveLanded || entry.appendId !== undefined);
		},
		nextTickAt: () =>
			[...entries.values()].reduce(
				(earliest, { appendId, sendAt }) => (appendId === undefined ? Math.min(earliest, sendAt) : earliest),
				Infinity,
			),
	};
}
