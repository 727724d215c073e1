import { describe, expect, it } from 'vitest';
import { createTermProof } from '../common/termProof.js';

describe('the proof of a term of a process that was paused', () => {
	it.each([
		['both clocks go on', 6_000, 6_000],
		['the monotonic clock stands still', 0, 6_000],
		['the wall clock is set back meanwhile', 6_000, -2_000],
	])('is old when %s', (_case, monotonicMs, wallMs) => {
		let now = 1_000;
		let wallNow = 50_000;
		const proof = createTermProof({ now: () => now, wallNow: () => wallNow });
		expect(proof.ageMs()).toBe(0);
		now += monotonicMs;
		wallNow += wallMs;
		expect(proof.ageMs()).toBe(6_000);
	});

	it('counts from the time at which an append was sent, and an earlier append does not renew it', () => {
		let now = 1_000;
		const proof = createTermProof({ now: () => now, wallNow: () => now });
		const first = proof.sendTime();
		now += 100;
		const second = proof.sendTime();
		now += 4_000;
		proof.confirm(second);
		proof.confirm(first);
		expect(proof.ageMs()).toBe(4_000);
		expect(proof.confirmedAt).toBe(1_100);
	});
});

describe('the confirmation of a term', () => {
	const createProof = () => {
		let now = 1_000;
		const proof = createTermProof({ now: () => now, wallNow: () => now });
		return {
			proof,
			advance: (milliseconds: number) => {
				now += milliseconds;
			},
			now: () => now,
		};
	};

	it('serves all waiters whose calls came before it was sent', async () => {
		const { proof, advance, now } = createProof();
		const { signal } = new AbortController();
		advance(10);
		const first = proof.whenConfirmed(now(), signal);
		advance(10);
		const second = proof.whenConfirmed(now(), signal);
		const sentAt = proof.sendTime();
		advance(10);
		void proof.whenConfirmed(now(), signal);
		proof.confirm(sentAt);
		expect(await Promise.all([first, second])).toEqual([true, true]);
		expect(proof.neededSince).toBe(1_030);
	});

	it('is given up when the term ends', async () => {
		const { proof, advance, now } = createProof();
		const term = new AbortController();
		advance(10);
		const waiting = proof.whenConfirmed(now(), term.signal);
		term.abort();
		expect(await waiting).toBe(false);
		expect(proof.neededSince).toBeUndefined();
	});

	it('is reported as needed when the first waiter comes', async () => {
		const { proof, advance, now } = createProof();
		const { signal } = new AbortController();
		let isNeeded = false;
		const needed = proof.whenNeeded(signal).then(() => (isNeeded = true));
		await Promise.resolve();
		expect(isNeeded).toBe(false);
		advance(10);
		void proof.whenConfirmed(now(), signal);
		expect(await needed).toBe(true);
	});
});
