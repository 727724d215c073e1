import { describe, expect, it } from 'vitest';
import * as fc from 'fast-check';
import type { ControlRecord, NoteItems } from '../common/controlRecord.js';
import { foldControlRecord } from '../common/foldControlRecord.js';
import { emptyFleetState, type FleetState } from '../common/fleetState.js';
import { parseSnapshot, serializeSnapshot } from '../common/snapshot.js';
import { host, note, noteValue, pool } from './fleetFixture.js';

// Mutations that were tried once each, and the property that failed:
// - claimHost: `budgetExcess` asked before `setWaveHost`: "never exceeds a budget".
// - itemRules.hosts.checkPut: no `claimedMoveProblem`: "never exceeds a budget".
// - fleetDraft.putHost: no `removeHost` of the previous place: "never puts a host in two pools".
// - snapshot: `recentMoveIds` left out of the text: "a snapshot and the rest".
// - handleNote: no `handleCopy`: "a second copy of any record".
// - fleetDraft.writable: the record changed without a copy: "two folds".
// - recentList.add: the buffer extended by any list: "a snapshot and the rest".

const POOLS = ['rye', 'oats', 'spare'];
const HOST_COUNT = 9;
const WAVES = ['w1', 'w2'];

const poolName = fc.constantFrom(...POOLS);
const hostNumber = fc.integer({ min: 1, max: HOST_COUNT });
const wave = fc.constantFrom(...WAVES);
const budget = fc.record({
	maximumUnavailable: fc.integer({ min: 0, max: 3 }),
	maximumUnavailablePerDataCentre: fc.option(fc.integer({ min: 0, max: 2 }), { nil: undefined }),
});

/** One step of a history. Notes name the age of the state that their author saw. */
type Step =
	| { readonly kind: 'record'; readonly record: ControlRecord }
	| { readonly kind: 'note'; readonly staleness: number; readonly contents: Parameters<typeof note>[1] }
	| { readonly kind: 'copy'; readonly position: number };

const items = (contents: NoteItems): NoteItems => contents;

const contents = fc.oneof(
	fc.record({ hosts: fc.array(fc.tuple(hostNumber, poolName), { minLength: 1, maxLength: 3 }) }).map(({ hosts }) => ({
		changed: items({ hosts: hosts.map(([number, name]) => host(number, name)) }),
	})),
	fc.tuple(hostNumber, poolName).map(([number, name]) => ({ added: items({ hosts: [host(number, name)] }) })),
	hostNumber.map(number => ({ withdrawn: { hosts: [`host-${number}`] } })),
	fc.tuple(poolName, budget).map(([name, limits]) => ({ changed: items({ pools: [pool(name, { budget: limits })] }) })),
	fc.tuple(wave, poolName).map(([name, from]) => ({ added: items({ waves: [{ name, pools: [from] }] }) })),
	wave.map(name => ({ withdrawn: { waves: [name] } })),
	wave.map(name => ({ changed: items({ waves: [{ name }] }) })),
);

const hostText = hostNumber.map(number => `host-${number}`);

const version = fc.constant(1 as const);
const typed = <Type extends ControlRecord['type']>(...types: Type[]) => ({ type: fc.constantFrom(...types), version });
const unavailable = fc.array(hostText, { maxLength: 1 });
const claim = fc.record({ ...typed('wave-claim'), claimId: fc.uuid(), wave, host: hostText, unavailable });
const returned = fc.record({ ...typed('host-returned'), wave, host: hostText });
const paused = fc.record({ ...typed('wave-stopped', 'wave-resumed'), wave, reason: fc.constant('test') });
const places = { host: hostText, from: poolName, to: poolName };
const moved = fc.record({ ...typed('host-moved'), moveId: fc.uuid(), ...places });

const record: fc.Arbitrary<ControlRecord> = fc.oneof(
	{ weight: 14, arbitrary: claim },
	{ weight: 3, arbitrary: returned },
	{ weight: 1, arbitrary: paused },
	{ weight: 4, arbitrary: moved },
);

const step: fc.Arbitrary<Step> = fc.oneof(
	{ weight: 6, arbitrary: record.map(value => ({ kind: 'record' as const, record: value })) },
	{
		weight: 5,
		arbitrary: fc.record({ kind: fc.constant('note' as const), staleness: fc.integer({ min: 0, max: 3 }), contents }),
	},
	{ weight: 2, arbitrary: fc.record({ kind: fc.constant('copy' as const), position: fc.nat(100) }) },
);

const history = fc.array(step, { minLength: 20, maxLength: 60 });

const hosts = Array.from({ length: HOST_COUNT }, (_, index) => host(index + 1, POOLS[index % 3] ?? 'rye'));
const waves = WAVES.map((name, index) => ({ name, pools: POOLS.slice(index, index + 2) }));
const firstValue = noteValue(note('first', { added: { pools: POOLS.map(name => pool(name)), hosts, waves } }));

interface Folded {
	readonly values: readonly string[];
	/** The state after each value. */
	readonly states: readonly FleetState[];
	readonly accepted: readonly boolean[];
}

function fold(values: readonly string[], from = emptyFleetState): Omit<Folded, 'values'> {
	let state = from;
	const states: FleetState[] = [];
	const accepted: boolean[] = [];
	for (const [index, value] of values.entries()) {
		const result = foldControlRecord(state, from.offset + 1 + index, value);
		state = result.state;
		states.push(state);
		accepted.push(result.verdict?.accepted ?? false);
	}
	return { states, accepted };
}

/** Turns steps into values; the authors of notes read the states on the way. */
function valuesOf(steps: readonly Step[]): readonly string[] {
	const values = [firstValue];
	const seen: number[] = [];
	let state = fold(values).states.at(-1) ?? emptyFleetState;
	for (const [index, next] of steps.entries()) {
		seen.push(state.noteOffset);
		const writtenAgainst = next.kind === 'note' ? seen[Math.max(0, seen.length - 1 - next.staleness)] : -1;
		const value =
			next.kind === 'copy'
				? (values[next.position % values.length] ?? firstValue)
				: next.kind === 'record'
					? JSON.stringify(next.record)
					: noteValue(note(`n-${index}`, { ...next.contents, writtenAgainst: writtenAgainst ?? -1 }));
		state = foldControlRecord(state, values.length, value).state;
		values.push(value);
	}
	return values;
}

/** Unavailable hosts by `pool` and `pool@data centre`, counted from the plain state alone. */
function countClaimed(state: FleetState): Map<string, number> {
	const claimed = new Set(
		Object.values(state.waves).flatMap(({ hosts }) => Object.keys(hosts).filter(name => hosts[name] === 'claimed')),
	);
	const counts = new Map<string, number>();
	for (const { pool: place, dataCentre } of Object.values(state.hosts).filter(({ name }) => claimed.has(name))) {
		for (const bucket of [place, `${place}@${dataCentre}`]) {
			counts.set(bucket, (counts.get(bucket) ?? 0) + 1);
		}
	}
	return counts;
}

function boundOf(state: FleetState, bucket: string): number {
	const [place = '', dataCentre] = bucket.split('@');
	const limits = state.pools[place]?.budget;
	const bound = dataCentre === undefined ? limits?.maximumUnavailable : limits?.maximumUnavailablePerDataCentre;
	return bound ?? Infinity;
}

const parameters = (seed: number, numRuns = 150) => ({ seed, numRuns });

describe('any history of racing notes, claims, moves and repeated appends', () => {
	it('gives the same state on two folds, also when folds branch off on the way', () => {
		fc.assert(
			fc.property(history, fc.nat(60), (steps, branch) => {
				const values = valuesOf(steps);
				const first = fold(values);
				const fork = first.states[branch % values.length] ?? emptyFleetState;
				foldControlRecord(fork, fork.offset + 1, noteValue(note('fork')));
				expect(fold(values).states).toEqual(first.states);
				const rest = fold(values.slice(fork.offset + 1), fork).states;
				expect([...first.states.slice(0, fork.offset + 1), ...rest]).toEqual(first.states);
			}),
			parameters(4_711),
		);
	});

	it('never puts a host in two pools: the pools that waves and rules see are those of the hosts', () => {
		fc.assert(
			fc.property(history, steps => {
				const values = valuesOf(steps);
				const state = fold(values).states.at(-1) ?? emptyFleetState;
				expect(Object.entries(state.hosts).every(([name, { name: own }]) => name === own)).toBe(true);
				// A new wave over one pool takes its hosts from the index of pools, which must agree with the hosts.
				const members = POOLS.map(name => {
					const request = { name: `probe-${name}`, pools: [name] };
					const probe = note(`probe-${name}`, { writtenAgainst: state.noteOffset, added: { waves: [request] } });
					const { state: after } = foldControlRecord(state, state.offset + 1, noteValue(probe));
					return Object.keys(after.waves[request.name]?.hosts ?? {});
				});
				expect(members.flat().sort()).toEqual(Object.keys(state.hosts).sort());
				for (const [index, name] of POOLS.entries()) {
					expect(members[index]?.every(member => state.hosts[member]?.pool === name)).toBe(true);
				}
			}),
			parameters(20_261),
		);
	});

	it('never exceeds a budget: no record raises the claimed hosts of a pool or data centre beyond it', () => {
		let claims = 0;
		fc.assert(
			fc.property(history, steps => {
				const values = valuesOf(steps);
				const { states, accepted } = fold(values);
				let before = new Map<string, number>();
				for (const [index, state] of states.entries()) {
					const after = countClaimed(state);
					for (const [bucket, count] of after) {
						const grew = count > (before.get(bucket) ?? 0);
						expect(grew && count > boundOf(state, bucket), `${bucket} after ${values[index] ?? ''}`).toBe(false);
					}
					claims += accepted[index] === true && (values[index] ?? '').includes('wave-claim') ? 1 : 0;
					before = after;
				}
			}),
			parameters(815, 400),
		);
		// Guards against histories that claim nothing and so prove nothing.
		expect(claims).toBeGreaterThan(500);
	});

	it('gives the same state from a snapshot and the rest as from all records', () => {
		fc.assert(
			fc.property(history, fc.nat(60), (steps, position) => {
				const values = valuesOf(steps);
				const { states } = fold(values);
				const state = states[position % values.length] ?? emptyFleetState;
				const restored = parseSnapshot(serializeSnapshot(state));
				expect(restored).toEqual(state);
				expect(fold(values.slice(state.offset + 1), restored).states).toEqual(states.slice(state.offset + 1));
			}),
			parameters(99),
		);
	});

	it('changes nothing but the offset for a second copy of any record at the end', () => {
		fc.assert(
			fc.property(history, steps => {
				const values = valuesOf(steps);
				const { states, accepted } = fold(values);
				const last = values.at(-1) ?? firstValue;
				const state = states.at(-1) ?? emptyFleetState;
				fc.pre(accepted.at(-1) === true);
				const again = foldControlRecord(state, state.offset + 1, last);
				expect({ ...again.state, offset: state.offset }).toEqual(state);
			}),
			parameters(3),
		);
	});
});
