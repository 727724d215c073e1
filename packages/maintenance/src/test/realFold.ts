import { foldControlRecord } from '@chestnutwheel/configuration/common/foldControlRecord.js';
import type { ControlRecord, ReleaseNote } from '@chestnutwheel/configuration/common/controlRecord.js';
import { emptyFleetState, type Host, type Pool, type Wave } from '@chestnutwheel/configuration/common/fleetState.js';
import type { FakeRecord, FakeState, FakeStep } from './fakeFold.js';

const noteRecord = (offset: number, note: Partial<ReleaseNote>): ControlRecord => ({
	type: 'note',
	version: 1,
	note: { id: `note-${offset}`, author: 'nadia', writtenAgainst: -1, ...note },
});

/** Folds a record of the model with the fold of the accepted state. */
export function realFold(before: FakeState, offset: number, record: FakeRecord): FakeStep {
	const withdrawn =
		record.type === 'withdraw'
			? { waves: record.wave === undefined ? [] : [record.wave], hosts: record.host === undefined ? [] : [record.host] }
			: {};
	const written =
		record.type === 'withdraw' ? noteRecord(offset, { writtenAgainst: before.fleet.noteOffset, withdrawn }) : record;
	const { state, verdict } = foldControlRecord(before.fleet, offset, JSON.stringify(written));
	const refusal = verdict?.accepted === true ? undefined : (verdict?.reason ?? 'newer format');
	return { state: { fleet: state, moves: {} }, refusal };
}

/** The state after one note that adds everything. */
export function realState(pools: readonly Pool[], hosts: readonly Host[], waves: readonly Wave[]): FakeState {
	const requests = waves.map(({ name, hosts: waveHosts, returnWithinMs }) => ({
		name,
		hosts: Object.keys(waveHosts),
		returnWithinMs,
	}));
	const start = foldControlRecord(
		emptyFleetState,
		0,
		JSON.stringify(noteRecord(0, { added: { pools, hosts, waves: requests } })),
	);
	if (start.verdict?.accepted !== true) {
		throw new Error(`the first note was refused: ${start.verdict?.reason ?? ''}`);
	}
	return { fleet: start.state, moves: {} };
}
