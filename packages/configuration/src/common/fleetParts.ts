import type { FleetState, Host, NoteVerdict } from './fleetState.js';
import { createLayeredTable, type LayeredTable } from './layeredTable.js';

/** The fields of the state that are small enough to be copied whole. */
export type FleetFields = Omit<FleetState, 'hosts'>;

/**
 * The state with the indexes that the fold needs. They are derived step by step, so that a record costs a few
 * microseconds at 20,000 hosts; none of them is stored.
 */
export interface FleetParts {
	readonly fields: FleetFields;
	readonly hosts: LayeredTable<Host>;
	/** Host name by address. */
	readonly hostByAddress: LayeredTable<string>;
	/** Names of the hosts of each pool that has any. */
	readonly membersByPool: ReadonlyMap<string, ReadonlySet<string>>;
	/** The wave that has claimed a host, by host name. */
	readonly claims: LayeredTable<string>;
	readonly verdictById: LayeredTable<NoteVerdict>;
}

const partsByState = new WeakMap<FleetState, FleetParts>();

/** The state that these parts make up. Its `hosts` record is built when it is first read. */
export function stateOf(parts: FleetParts): FleetState {
	const { hosts } = parts;
	const state: FleetState = {
		...parts.fields,
		get hosts() {
			return hosts.toRecord();
		},
	};
	partsByState.set(state, parts);
	return state;
}

/** The parts of a state; they are computed once for a state that did not come from the fold. */
export function partsOf(state: FleetState): FleetParts {
	const known = partsByState.get(state);
	if (known !== undefined) {
		return known;
	}
	const { hosts, ...fields } = state;
	const membersByPool = new Map<string, Set<string>>();
	for (const host of Object.values(hosts)) {
		const members = membersByPool.get(host.pool) ?? new Set();
		membersByPool.set(host.pool, members.add(host.name));
	}
	const claims = Object.values(fields.waves).flatMap(wave =>
		Object.entries(wave.hosts)
			.filter(([, hostState]) => hostState === 'claimed')
			.map(([host]): [string, string] => [host, wave.name]),
	);
	const parts: FleetParts = {
		fields,
		hosts: createLayeredTable(Object.entries(hosts)),
		hostByAddress: createLayeredTable(Object.values(hosts).map((host): [string, string] => [host.address, host.name])),
		membersByPool,
		claims: createLayeredTable(claims),
		verdictById: createLayeredTable(fields.verdicts.map((verdict): [string, NoteVerdict] => [verdict.id, verdict])),
	};
	partsByState.set(state, parts);
	return parts;
}

/** One host of a state. Unlike `state.hosts[name]` it does not build the record of all hosts. */
export function findHost(state: FleetState, name: string): Host | undefined {
	return partsOf(state).hosts.get(name);
}

/** Names of the hosts of a pool, without a pass over the fleet. */
export function hostNamesOfPool(state: FleetState, pool: string): ReadonlySet<string> {
	return partsOf(state).membersByPool.get(pool) ?? new Set();
}

/** The wave that has claimed a host; `undefined` when none has. */
export function claimingWave(state: FleetState, host: string): string | undefined {
	return partsOf(state).claims.get(host);
}
