import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { LogReadAnswer } from '@chestnutwheel/platform/common/logProtocol.js';

/** The streams of a log stand-in, in memory. */
export interface LogStreams {
	append(stream: string, value: string): number;
	/** Reads from an offset; -1 reads the last record. No record is returned for an expired offset. */
	read(stream: string, from: number, limit: number): LogReadAnswer;
	/** Resolves at the next append to the stream, or after the time. */
	waitForAppend(stream: string, milliseconds: number): Promise<void>;
	expireBefore(stream: string, offset: number): void;
	/** Ends all waits. */
	wakeAll(): void;
}

/** An answer stops before it exceeds this size, but has at least one record. */
const MAXIMUM_ANSWER_CHARACTERS = 4 * 1024 * 1024;

/** Expired records are removed from memory in batches of this size. */
const REMOVAL_BATCH = 1_000;

interface Stream {
	/** Offset of the first entry of `entries`. */
	baseOffset: number;
	firstOffset: number;
	readonly entries: { readonly value: string; readonly appendedAt: number }[];
	readonly waiting: Set<() => void>;
}

/** Creates an empty set of streams. A stream exists from its first use on. */
export function createLogStreams(options: {
	readonly maximumRecords: number;
	readonly maximumAgeMs: number | undefined;
	readonly clock: Clock;
}): LogStreams {
	const { maximumRecords, maximumAgeMs = Infinity, clock } = options;
	const streams = new Map<string, Stream>();

	const endOffset = (stream: Stream): number => stream.baseOffset + stream.entries.length;

	const expire = (stream: Stream): void => {
		stream.firstOffset = Math.max(stream.firstOffset, endOffset(stream) - maximumRecords);
		const oldestKeptAt = clock.now() - maximumAgeMs;
		while (stream.firstOffset < endOffset(stream)) {
			const oldest = stream.entries[stream.firstOffset - stream.baseOffset];
			if (oldest === undefined || oldest.appendedAt >= oldestKeptAt) {
				break;
			}
			stream.firstOffset++;
		}
		const removable = stream.firstOffset - stream.baseOffset;
		if (removable >= REMOVAL_BATCH) {
			stream.entries.splice(0, removable);
			stream.baseOffset = stream.firstOffset;
		}
	};

	const open = (name: string): Stream => {
		let stream = streams.get(name);
		if (stream === undefined) {
			stream = { baseOffset: 0, firstOffset: 0, entries: [], waiting: new Set() };
			streams.set(name, stream);
		}
		expire(stream);
		return stream;
	};

	const wake = (stream: Stream): void => {
		for (const resume of [...stream.waiting]) {
			resume();
		}
	};

	return {
		append: (name, value) => {
			const stream = open(name);
			const offset = endOffset(stream);
			stream.entries.push({ value, appendedAt: clock.now() });
			expire(stream);
			wake(stream);
			return offset;
		},
		read: (name, from, limit) => {
			const stream = open(name);
			const end = endOffset(stream);
			const first = from === -1 ? Math.max(stream.firstOffset, end - 1) : from;
			const records: { offset: number; value: string }[] = [];
			let characters = 0;
			for (let offset = first; offset < Math.min(end, first + limit); offset++) {
				const entry = stream.entries[offset - stream.baseOffset];
				if (first < stream.firstOffset || entry === undefined) {
					break;
				}
				characters += entry.value.length;
				if (records.length > 0 && characters > MAXIMUM_ANSWER_CHARACTERS) {
					break;
				}
				records.push({ offset, value: entry.value });
			}
			return { firstOffset: stream.firstOffset, endOffset: end, records };
		},
		waitForAppend: (name, milliseconds) => {
			const stream = open(name);
			return new Promise(resolve => {
				const resume = (): void => {
					clearTimeout(timer);
					stream.waiting.delete(resume);
					resolve();
				};
				const timer = setTimeout(resume, milliseconds);
				stream.waiting.add(resume);
			});
		},
		expireBefore: (name, offset) => {
			const stream = open(name);
			stream.firstOffset = Math.max(stream.firstOffset, Math.min(offset, endOffset(stream)));
		},
		wakeAll: () => {
			for (const stream of streams.values()) {
				wake(stream);
			}
		},
	};
}
