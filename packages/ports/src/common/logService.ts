/** Topics of the platform log that the coordinator writes. */
export type LogTopic = 'leader' | 'members' | 'journal' | 'wave-status';

/** Outcome of an append. Only after `unknown` may the records be stored already or be stored later. */
export type AppendOutcome =
	| { readonly type: 'appended'; readonly offset: number; readonly end: number }
	/** The end of the topic differs from the expected offset. */
	| { readonly type: 'conflict'; readonly end: number }
	/** A writer with a higher epoch has written to the topic. */
	| { readonly type: 'fenced'; readonly epoch: number }
	/** The sequence number is not the successor of the last one. */
	| { readonly type: 'out-of-sequence'; readonly expected: number }
	/** Nothing was stored; the same append may be stored later. */
	| { readonly type: 'refused'; readonly reason: string }
	/** Nothing was stored, and the same append never will be, as one with a record that is too large. */
	| { readonly type: 'rejected'; readonly reason: string }
	| { readonly type: 'unknown'; readonly reason: string };

/** Sizes that the log accepts, in bytes. */
export interface LogLimits {
	/** Size of the largest record. */
	readonly recordBytes: number;
	/** Sum of the sizes of the records of one append. */
	readonly callBytes: number;
}

/** Position of an idempotent writer. A repeated sequence number gets the outcome of the first append again. */
export interface WriterPosition {
	readonly name: string;
	/** Epoch of the writer; the topic refuses appends with an epoch lower than the highest one it has seen. */
	readonly epoch: number;
	/** Sequence number; omitted in an append without records, which only raises the epoch. */
	readonly sequence?: number;
}

/** Conditions of an append. At most one of `at` and `writer` is given. */
export interface AppendConditions {
	/** The append succeeds only if the topic ends at this offset. */
	readonly at?: number;
	readonly writer?: WriterPosition;
	/** Time after which the outcome is `unknown`, in milliseconds; defaults to the time-out of the service. */
	readonly answerWithinMs?: number;
}

/** Outcome of a read. */
export type ReadOutcome =
	| { readonly type: 'records'; readonly first: number; readonly end: number; readonly records: readonly Uint8Array[] }
	/** The records at the requested offset are no longer retained; `first` is the oldest retained offset. */
	| { readonly type: 'expired'; readonly first: number }
	| { readonly type: 'failed'; readonly reason: string };

/** The newest record of a key. */
export interface KeyedRecord {
	readonly key: string;
	readonly offset: number;
	/** `undefined` for a tombstone, which marks a deleted key. */
	readonly value: Uint8Array | undefined;
}

/** Outcome of reading the newest records of a keyed topic. */
export type NewestOutcome =
	| { readonly type: 'newest'; readonly end: number; readonly records: readonly KeyedRecord[] }
	| { readonly type: 'failed'; readonly reason: string };

/** The platform's append-only log. Calls never reject. */
export interface LogService {
	/** Appends records atomically. */
	append(
		topic: LogTopic,
		records: readonly Uint8Array[],
		conditions: AppendConditions,
		signal: AbortSignal,
	): Promise<AppendOutcome>;
	/** Reads records in order. @param waitMs longest time to wait for the first record */
	read(topic: LogTopic, from: number, waitMs: number, signal: AbortSignal): Promise<ReadOutcome>;
	/** Reads the newest record of every key in a keyed topic. */
	newest(topic: LogTopic, signal: AbortSignal): Promise<NewestOutcome>;
	/** Deletes the records before an offset. @returns whether the log confirmed the deletion */
	trim(topic: LogTopic, before: number, signal: AbortSignal): Promise<boolean>;
	/** Encodes a record of a keyed topic. @param value `undefined` for a tombstone */
	keyedRecord(key: string, value: Uint8Array | undefined): Uint8Array;
	/** Decodes a record of a keyed topic. @returns `undefined` when the record has no key */
	parseKeyedRecord(record: Uint8Array, offset: number): KeyedRecord | undefined;
}
