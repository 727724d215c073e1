import { describe, expect, it } from 'vitest';
import { isRejectedByStore } from '../common/storeHealth.js';

describe('a leader whose calls to the store fail', () => {
	it('considers itself rejected when the store has answered no call for the suspicion time', () => {
		expect(isRejectedByStore({ failingSince: 1_000, confirmedAt: 900, now: 1_400 })).toBe(false);
		expect(isRejectedByStore({ failingSince: 1_000, confirmedAt: 900, now: 1_501 })).toBe(true);
	});

	it('continues while the store is slow but answers other calls', () => {
		expect(isRejectedByStore({ failingSince: 1_000, confirmedAt: 1_200, now: 2_000 })).toBe(false);
		expect(isRejectedByStore({ failingSince: undefined, confirmedAt: 0, now: 9_000 })).toBe(false);
	});
});
