import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { parseSnapshot } from '@chestnutwheel/configuration/common/snapshot.js';
import type { PeerClient } from '../peers/peerClient.js';
import type { ControlState } from './controlState.js';

/** Reads the control stream from peers when this daemon cannot read it itself. */
export interface PeerCatchUp {
	/** Asks the peers in turn for the records after the current offset. */
	readRecords(): Promise<void>;
	/** Asks the peers in turn for their whole state, when records in between have expired. */
	readSnapshot(): Promise<void>;
}

/** What the catch-up needs. */
export interface PeerCatchUpOptions {
	readonly state: ControlState;
	readonly client: PeerClient;
	readonly counters: Counters;
	/** Addresses of the other daemons, from the settings and the accepted configuration. */
	readonly addresses: () => readonly string[];
}

/** Creates the catch-up. */
export function createPeerCatchUp({ state, client, counters, addresses }: PeerCatchUpOptions): PeerCatchUp {
	const askEach = async (ask: (address: string) => Promise<boolean>): Promise<void> => {
		for (const address of addresses()) {
			const isDone = await ask(address).catch(() => false);
			if (isDone) {
				counters.add('control_catch_ups_total');
				return;
			}
		}
	};

	return {
		readRecords: () =>
			askEach(async address => {
				const from = state.current().offset + 1;
				const { records } = await client.call(address, 'control.read', { from });
				// Without the record that follows, the peer's buffer has a gap and folding would skip records.
				if (records[0]?.offset !== from) {
					return false;
				}
				state.apply(records);
				return true;
			}),
		readSnapshot: () =>
			askEach(async address => {
				const answer = await client.call(address, 'control.snapshot', {});
				const snapshot = parseSnapshot(answer.snapshot ?? '');
				if (snapshot === undefined || snapshot.offset <= state.current().offset) {
					return false;
				}
				state.adopt(snapshot);
				return true;
			}),
	};
}
