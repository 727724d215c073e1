import { describe, expect, it } from 'vitest';
import type { LeaderIdentity } from '../common/peerProtocol.js';
import type { LeaderElection } from '../node/leadership/leaderElection.js';
import { idlePeerHandlers } from './idlePeerHandlers.js';

const identity: LeaderIdentity = { term: 5, entryHost: 'front-1', address: '10.0.0.1:7000' };

describe('a daemon whose candidacy record is still being written to the store', () => {
	it('answers hello only after the write is decided, and then reports that it leads', async () => {
		let isLeading = false;
		let decide: () => void = () => undefined;
		const decided = new Promise<void>(resolve => {
			decide = resolve;
		});
		const election = {
			leader: () => identity,
			whenCandidacyDecided: () => decided,
			get isLeading() {
				return isLeading;
			},
		} as Partial<LeaderElection> as LeaderElection;
		const handlers = idlePeerHandlers({ election });
		const answer = handlers['peer.hello']({ entryHost: 'front-2' }, { peerName: undefined, peer: undefined });
		isLeading = true;
		decide();
		expect(await answer).toEqual({ entryHost: 'front-1', leader: identity });
	});
});
