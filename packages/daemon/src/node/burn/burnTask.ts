import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { BurnAnswer } from '@chestnutwheel/configuration/common/operatorProtocol.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { BurnPart } from '../../common/peerProtocol.js';
import type { RequestEnded } from '../entry/callerService.js';

/** Records ended requests for the report on service-level burn. */
export interface BurnTask {
	record(ended: RequestEnded): void;
	/** This daemon's part of the report. */
	part(): BurnPart;
	/** Merges the parts of all entry hosts. */
	merge(parts: readonly BurnPart[]): BurnAnswer;
}

/** What the task needs. */
export interface BurnTaskOptions {
	readonly clock: Clock;
	readonly state: () => FleetState;
}

/** Creates the task. */
export function createBurnTask(options: BurnTaskOptions): BurnTask {
	return {
		record: () => void options.clock.now(),
		part: () => ({}),
		merge: () => ({ at: options.clock.wallNow(), rows: [] }),
	};
}
