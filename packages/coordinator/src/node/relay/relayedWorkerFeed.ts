import type { FeedOutcome, WorkerFeed } from '@chestnutwheel/ports/common/feeds.js';
import type { WorkerEntry } from '@chestnutwheel/ports/common/workerService.js';
import type { StoreRelay } from './storeRelay.js';

const TIMEOUT_MS = 1_500;

/** Creates a worker feed whose reads go through a follower while the store does not serve this daemon. */
export function createRelayedWorkerFeed(feed: WorkerFeed, relay: StoreRelay): WorkerFeed {
	const relayRead = async (from: number | undefined): Promise<FeedOutcome<WorkerEntry>> => {
		const answer = await relay.call('feed.workers', { from }, TIMEOUT_MS);
		if (answer.type !== 'answered') {
			return { type: 'failed', reason: 'no follower relayed the read' };
		}
		relay.relayServed(answer.result.outcome.type !== 'failed');
		return answer.result.outcome;
	};

	const readOrRelay = async (
		read: () => Promise<FeedOutcome<WorkerEntry>>,
		from: number | undefined,
		signal: AbortSignal,
	): Promise<FeedOutcome<WorkerEntry>> => {
		if (relay.isDirect) {
			const direct = await read();
			if (direct.type !== 'failed' || signal.aborted) {
				return direct;
			}
			relay.directCallFailed();
		}
		return relayRead(from);
	};

	return {
		snapshot: signal => readOrRelay(() => feed.snapshot(signal), undefined, signal),
		changes: (from, waitMs, signal) => readOrRelay(() => feed.changes(from, waitMs, signal), from, signal),
	};
}
