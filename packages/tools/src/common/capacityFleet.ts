import type { ReleaseNote } from '@chestnutwheel/configuration/common/controlRecord.js';
import { emptyFleetState, type FleetState, type Host } from '@chestnutwheel/configuration/common/fleetState.js';
import { foldControlRecord } from '@chestnutwheel/configuration/common/foldControlRecord.js';

/** Numbers of items of a fleet to be measured. */
export interface CapacityFleet {
	readonly workers: number;
	readonly pools: number;
	readonly teams: number;
	readonly keys: number;
}

/** Name of the only cell. */
export const CAPACITY_CELL = 'cell';

const ITEMS_PER_NOTE = 500;

const list = <Item>(count: number, create: (index: number) => Item): readonly Item[] =>
	Array.from({ length: count }, (_, index) => create(index));

/** A worker of the measured fleet. */
export function capacityHost(index: number, pools: number): Host {
	return {
		name: `worker-${index}`,
		pool: `pool-${index % pools}`,
		address: `http://10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:7000`,
		dataCentre: `dc-${Math.floor(index / 1_000) % 20}`,
		rack: `rack-${index >> 2}`,
		slots: 8,
		connections: 64,
	};
}

/** Appends one note to a state. @throws when the fold refuses it */
export function foldNote(state: FleetState, id: string, contents: Partial<ReleaseNote>): FleetState {
	const note = { id, author: 'capacity', writtenAgainst: state.noteOffset, ...contents };
	const value = JSON.stringify({ type: 'note', version: 1, note });
	const { state: next, verdict } = foldControlRecord(state, state.offset + 1, value);
	if (verdict?.accepted !== true) {
		throw new Error(`the note ${id} was refused: ${verdict?.reason ?? ''}`);
	}
	return next;
}

/** Folds a fleet from notes of 500 items. */
export function foldFleet({ workers, pools, teams, keys }: CapacityFleet): FleetState {
	const budget = { maximumUnavailable: 4 };
	const queue = { name: 'queue', pools: ['pool-0'], open: false, maximumWaiting: 1_000 };
	const items = {
		pools: list(pools, index => ({ name: `pool-${index}`, cell: CAPACITY_CELL, budget, spare: false })),
		queues: [queue],
		hosts: list(workers, index => capacityHost(index, pools)),
		teams: list(teams, index => ({
			name: `team-${index}`,
			organisation: `organisation-${index % 12}`,
			share: 1,
			limit: 100,
			queues: ['queue'],
		})),
		keys: list(keys, index => ({
			id: `key-${index}`,
			team: `team-${index % teams}`,
			sha256: index.toString(16).padStart(64, '0'),
		})),
	};
	let state = emptyFleetState;
	for (const kind of ['pools', 'queues', 'teams', 'keys', 'hosts'] as const) {
		for (let from = 0; from < items[kind].length; from += ITEMS_PER_NOTE) {
			const added = { [kind]: items[kind].slice(from, from + ITEMS_PER_NOTE) };
			state = foldNote(state, `${kind}-${from}`, { added });
		}
	}
	return state;
}
