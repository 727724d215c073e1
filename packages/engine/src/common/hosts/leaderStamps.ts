import type { JournalEvent } from '../jobs/journalEvent.js';

/**
 * Times between records of the journal, from the wall-clock stamps in them. Two stamps are compared only if the same leader
 * wrote them, since the wall clocks of two hosts differ.
 */
export interface LeaderStamps {
	/** Reads the stamp of an event. Events are read in the order of the journal. */
	read(event: JournalEvent): void;
	/**
	 * Returns the shortest time that can have passed from a stamp of a leader to the newest record, in milliseconds. It leaves out
	 * the times between the leaders.
	 */
	elapsedSince(term: number, wallAt: number): number;
}

/** First and last stamp of a leader. */
interface StampedSpan {
	readonly first: number;
	readonly last: number;
}

/** Creates stamps for a journal of which no event has been read. */
export function createLeaderStamps(): LeaderStamps {
	const spans = new Map<number, StampedSpan>();
	let current = 0;

	const add = (term: number, wallAt: number): void => {
		// An event may repeat the stamp of an earlier leader.
		if (term === current) {
			const { first, last } = spans.get(term) ?? { first: wallAt, last: wallAt };
			spans.set(term, { first: Math.min(first, wallAt), last: Math.max(last, wallAt) });
		}
	};

	const readers: { readonly [Type in JournalEvent['type']]?: (event: Extract<JournalEvent, { type: Type }>) => void } =
		{
			term: ({ term }) => {
				current = term;
			},
			accepted: ({ job }) => add(current, job.acceptedAt),
			'host-ordered': ({ order }) => add(order.term, order.orderedAt),
			'host-accepted': ({ last: [, term, wallAt] }) => add(term, wallAt),
		};

	return {
		read: event => (readers[event.type] as ((event: JournalEvent) => void) | undefined)?.(event),
		elapsedSince: (term, wallAt) => {
			const own = spans.get(term);
			let elapsedMs = own === undefined ? 0 : Math.max(0, own.last - wallAt);
			for (const [other, { first, last }] of spans) {
				elapsedMs += other > term ? last - first : 0;
			}
			return elapsedMs;
		},
	};
}
