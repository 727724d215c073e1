import type { NewestOutcome, ReadOutcome } from '@chestnutwheel/ports/common/logService.js';

/** Bytes in a peer message, which is JSON. */
type EncodedBytes = string;

/** A read outcome whose records are base64. */
export type EncodedReadOutcome =
	| Exclude<ReadOutcome, { type: 'records' }>
	| {
			readonly type: 'records';
			readonly first: number;
			readonly end: number;
			readonly records: readonly EncodedBytes[];
	  };

/** An outcome of reading a keyed topic whose values are base64. */
export type EncodedNewestOutcome =
	| Exclude<NewestOutcome, { type: 'newest' }>
	| {
			readonly type: 'newest';
			readonly end: number;
			readonly records: readonly {
				readonly key: string;
				readonly offset: number;
				/** Absent for a tombstone. */
				readonly value?: EncodedBytes | undefined;
			}[];
	  };

/** Encodes bytes for a peer message. */
export function encodeBytes(bytes: Uint8Array): EncodedBytes {
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('base64');
}

/** Decodes bytes of a peer message. */
export function decodeBytes(text: EncodedBytes): Uint8Array {
	return Buffer.from(text, 'base64');
}

/** Encodes a read outcome for a peer message. */
export function encodeReadOutcome(outcome: ReadOutcome): EncodedReadOutcome {
	return outcome.type === 'records' ? { ...outcome, records: outcome.records.map(encodeBytes) } : outcome;
}

/** Decodes a read outcome of a peer message. */
export function decodeReadOutcome(outcome: EncodedReadOutcome): ReadOutcome {
	return outcome.type === 'records' ? { ...outcome, records: outcome.records.map(decodeBytes) } : outcome;
}

/** Encodes the newest records of a topic for a peer message. */
export function encodeNewestOutcome(outcome: NewestOutcome): EncodedNewestOutcome {
	return outcome.type === 'newest'
		? {
				...outcome,
				records: outcome.records.map(({ value, ...record }) =>
					value === undefined ? record : { ...record, value: encodeBytes(value) },
				),
			}
		: outcome;
}

/** Decodes the newest records of a topic in a peer message. */
export function decodeNewestOutcome(outcome: EncodedNewestOutcome): NewestOutcome {
	return outcome.type === 'newest'
		? {
				...outcome,
				records: outcome.records.map(({ value, ...record }) => ({
					...record,
					value: value === undefined ? undefined : decodeBytes(value),
				})),
			}
		: outcome;
}
