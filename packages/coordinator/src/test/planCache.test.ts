import { createCounters } from '@chestnutwheel/base/common/counters.js';
import { createSystemClock } from '@chestnutwheel/base/node/systemClock.js';
import type { FeedOutcome, OperatorEntry } from '@chestnutwheel/ports/common/feeds.js';
import { describe, expect, it } from 'vitest';
import { createPlanCache } from '../node/plan/planCache.js';

/** Time within which a plan must take effect after the store accepted it; stated by the platform. */
const IN_FORCE_MS = 2_000;

describe('the plan cache', () => {
	it('reads again early enough for a plan to take effect in time, even when one read is never answered', async () => {
		const waits: number[] = [];
		const stop = new AbortController();
		const empty: FeedOutcome<OperatorEntry> = { type: 'changes', end: 0, changes: [] };
		const planCache = createPlanCache(
			{
				snapshot: () => Promise.resolve(empty),
				changes: (_from, waitMs) => {
					waits.push(waitMs);
					if (waits.length === 3) {
						stop.abort();
					}
					return Promise.resolve(empty);
				},
			},
			createSystemClock(),
			createCounters(),
			() => undefined,
		);
		await planCache.run(stop.signal);
		expect(Math.max(...waits)).toBeLessThan(IN_FORCE_MS / 2);
	});
});
