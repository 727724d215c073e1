import { describe, expect, it } from 'vitest';
import { createCounters } from '@chestnutwheel/base/common/counters.js';
import type { WorkerFeed } from '@chestnutwheel/ports/common/feeds.js';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import type { LeaderIdentity } from '../common/peerProtocol.js';
import { createPeerHandlers } from '../node/entry/peerHandlers.js';
import type { LeaderElection } from '../node/leadership/leaderElection.js';
import type { PlanCache } from '../node/plan/planCache.js';

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
		const handlers = createPeerHandlers({
			self: { entryHost: 'front-1' },
			election,
			status: () => ({ canLead: true, uptimeMs: 0 }),
			whenTermBegun: () => Promise.resolve(undefined),
			blockedSince: () => undefined,
			planCache: {} as PlanCache,
			log: {} as LogService,
			workerFeed: {} as WorkerFeed,
			workerCalls: { execute: () => undefined, run: () => Promise.resolve() },
			workerRelay: { handleOutcomes: () => undefined },
			signal: new AbortController().signal,
			isStoreReachable: () => Promise.resolve(true),
			clock: { now: () => 0, wallNow: () => 0 },
			counters: createCounters(),
		});
		const answer = handlers['peer.hello']({ entryHost: 'front-2' }, { peerName: undefined, peer: undefined });
		isLeading = true;
		decide();
		expect(await answer).toEqual({ entryHost: 'front-1', leader: identity });
	});
});
