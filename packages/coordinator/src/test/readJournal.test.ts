import { describe, expect, it } from 'vitest';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import { encodeEvents } from '../node/journal/journalCodec.js';
import { takeOverJournal } from '../node/journal/readJournal.js';

const RECORDS_PER_READ = 3;
const END = 10;

/** A journal of ten records, of which each read returns three. */
function createLog(reads: number[], onRead: () => void, firstOffset = 0): LogService {
	return {
		append: () => Promise.resolve({ type: 'appended', offset: END, end: END }),
		read: (_topic: string, from: number) => {
			reads.push(from);
			onRead();
			if (from < firstOffset) {
				return Promise.resolve({ type: 'expired', first: firstOffset });
			}
			const count = Math.min(RECORDS_PER_READ, END - from);
			const records = Array.from(
				{ length: count },
				(_, index) => encodeEvents([{ type: 'settled', term: from + index }])[0] ?? new Uint8Array(),
			);
			return Promise.resolve({ type: 'records', records, end: END });
		},
	} as Partial<LogService> as LogService;
}

const clock = { now: () => 0, wallNow: () => 0 };

describe('the takeover of the journal', () => {
	// A new leader waited for each part of the journal, then applied it, while callers waited for a leader.
	it('reads the next records while it applies the last ones', async () => {
		const reads: number[] = [];
		const appliedAtRead: number[] = [];
		let applied = 0;
		const log = createLog(reads, () => appliedAtRead.push(applied));
		const apply = (): void => {
			applied++;
		};
		const result = await takeOverJournal(log, 1, clock, apply, () => undefined, new AbortController().signal);
		expect(result.records).toBe(END);
		expect(reads).toEqual([0, 3, 6, 9]);
		expect(appliedAtRead).toEqual([0, 0, 3, 6]);
	});

	it('applies each record once and with its offset after the oldest have expired', async () => {
		const applied: [number, number][] = [];
		const log = createLog([], () => undefined, 4);
		await takeOverJournal(
			log,
			1,
			clock,
			(event, offset) => applied.push([event.type === 'settled' ? event.term : -1, offset]),
			() => undefined,
			new AbortController().signal,
		);
		expect(applied).toEqual([4, 5, 6, 7, 8, 9].map(offset => [offset, offset]));
	});
});
