import type { JournalEvent } from '@chestnutwheel/engine/common/jobs/journalEvent.js';

/** Maximum size of one record; the log accepts 256 KiB. */
const MAXIMUM_RECORD_BYTES = 200_000;

const encoder = new TextEncoder();
const decoder = new TextDecoder('utf-8', { fatal: true });

/** Encodes events into as few records as the maximum record size allows. */
export function encodeEvents(events: readonly JournalEvent[]): readonly Uint8Array[] {
	const records: Uint8Array[] = [];
	let parts: string[] = [];
	let length = 0;
	const flush = (): void => {
		if (parts.length > 0) {
			records.push(encoder.encode(`[${parts.join(',')}]`));
		}
		parts = [];
		length = 0;
	};
	for (const event of events) {
		const text = JSON.stringify(event);
		// The size is that of the UTF-8 encoding; the extra byte is the separator.
		const size = Buffer.byteLength(text) + 1;
		if (length + size > MAXIMUM_RECORD_BYTES) {
			flush();
		}
		parts.push(text);
		length += size;
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
