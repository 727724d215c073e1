import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { DecisionLogger } from '@chestnutwheel/engine/common/engineMessages.js';
import type { PeerMethod, PeerMethods } from '../../common/peerProtocol.js';
import type { PeerConnection } from '../peers/peerConnection.js';
import type { PeerNetwork } from '../peers/peerNetwork.js';

/** Interval between two attempts to reach the store directly while calls are relayed. */
const PROBE_INTERVAL_MS = 400;

/** Methods that a follower carries out at the store for the leader. */
export type RelayMethod = Extract<PeerMethod, `store.${string}` | `feed.${string}`>;

/** Result of a relayed call. `unreachable`: no follower answered, and the call may or may not have reached the store. */
export type RelayResult<Method extends RelayMethod> =
	| { readonly type: 'answered'; readonly result: PeerMethods[Method]['result'] }
	| { readonly type: 'unreachable' }
	| { readonly type: 'no-relay' };

/**
 * Path of a leader to the store. When the store rejects the leader alone, its followers carry out its calls, so that the
 * leader need not hand over: a new leader would read the journal and ask every worker before it starts anything.
 */
export interface StoreRelay {
	/** Whether calls go to the store directly. */
	readonly isDirect: boolean;
	/** Records that the store did not serve a direct call. Calls are relayed until a probe is served. */
	directCallFailed(): void;
	/** Calls a follower. Another follower serves the next call if this one does not. */
	call<Method extends RelayMethod>(
		method: Method,
		parameters: PeerMethods[Method]['parameters'],
		timeoutMs: number,
	): Promise<RelayResult<Method>>;
	/** Records whether the store served the last relayed call; another follower is used next if it did not. */
	relayServed(isServed: boolean): void;
}

/** Options of {@link createStoreRelay}. */
export interface StoreRelayOptions {
	readonly network: Pick<PeerNetwork, 'incoming'>;
	/** Returns whether the store serves this daemon. */
	readonly probe: (signal: AbortSignal) => Promise<boolean>;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly logDecision: DecisionLogger;
}

/** Creates a relay that begins with direct calls. */
export function createStoreRelay(options: StoreRelayOptions, signal: AbortSignal): StoreRelay {
	const { network, probe, clock, counters, logDecision } = options;
	let relayedSince: number | undefined;
	/** Whether a follower has been served since direct calls fail. It is not while the store serves no daemon at all. */
	let hasRelayed = false;
	let relay: PeerConnection | undefined;
	let turn = 0;

	const chooseRelay = (): PeerConnection | undefined => {
		if (relay?.isOpen !== true) {
			const followers = network.incoming();
			turn++;
			relay = followers[turn % Math.max(1, followers.length)];
		}
		return relay;
	};

	const probeUntilServed = async (since: number): Promise<void> => {
		while (!signal.aborted) {
			await delay(PROBE_INTERVAL_MS, signal);
			if (await probe(signal)) {
				relayedSince = undefined;
				if (hasRelayed) {
					logDecision('store-direct', { relayedForMs: Math.round(clock.now() - since) });
				}
				return;
			}
		}
	};

	return {
		get isDirect() {
			return relayedSince === undefined;
		},
		directCallFailed: () => {
			if (relayedSince === undefined) {
				relayedSince = clock.now();
				hasRelayed = false;
				void probeUntilServed(relayedSince);
			}
		},
		call: async (method, parameters, timeoutMs) => {
			const connection = chooseRelay();
			if (connection === undefined) {
				return { type: 'no-relay' };
			}
			counters.add('store_calls_relayed_total', { method });
			try {
				return { type: 'answered', result: await connection.call(method, parameters, timeoutMs) };
			} catch {
				relay = undefined;
				return { type: 'unreachable' };
			}
		},
		relayServed: isServed => {
			if (!isServed) {
				relay = undefined;
			} else if (!hasRelayed) {
				hasRelayed = true;
				logDecision('store-relayed', { by: relay?.session.peerName, followers: network.incoming().length });
			}
		},
	};
}
