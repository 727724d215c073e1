import { describe, expect, it } from 'vitest';
import { isLastChance } from '../common/lastChance.js';

const RETRY_AFTER_MS = 1_000;
const CALLER_WAITS_MS = 3_000;

/** Plays one caller against a store that is away for a time. @returns the time at which its job is accepted */
function playCaller(awayMs: number, sentAt: number): number | undefined {
	const deadline = sentAt + CALLER_WAITS_MS;
	for (let now = sentAt; now < deadline;) {
		if (now >= awayMs) {
			return now;
		}
		now += isLastChance('log-unavailable', RETRY_AFTER_MS, deadline - now) ? 50 : RETRY_AFTER_MS;
	}
	return undefined;
}

describe('callers that wait three seconds, while the store is away for about as long', () => {
	it('are all served once the store returns before their time is up', () => {
		const awayMs = 2_900;
		for (let sentAt = 0; sentAt < awayMs; sentAt += 70) {
			expect(playCaller(awayMs, sentAt), `sent at ${sentAt}`).toBeDefined();
		}
	});

	it('are refused at once while they can return, and when a repeat would change nothing', () => {
		expect(isLastChance('log-unavailable', RETRY_AFTER_MS, 2_000)).toBe(false);
		expect(isLastChance('log-unavailable', RETRY_AFTER_MS, 900)).toBe(true);
		expect(isLastChance('overloaded', RETRY_AFTER_MS, 900)).toBe(false);
	});
});
