import { createHash } from 'node:crypto';
import { divideEvent, divideJobState } from '@chestnutwheel/engine/common/jobs/divideEvent.js';
import type { JournalEvent } from '@chestnutwheel/engine/common/jobs/journalEvent.js';

const encoder = new TextEncoder();
const decoder = new TextDecoder('utf-8', { fatal: true });

/** Size of the brackets of a record that holds a single event. */
const BRACKETS_BYTES = 2;

/** Size of a record without events, of which each adds a separator, less that of the last one. */
const EMPTY_LENGTH = BRACKETS_BYTES - 1;

/** Length of the identity of the state of a job, in characters of 6 bits. */
const STATE_ID_LENGTH = 12;

interface EncodedEvent {
	readonly text: string;
	/** Size of the UTF-8 encoding. */
	readonly size: number;
}

function encodeEvent(event: JournalEvent): EncodedEvent {
	const text = JSON.stringify(event);
	return { text, size: Buffer.byteLength(text) };
}

/** Encodes an event as several that each fit into a record, if it does not fit itself and can be divided. */
function encodeFitting(event: JournalEvent, maximumSize: number): readonly EncodedEvent[] {
	const whole = encodeEvent(event);
	if (whole.size <= maximumSize) {
		return [whole];
	}
	if (event.type === 'rewritten') {
		const stateId = createHash('sha256').update(whole.text).digest('base64url').slice(0, STATE_ID_LENGTH);
		const rows = Math.max(1, event.tasks.length, event.active.length);
		let parts = Math.ceil(whole.size / maximumSize);
		for (;;) {
			const encoded = divideJobState(event, stateId, Math.min(parts, rows)).map(encodeEvent);
			if (encoded.every(({ size }) => size <= maximumSize)) {
				return encoded;
			}
			if (parts >= rows) {
				return [whole];
			}
			parts *= 2;
		}
	}
	return divideEvent(event)?.flatMap(half => encodeFitting(half, maximumSize)) ?? [whole];
}

/**
 * Encodes events into as few records as their maximum size allows. An event that does not fit into a record is divided into
 * several that say the same. One that cannot be divided gets a record of its own.
 */
export function encodeEvents(events: readonly JournalEvent[], recordBytes: number): readonly Uint8Array[] {
	const records: Uint8Array[] = [];
	let parts: string[] = [];
	let length = EMPTY_LENGTH;
	const flush = (): void => {
		if (parts.length > 0) {
			records.push(encoder.encode(`[${parts.join(',')}]`));
		}
		parts = [];
		length = EMPTY_LENGTH;
	};
	for (const event of events) {
		for (const { text, size } of encodeFitting(event, recordBytes - BRACKETS_BYTES)) {
			// The extra byte is the separator.
			if (length + size + 1 > recordBytes) {
				flush();
			}
			parts.push(text);
			length += size + 1;
		}
	}
	flush();
	return records;
}

/** Decodes the events of a record. Returns `undefined` if the record is not valid. */
export function decodeEvents(record: Uint8Array): readonly JournalEvent[] | undefined {
	try {
		const events: unknown = JSON.parse(decoder.decode(record));
		return Array.isArray(events) ? (events as JournalEvent[]) : undefined;
	} catch {
		return undefined;
	}
}
