import { createCounters } from '@chestnutwheel/base/common/counters.js';
import type { WorkerFeed } from '@chestnutwheel/ports/common/feeds.js';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import type { PeerHandlers } from '../common/peerProtocol.js';
import { createPeerHandlers, type PeerHandlersOptions } from '../node/entry/peerHandlers.js';
import type { LeaderElection } from '../node/leadership/leaderElection.js';
import type { PlanCache } from '../node/plan/planCache.js';

/** Creates the handlers of a daemon that does not lead, knows no plan and does nothing, changed as the test requires. */
export function idlePeerHandlers(changes: Partial<PeerHandlersOptions>): PeerHandlers {
	return createPeerHandlers({
		self: { entryHost: 'front-1' },
		election: { leader: () => undefined } as Partial<LeaderElection> as LeaderElection,
		status: () => ({ canLead: true, uptimeMs: 0 }),
		whenTermBegun: () => Promise.resolve(undefined),
		blockedSince: () => undefined,
		planCache: { current: () => undefined } as Partial<PlanCache> as PlanCache,
		log: {} as LogService,
		workerFeed: {} as WorkerFeed,
		workerCalls: { execute: () => undefined, run: () => Promise.resolve() },
		workerRelay: { handleOutcomes: () => undefined },
		signal: new AbortController().signal,
		isStoreReachable: () => Promise.resolve(true),
		clock: { now: () => 0, wallNow: () => 0 },
		counters: createCounters(),
		...changes,
	});
}
