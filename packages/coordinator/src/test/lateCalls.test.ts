import { describe, expect, it } from 'vitest';
import { createCounters } from '@chestnutwheel/base/common/counters.js';
import { createSteppedClock } from '@chestnutwheel/base/common/clock.js';
import { errorKindOf } from '@chestnutwheel/base/common/kindError.js';
import type { SubmitDecision } from '@chestnutwheel/engine/common/engineMessages.js';
import type { LeaderIdentity, PeerMethods } from '../common/peerProtocol.js';
import { createLeaderClient } from '../node/entry/leaderClient.js';
import type { LeaderTerm } from '../node/leader/leaderTerm.js';
import type { LeaderElection } from '../node/leadership/leaderElection.js';
import type { PlanCache } from '../node/plan/planCache.js';
import { idlePeerHandlers } from './idlePeerHandlers.js';

type Submission = PeerMethods['job.submit']['parameters'];

const submission = {
	id: '00000000000000a1',
	queue: 'drafts',
	team: undefined,
	planVersion: 1,
	spec: { payload: '', steps: [], repeats: 0 },
} as unknown as Submission;

const identity: LeaderIdentity = { term: 7, entryHost: 'front-1', address: '10.0.0.1:7000' };

const refused: SubmitDecision = {
	type: 'refused',
	kind: 'overloaded',
	reason: 'the backlog is too long',
	retryAfterMs: 0,
};
const accepted: SubmitDecision = { type: 'accepted', batch: 1 };

describe('a submission whose first call reaches the leader after the second', () => {
	// The client was answered 429, and the job ran: its first call waited in the closed connection to the same leader.
	it('is not refused if the leader may still accept the job', async () => {
		const clock = createSteppedClock(10_000);
		const decisions = [refused, accepted];
		const acceptedJobs: string[] = [];
		const term = {
			identity,
			proof: { ageMs: () => 0 },
			engine: {
				plan: { version: 1 },
				submit: ({ id }: Submission) => {
					const decision = decisions.shift() ?? accepted;
					if (decision.type === 'accepted') {
						acceptedJobs.push(id);
					}
					return decision;
				},
			},
			flush: () => undefined,
			whenConfirmed: () => Promise.resolve('confirmed'),
			whenJobStored: () => Promise.resolve('stored'),
		} as unknown as LeaderTerm;
		const leader = idlePeerHandlers({ whenTermBegun: () => Promise.resolve(term), clock });
		const session = { peerName: 'front-2', peer: undefined };
		const delivered: (() => unknown)[] = [];
		const connection = {
			call: (method: 'job.submit', parameters: Submission) => {
				if (delivered.length === 0) {
					delivered.push(() => leader[method](parameters, session));
					return Promise.reject(new Error('the connection was closed'));
				}
				return leader[method](parameters, session);
			},
		};
		const client = createLeaderClient({
			election: {
				isLeading: false,
				leader: () => identity,
				leaderConnection: () => connection,
			} as unknown as LeaderElection,
			handlers: () => leader,
			planCache: { current: () => undefined } as Partial<PlanCache> as PlanCache,
			clock,
			counters: createCounters(),
		});
		const answer = await client.call('job.submit', submission, clock.now() + 3_000, new AbortController().signal).then(
			result => result.type,
			(error: unknown) => errorKindOf(error),
		);
		await Promise.all(delivered.map(deliver => deliver()));
		// Either the caller learns that the outcome is unknown, or the leader does not accept the late call.
		expect({ isRefused: answer === 'refused', accepted: acceptedJobs }).not.toEqual({
			isRefused: true,
			accepted: [submission.id],
		});
	});

	// A successor has fenced off the journal of the leader that did not answer, so that its refusal is final.
	it('is refused if a later leader refuses it', async () => {
		const clock = createSteppedClock(10_000);
		let leader: LeaderIdentity = identity;
		const connection = {
			call: () => {
				if (leader === identity) {
					leader = { ...identity, term: 8 };
					return Promise.reject(new Error('the connection was closed'));
				}
				return Promise.resolve({ ...refused, decidedBy: { leader: 'front-1', term: 8, proofAgeMs: 0 } });
			},
		};
		const client = createLeaderClient({
			election: {
				isLeading: false,
				leader: () => leader,
				leaderConnection: () => connection,
			} as unknown as LeaderElection,
			handlers: () => idlePeerHandlers({}),
			planCache: { current: () => undefined } as Partial<PlanCache> as PlanCache,
			clock,
			counters: createCounters(),
		});
		const { type } = await client.call('job.submit', submission, clock.now() + 3_000, new AbortController().signal);
		expect(type).toBe('refused');
	});
});
