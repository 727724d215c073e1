import { describe, expect, it } from 'vitest';
import { createCounters } from '@chestnutwheel/base/common/counters.js';
import { createUncertainSubmissions } from '../common/uncertainSubmissions.js';

const LIMIT = 10_000;
const MINUTE_MS = 60_000;

describe('the jobs that an earlier leader did not answer for', () => {
	it('are forgotten after a minute', () => {
		const submissions = createUncertainSubmissions(createCounters());
		submissions.add('a', 1_000);
		expect(submissions.has('a', 1_000 + MINUTE_MS - 1)).toBe(true);
		expect(submissions.has('a', 1_000 + MINUTE_MS)).toBe(false);
	});

	it('are remembered up to a limit, from which on the oldest are forgotten and counted', () => {
		const counters = createCounters();
		const submissions = createUncertainSubmissions(counters);
		for (let job = 0; job <= LIMIT; job++) {
			submissions.add(String(job), 1_000);
		}
		expect(submissions.has('0', 1_000)).toBe(false);
		expect(submissions.has('1', 1_000)).toBe(true);
		expect(counters.value('uncertain_submissions_dropped_total')).toBe(1);
	});
});
