import type { CancelDecision } from '@chestnutwheel/engine/common/engineMessages.js';
import { describe, expect, it, vi } from 'vitest';
import type { LeaderTerm } from '../node/leader/leaderTerm.js';
import { idlePeerHandlers } from './idlePeerHandlers.js';

/** Cancels a job on a leader whose journal stores no batch until the test says so. */
function cancelOnLeader(decision: CancelDecision) {
	let store: () => void = () => undefined;
	let endTerm: () => void = () => undefined;
	const flush = vi.fn();
	const waitedFor: number[] = [];
	const term = {
		identity: { term: 1, entryHost: 'front-1', address: '10.0.0.1:7000' },
		proof: { ageMs: () => 0 },
		engine: { cancel: () => decision } as Partial<LeaderTerm['engine']> as LeaderTerm['engine'],
		flush,
		whenStored: batch => {
			waitedFor.push(batch);
			return new Promise((resolve, reject) => {
				store = resolve;
				endTerm = () => reject(new Error('the term has ended'));
			});
		},
	} as Partial<LeaderTerm> as LeaderTerm;
	const handlers = idlePeerHandlers({ whenTermBegun: () => Promise.resolve(term) });
	const answer = vi.fn();
	const failure = vi.fn();
	const call = handlers['job.cancel'](
		{ id: '0000000000000001', team: undefined },
		{ peerName: undefined, peer: undefined },
	);
	const settled = Promise.resolve(call).then(answer, failure);
	return { answer, failure, flush, waitedFor, settled, store: () => store(), endTerm: () => endTerm() };
}

const turnOfEventLoop = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

// A leader that had been replaced without knowing it acknowledged the cancel of a job that its successor had accepted.
describe.each<CancelDecision>([
	{ type: 'unknown-job', batch: 7 },
	{ type: 'cancelled', batch: 7 },
])('a cancel that the leader decides as $type', decision => {
	it('is answered once its batch is stored', async () => {
		const { answer, flush, waitedFor, settled, store } = cancelOnLeader(decision);
		await turnOfEventLoop();
		expect(flush).toHaveBeenCalled();
		expect(waitedFor).toEqual([7]);
		expect(answer).not.toHaveBeenCalled();
		store();
		await settled;
		expect(answer).toHaveBeenCalledWith(expect.objectContaining(decision));
	});

	it('is never answered if the term ends before', async () => {
		const { answer, failure, settled, endTerm } = cancelOnLeader(decision);
		await turnOfEventLoop();
		endTerm();
		await settled;
		expect(answer).not.toHaveBeenCalled();
		expect(failure).toHaveBeenCalled();
	});
});
