import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { createEmitter } from '@chestnutwheel/base/common/emitter.js';
import { createRingBuffer } from '@chestnutwheel/base/common/ringBuffer.js';
import type { RecordVerdict } from '@chestnutwheel/configuration/common/controlRecord.js';
import { emptyFleetState, type FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import { foldControlRecord } from '@chestnutwheel/configuration/common/foldControlRecord.js';
import type { LogRecord } from '@chestnutwheel/platform/common/logProtocol.js';

/** A change of the accepted state. */
export interface ControlChange {
	readonly state: FleetState;
	readonly verdicts: readonly RecordVerdict[];
}

/** The accepted state of this daemon, and the records that led to it. */
export interface ControlState {
	current(): FleetState;
	/** Whether a record of a newer format version has stopped the fold. */
	isStopped(): boolean;
	/** Folds records in order. Records at or below the current offset are ignored and counted. */
	apply(records: readonly LogRecord[]): void;
	/** Takes a snapshot over, unless the daemon is already beyond it. */
	adopt(snapshot: FleetState): void;
	/** Kept records from an offset on, for peers that cannot read the log. */
	recordsFrom(offset: number): readonly LogRecord[];
	/** Verdicts on the latest records. */
	recentVerdicts(): readonly RecordVerdict[];
	listen(listener: (change: ControlChange) => void, signal: AbortSignal): void;
}

/** Records kept for peers; at 0.54 changes a second this covers an hour. */
const KEPT_RECORDS = 2_000;

/** Creates the state before the first record. */
export function createControlState(counters: Counters): ControlState {
	let state = emptyFleetState;
	let stopped = false;
	const records = createRingBuffer<LogRecord>(KEPT_RECORDS);
	const verdicts = createRingBuffer<RecordVerdict>(KEPT_RECORDS);
	const changes = createEmitter<ControlChange>();

	const applyOne = (record: LogRecord): RecordVerdict | undefined => {
		if (record.offset <= state.offset) {
			counters.add('control_records_ignored_total', { reason: 'already-applied' });
			return undefined;
		}
		if (record.offset !== state.offset + 1) {
			// Folding past a missing record would give a state that no other daemon has.
			counters.add('control_records_ignored_total', { reason: 'gap' });
			return undefined;
		}
		const result = foldControlRecord(state, record.offset, record.value);
		if (result.verdict === undefined) {
			stopped = true;
			counters.set('control_newer_format', 1);
			return undefined;
		}
		state = result.state;
		records.push(record);
		verdicts.push(result.verdict);
		counters.add('control_records_total', {
			type: result.verdict.type,
			verdict: result.verdict.accepted ? 'accepted' : 'refused',
		});
		return result.verdict;
	};

	return {
		current: () => state,
		isStopped: () => stopped,
		apply: incoming => {
			const made: RecordVerdict[] = [];
			for (const record of incoming) {
				if (stopped) {
					break;
				}
				const verdict = applyOne(record);
				if (verdict !== undefined) {
					made.push(verdict);
				}
			}
			if (made.length > 0) {
				counters.set('control_offset', state.offset);
				changes.emit({ state, verdicts: made });
			}
		},
		adopt: snapshot => {
			if (snapshot.offset <= state.offset) {
				return;
			}
			state = snapshot;
			counters.set('control_offset', state.offset);
			changes.emit({ state, verdicts: [] });
		},
		recordsFrom: offset => records.items().filter(record => record.offset >= offset),
		recentVerdicts: () => verdicts.items(),
		listen: (listener, signal) => changes.listen(listener, signal),
	};
}
