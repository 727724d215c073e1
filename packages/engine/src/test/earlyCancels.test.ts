import { createCounters } from '@chestnutwheel/base/common/counters.js';
import { describe, expect, it } from 'vitest';
import { createEarlyCancels } from '../common/jobs/earlyCancels.js';

const MINUTE_MS = 60_000;

describe('the table of early cancels', () => {
	const LIMIT = 10_000;

	it('drops the oldest above its limit, and counts it', () => {
		const counters = createCounters();
		const cancels = createEarlyCancels(counters);
		for (let number = 0; number <= LIMIT; number++) {
			cancels.add([[String(number), '', MINUTE_MS]], 1_000);
		}
		expect(cancels.size).toBe(LIMIT);
		expect(cancels.has('0', undefined, 1_000)).toBe(false);
		expect(cancels.has('1', undefined, 1_000)).toBe(true);
		expect(counters.value('early_cancels_dropped_total')).toBe(1);
	});

	it('keeps the later of two deadlines, and drops cancels that have expired without counting them', () => {
		const counters = createCounters();
		const cancels = createEarlyCancels(counters);
		cancels.add([['a', '', MINUTE_MS]], 1_000);
		cancels.add([['a', '', 500]], 1_000);
		expect(cancels.has('a', undefined, 1_000 + MINUTE_MS - 1)).toBe(true);
		expect(cancels.has('a', undefined, 1_000 + MINUTE_MS)).toBe(false);
		expect(cancels.current(1_000)).toEqual([['a', '', MINUTE_MS]]);
		cancels.removeExpired(1_000 + MINUTE_MS);
		expect(cancels.size).toBe(0);
		expect(counters.value('early_cancels_dropped_total')).toBe(0);
	});
});
