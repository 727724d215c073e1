import { createCounters } from '@chestnutwheel/base/common/counters.js';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import type { PeerMethods } from '../common/peerProtocol.js';
import { decodeBytes, encodeReadOutcome } from '../common/relayCodec.js';
import type { PeerConnection } from '../node/peers/peerConnection.js';
import { createRelayedLog } from '../node/relay/relayedLog.js';
import { createStoreRelay } from '../node/relay/storeRelay.js';
import type { CallMood, JournalStore } from './journalStore.js';
import type { VirtualTime } from './virtualTime.js';

/** Creates the log of a leader that has one follower, which relays calls that the store does not serve directly. */
export function createLeaderLog(
	time: VirtualTime,
	store: JournalStore,
	direct: () => CallMood,
	relayed: () => CallMood,
	signal: AbortSignal,
): LogService {
	// On this path the answer is lost between the daemons, after the store has answered the follower.
	const isAnswerLost = (): boolean => relayed() === 'act-and-lose';
	const followerLog = store.createPath(() => (isAnswerLost() ? 'serve' : relayed()));
	const handlers = {
		'store.append': async ({ topic, records, conditions }: PeerMethods['store.append']['parameters']) => ({
			outcome: await followerLog.append(topic, records.map(decodeBytes), conditions, signal),
		}),
		'store.read': async ({ topic, from, waitMs }: PeerMethods['store.read']['parameters']) => ({
			outcome: encodeReadOutcome(await followerLog.read(topic, from, waitMs, signal)),
		}),
	};
	const follower = {
		isOpen: true,
		session: { peerName: 'follower', peer: undefined },
		call: async (method: keyof typeof handlers, parameters: unknown, timeoutMs: number) => {
			const answer = (handlers[method] as (parameters: unknown) => Promise<unknown>)(parameters);
			const timeout = time.sleep(timeoutMs).then(() => {
				throw new Error('no answer in time');
			});
			return await Promise.race(isAnswerLost() ? [timeout] : [answer, timeout]);
		},
	} as unknown as PeerConnection;
	const relay = createStoreRelay(
		{
			network: { incoming: () => [follower] },
			probe: () => Promise.resolve(direct() === 'serve'),
			clock: time.clock,
			counters: createCounters(),
			logDecision: () => undefined,
		},
		signal,
	);
	return createRelayedLog(store.createPath(direct), relay);
}
