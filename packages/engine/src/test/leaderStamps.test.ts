import { describe, expect, it } from 'vitest';
import type { AcceptedJob, JournalEvent } from '../common/jobs/journalEvent.js';
import { createLeaderStamps, type LeaderStamps } from '../common/hosts/leaderStamps.js';

const term = (number: number): JournalEvent => ({ type: 'term', term: number, holder: 'a', leaseMs: 1, validMs: 1 });
const accepted = (acceptedAt: number): JournalEvent => ({ type: 'accepted', job: { acceptedAt } as AcceptedJob });

const stampsOf = (...events: readonly JournalEvent[]): LeaderStamps => {
	const stamps = createLeaderStamps();
	events.forEach(event => stamps.read(event));
	return stamps;
};

describe('the stamps of earlier leaders', () => {
	it('compare the stamps of one leader, and add the spans of later ones whatever their clocks', () => {
		const stamps = stampsOf(term(3), accepted(1_000), accepted(1_700), term(5), accepted(900_000), accepted(900_250));
		expect(stamps.elapsedSince(5, 900_100)).toBe(150);
		expect(stamps.elapsedSince(3, 1_100)).toBe(600 + 250);
		expect(stamps.elapsedSince(2, 5_000_000)).toBe(700 + 250);
	});

	it('ignore a stamp that a leader repeats of an earlier one, and a stamp that is newer than the last record', () => {
		const repeated: JournalEvent = { type: 'host-accepted', host: 'h', acceptance: {}, last: ['h', 3, 1_000] };
		const stamps = stampsOf(term(5), accepted(50_000), repeated);
		expect(stamps.elapsedSince(5, 50_000)).toBe(0);
		expect(stamps.elapsedSince(5, 60_000)).toBe(0);
		expect(stamps.elapsedSince(9, 1_000)).toBe(0);
	});
});
