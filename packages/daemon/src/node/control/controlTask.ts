import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { ViewFreshness } from '@chestnutwheel/membership/common/viewFreshness.js';
import type { LogClient } from '@chestnutwheel/platform/common/logProtocol.js';
import type { Logger } from 'pino';
import type { PeerClient } from '../peers/peerClient.js';
import { runControlReader } from './controlReader.js';
import type { ControlState } from './controlState.js';
import { createPeerCatchUp } from './peerCatchUp.js';
import { runSnapshotWriter } from './snapshotWriter.js';

/** Keeps the accepted state of this daemon up to date, from the log or from peers. */
export interface ControlTask {
	/** Whether the daemon has reached the end of the stream once since its start. */
	isCaughtUp(): boolean;
	run(signal: AbortSignal): Promise<void>;
}

/** What the task needs. */
export interface ControlTaskOptions {
	readonly self: string;
	readonly log: LogClient;
	readonly state: ControlState;
	readonly client: PeerClient;
	readonly freshness: ViewFreshness;
	readonly clock: Clock;
	readonly random: SeededRandom;
	readonly counters: Counters;
	readonly logger: Logger;
	/** Addresses of peers from the settings, used before the accepted ones are known. */
	readonly settingsPeers: readonly string[];
	readonly retentionMs: number;
	readonly isSnapshotWriter: () => boolean;
}

/** Creates the task; it does nothing before `run`. */
export function createControlTask(options: ControlTaskOptions): ControlTask {
	const { self, client, clock, counters, freshness, state } = options;
	let caughtUp = false;
	let isAskingPeers = false;

	const addresses = (): string[] => {
		const accepted = Object.values(state.current().entryHosts).filter(entryHost => entryHost.name !== self);
		return [...new Set([...accepted.map(entryHost => entryHost.address), ...options.settingsPeers])];
	};

	const catchUp = createPeerCatchUp({ state, client, counters, addresses });

	/** Asks every peer for its view. @returns the highest offset among them; -1 when none answered */
	const askViews = async (): Promise<number> => {
		const offsets = await Promise.all(
			addresses().map(async address => {
				const sentAt = clock.now();
				const status = await client.call(address, 'control.status', {}).catch(() => undefined);
				if (status === undefined || status.entryHost === self) {
					return -1;
				}
				freshness.peerReported(status.entryHost, status.view, sentAt, clock.now());
				return status.view.configurationOffset;
			}),
		);
		return Math.max(-1, ...offsets);
	};

	const followPeers = async (): Promise<void> => {
		const highest = await askViews();
		if (highest > state.current().offset) {
			await catchUp.readRecords();
		}
		if (highest > state.current().offset) {
			await catchUp.readSnapshot();
		}
		freshness.folded(state.current().offset);
		caughtUp ||= highest >= 0 && state.current().offset >= highest;
	};

	const askPeers = async (): Promise<void> => {
		if (isAskingPeers) {
			return;
		}
		isAskingPeers = true;
		await followPeers().finally(() => {
			isAskingPeers = false;
		});
	};

	const onConfirmed = (offset: number, sentAt: number): void => {
		caughtUp ||= !state.isStopped();
		if (state.isStopped()) {
			freshness.readSucceeded();
			return;
		}
		freshness.readConfirmed(offset, sentAt);
	};

	return {
		isCaughtUp: () => caughtUp,
		run: async signal => {
			state.listen(change => freshness.folded(change.state.offset), signal);
			await Promise.all([
				runControlReader(
					{
						...options,
						onConfirmed,
						onUnreadable: () => {
							freshness.readFailed();
							void askPeers();
						},
						onGap: () => catchUp.readSnapshot(),
					},
					signal,
				),
				runSnapshotWriter({ ...options, isWriter: options.isSnapshotWriter }, signal),
			]);
		},
	};
}
