import { describe, expect, it } from 'vitest';
import { createCounters } from '@chestnutwheel/base/common/counters.js';
import { createSteppedClock } from '@chestnutwheel/base/common/clock.js';
import { errorKindOf } from '@chestnutwheel/base/common/kindError.js';
import type { PeerMethods } from '../common/peerProtocol.js';
import { createLeaderClient, type LeaderClient } from '../node/entry/leaderClient.js';
import type { LeaderTerm } from '../node/leader/leaderTerm.js';
import type { LeaderElection } from '../node/leadership/leaderElection.js';
import type { PlanCache } from '../node/plan/planCache.js';
import { idlePeerHandlers } from './idlePeerHandlers.js';

const submission: PeerMethods['job.submit']['parameters'] = {
	id: '00000000000000a1',
	queue: 'drafts',
	team: undefined,
	planVersion: 1,
	spec: { payload: '', steps: [], repeats: 0 } as unknown as PeerMethods['job.submit']['parameters']['spec'],
};

const CALLER_DEADLINE_MS = 3_000;

const planCache = { current: () => undefined } as Partial<PlanCache> as PlanCache;

/** A leader that holds its term but has not been able to read the journal for a second, and the clients of its followers. */
function createBlockedLeader() {
	const clock = createSteppedClock(10_000);
	const blockedSince = clock.now() - 1_000;
	let term: LeaderTerm | undefined;
	const successor = idlePeerHandlers({
		self: { entryHost: 'front-2' },
		whenTermBegun: () => Promise.resolve(term),
		blockedSince: () => (term === undefined ? blockedSince : undefined),
		clock,
	});

	/** Creates the client of a daemon. The first `unansweredCalls` of its calls go to a leader that is killed meanwhile. */
	const createClient = (unansweredCalls: number): LeaderClient => {
		let calls = 0;
		const connection = {
			call: async (method: 'job.submit', parameters: PeerMethods['job.submit']['parameters']) => {
				if (calls++ < unansweredCalls) {
					throw new Error('the connection was closed');
				}
				return successor[method](parameters, { peerName: 'front-1', peer: undefined });
			},
		};
		return createLeaderClient({
			election: {
				isLeading: false,
				leader: () => undefined,
				leaderConnection: () => connection,
			} as unknown as LeaderElection,
			handlers: () => successor,
			planCache,
			clock,
			counters: createCounters(),
		});
	};

	const submit = (client: LeaderClient): Promise<string> =>
		client.call('job.submit', submission, clock.now() + CALLER_DEADLINE_MS, new AbortController().signal).then(
			result => result.type,
			(error: unknown) => errorKindOf(error),
		);
	return {
		createClient,
		submit,
		readJournal: (begun: LeaderTerm) => {
			term = begun;
		},
	};
}

describe('a submission while the leader cannot read the journal', () => {
	// A refused job ran later: its leader had stored it and was killed before it answered, and its successor refused it.
	it('is not refused if an earlier leader may have stored the job', async () => {
		const { createClient, submit } = createBlockedLeader();
		expect(await submit(createClient(1))).toBe('peer-unreachable');
	});

	// The second daemon has sent the job to no other leader, and does not know that the first one has.
	it('is not refused if another daemon has sent the job to an earlier leader', async () => {
		const { createClient, submit } = createBlockedLeader();
		await submit(createClient(1));
		expect(await submit(createClient(0))).toBe('peer-unreachable');
	});

	it('is refused at once if no leader has received the job', async () => {
		const { createClient, submit } = createBlockedLeader();
		expect(await submit(createClient(0))).toBe('refused');
	});

	it('is decided by the journal once it is read', async () => {
		const { createClient, submit, readJournal } = createBlockedLeader();
		await submit(createClient(1));
		readJournal({
			engine: { plan: { version: 1 }, submit: () => ({ type: 'accepted', batch: 1 }) },
			flush: () => undefined,
			whenJobStored: () => Promise.resolve('stored'),
		} as unknown as LeaderTerm);
		expect(await submit(createClient(1))).toBe('accepted');
	});
});
