import type { Clock } from '@chestnutwheel/base/common/clock.js';
import { createBurnRecorder, type BurnPart, type EndedRequest } from '@chestnutwheel/burn/common/burnRecorder.js';
import { createBurnReport, type BurnReport } from '@chestnutwheel/burn/common/burnReport.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';

/** Records ended requests for the report on service-level burn. */
export interface BurnTask {
	record(ended: EndedRequest): void;
	/** This daemon's part of the report. */
	part(): BurnPart;
	/** Merges the parts of the entry hosts that have answered. */
	merge(parts: readonly BurnPart[]): BurnReport;
}

/** What the task needs. */
export interface BurnTaskOptions {
	readonly clock: Clock;
	readonly state: () => FleetState;
}

/** Creates the task. */
export function createBurnTask({ clock, state }: BurnTaskOptions): BurnTask {
	const recorder = createBurnRecorder();
	return {
		record: ended => recorder.record(ended, state().queues[ended.queue]?.objective, clock.now()),
		part: () => recorder.part(clock.now()),
		merge: parts => {
			const queues = Object.values(state().queues);
			return createBurnReport(parts, Object.fromEntries(queues.map(queue => [queue.name, queue.objective])));
		},
	};
}
