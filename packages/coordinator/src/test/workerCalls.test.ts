import { describe, expect, it } from 'vitest';
import type { PollOutcome } from '@chestnutwheel/ports/common/workerService.js';
import { decodeOutcome, encodeOutcome } from '../common/workerCalls.js';

const listed = (mayHaveMoreEnds: boolean): PollOutcome => ({
	type: 'listed',
	listing: {
		incarnation: 1,
		clockMs: 5,
		running: [],
		ended: [{ index: 1, task: 'a.0.0.0', run: 1, end: 'done', checkpoint: '' }],
		mayHaveMoreEnds,
	},
});

/** The outcome as daemons of earlier versions encode it. */
function withoutMark(outcome: PollOutcome): unknown {
	const encoded = encodeOutcome(outcome);
	return encoded.type === 'listed'
		? { ...encoded, listing: { ...encoded.listing, mayHaveMoreEnds: undefined } }
		: encoded;
}

// A list that is cut off and passes for complete has ended tasks started again.
describe('a list of ends that a follower relays', () => {
	it('remains cut off or complete', () => {
		for (const outcome of [listed(true), listed(false)]) {
			expect(decodeOutcome('poll', JSON.parse(JSON.stringify(encodeOutcome(outcome))))).toEqual(outcome);
		}
	});

	it('is taken for cut off if a daemon of an earlier version does not say', () => {
		expect(decodeOutcome('poll', withoutMark(listed(false)))).toEqual(listed(true));
	});
});
