import type { ControlRecord, RecordVerdict, ReleaseNote } from '../common/controlRecord.js';
import { foldControlRecord } from '../common/foldControlRecord.js';
import { emptyFleetState, type EntryHost, type FleetState, type Host, type Pool } from '../common/fleetState.js';

/** A pool with room for two unavailable hosts unless told otherwise. */
export function pool(name: string, changes: Partial<Pool> = {}): Pool {
	return { name, cell: 'desk', budget: { maximumUnavailable: 2 }, spare: false, ...changes };
}

/** A host whose address follows from its number. */
export function host(number: number, poolName: string, changes: Partial<Host> = {}): Host {
	return {
		name: `host-${number}`,
		pool: poolName,
		address: `http://10.${number >> 16}.${(number >> 8) & 255}.${number & 255}:7000`,
		dataCentre: `dc-${number % 3}`,
		rack: `rack-${number >> 2}`,
		slots: 8,
		connections: 64,
		...changes,
	};
}

/** An entry host whose address follows from its number. */
export function entryHost(number: number): EntryHost {
	return { name: `entry-${number}`, address: `http://10.200.0.${number}:7100`, dataCentre: `dc-${number % 3}` };
}

/** A note whose contents are given. */
export function note(id: string, contents: Partial<ReleaseNote> = {}): ReleaseNote {
	return { id, author: 'nadia', writtenAgainst: -1, ...contents };
}

/** A note as a value of the control stream. */
export const noteValue = (value: ReleaseNote): string => JSON.stringify({ type: 'note', version: 1, note: value });

/** A stream of records folded one after the other. */
export interface TestStream {
	readonly state: FleetState;
	/** The values appended so far, by offset. */
	readonly values: readonly string[];
	appendText(value: string): RecordVerdict;
	append(record: ControlRecord): RecordVerdict;
	/** Appends a note written against the present state. */
	submit(id: string, contents: Partial<ReleaseNote>): RecordVerdict;
}

/** Creates an empty stream. */
export function createTestStream(): TestStream {
	let state = emptyFleetState;
	const values: string[] = [];
	const appendText = (value: string): RecordVerdict => {
		const result = foldControlRecord(state, values.length, value);
		if (result.verdict === undefined) {
			throw new Error('the record is of a newer format');
		}
		values.push(value);
		state = result.state;
		return result.verdict;
	};
	const append = (record: ControlRecord): RecordVerdict => appendText(JSON.stringify(record));
	return {
		get state() {
			return state;
		},
		values,
		appendText,
		append,
		submit: (id, contents) => appendText(noteValue(note(id, { writtenAgainst: state.noteOffset, ...contents }))),
	};
}
