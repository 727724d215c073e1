import { describe, expect, it, vi } from 'vitest';
import { createSteppedClock } from '@chestnutwheel/base/common/clock.js';
import type { SubmitRefusal } from '@chestnutwheel/engine/common/engineMessages.js';
import { createTermProof } from '../common/termProof.js';
import type { PeerMethods, PeerSession } from '../common/peerProtocol.js';
import type { LeaderTerm } from '../node/leader/leaderTerm.js';
import type { LeaderElection } from '../node/leadership/leaderElection.js';
import { idlePeerHandlers } from './idlePeerHandlers.js';

const session: PeerSession = { peerName: 'front-2', peer: undefined };
const job = { id: '00000000000000d4', team: undefined };
const submission = { ...job, queue: 'drafts', planVersion: 1 } as unknown as PeerMethods['job.submit']['parameters'];

/** A leader that has replayed its journal, knows no job and refuses those that are submitted. */
function createLeader(refusal: SubmitRefusal = 'overloaded') {
	const clock = createSteppedClock(10_000);
	const proof = createTermProof(clock);
	const end = new AbortController();
	const knownJobs = new Set<string>();
	const term = {
		engine: {
			plan: { version: 1 },
			submit: () => ({ type: 'refused', kind: refusal, reason: '', retryAfterMs: 0 }),
			state: (id: string) => (knownJobs.has(id) ? { type: 'state', state: 'queued' } : { type: 'unknown-job' }),
			pendingCount: () => 3,
		},
		flush: () => undefined,
		whenConfirmed: async (since: number) => {
			const isConfirmed = await proof.whenConfirmed(since, end.signal);
			return isConfirmed ? 'confirmed' : 'ended';
		},
		identity: { term: 1, entryHost: 'front-1', address: '10.0.0.1:7000' },
		proof,
	} as unknown as LeaderTerm;
	const handlers = idlePeerHandlers({
		whenTermBegun: () => Promise.resolve(term),
		election: { leader: () => undefined } as Partial<LeaderElection> as LeaderElection,
		clock,
	});
	const calls = {
		'job.state': () => handlers['job.state'](job, session),
		'job.submit': () => handlers['job.submit'](submission, session),
		'queue.pending': () => handlers['queue.pending']({ queue: 'drafts' }, session),
	};
	return { clock, proof, calls, knownJobs, endTerm: () => end.abort() };
}

/** Starts a call. @returns its result, once there is one */
async function start(call: () => unknown): Promise<{ readonly answer: ReturnType<typeof vi.fn> }> {
	const answer = vi.fn();
	void Promise.resolve(call()).then(answer);
	await settle();
	return { answer };
}

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

const finalAnswers = [
	['job.state', 'unknown-job'],
	['job.submit', 'refused'],
] as const;

// A leader that had been frozen answered before it noticed its successor, which had accepted the job and went on with it.
describe.each(finalAnswers)('the answer of a leader to %s that is %s', (method, type) => {
	it('is not given on a confirmation of the term from before the call', async () => {
		const { clock, proof, calls } = createLeader();
		const sentAt = proof.sendTime();
		clock.advance(5);
		const { answer } = await start(calls[method]);
		proof.confirm(sentAt);
		await settle();
		expect(answer).not.toHaveBeenCalled();
		proof.confirm(proof.sendTime());
		await settle();
		expect(answer).toHaveBeenCalledWith(expect.objectContaining({ type }));
	});

	it('is left to the successor when the term has ended', async () => {
		const { clock, calls, endTerm } = createLeader();
		clock.advance(5);
		const { answer } = await start(calls[method]);
		endTerm();
		await settle();
		expect(answer).toHaveBeenCalledWith(expect.objectContaining({ type: 'not-leading' }));
	});
});

describe('the answer of a leader', () => {
	it('names the state of a job that has been stored while the answer waited', async () => {
		const { clock, proof, calls, knownJobs } = createLeader();
		clock.advance(5);
		const { answer } = await start(calls['job.state']);
		knownJobs.add(job.id);
		proof.confirm(proof.sendTime());
		await settle();
		expect(answer).toHaveBeenCalledWith({ type: 'state', state: 'queued' });
	});

	it('to a submission that the store does not serve is given at once', async () => {
		const { clock, calls } = createLeader('log-unavailable');
		clock.advance(5);
		const { answer } = await start(calls['job.submit']);
		expect(answer).toHaveBeenCalledWith(expect.objectContaining({ type: 'refused', kind: 'log-unavailable' }));
	});

	it('with a count of jobs rests on a confirmation of the last two seconds', async () => {
		const { clock, proof, calls } = createLeader();
		clock.advance(2_000);
		expect((await start(calls['queue.pending'])).answer).toHaveBeenCalledWith({ type: 'pending', pending: 3 });
		clock.advance(1);
		const { answer } = await start(calls['queue.pending']);
		expect(answer).not.toHaveBeenCalled();
		proof.confirm(proof.sendTime());
		await settle();
		expect(answer).toHaveBeenCalledWith({ type: 'pending', pending: 3 });
	});
});
