import type { FleetState, Host, NoteVerdict } from './fleetState.js';
import { createRecentList, type RecentList } from './recentList.js';
import { createShardedTable, type ShardedTable } from './shardedTable.js';

/** The fields of the state that are small enough to be copied whole. */
export type FleetFields = Omit<FleetState, 'hosts' | 'verdicts'>;

/**
 * The state with the indexes that the fold needs. They are derived step by step, so that a record costs a few
 * microseconds at 20,000 hosts; none of them is stored.
 */
export interface FleetParts {
	readonly fields: FleetFields;
	readonly hosts: ShardedTable<Host>;
	/** Host name by address. */
	readonly hostByAddress: ShardedTable<string>;
	/** Names of the hosts of each pool that has any. */
	readonly membersByPool: ShardedTable<ReadonlySet<string>>;
	/** The wave that has claimed a host, by host name. */
	readonly claims: ShardedTable<string>;
	readonly verdicts: RecentList<NoteVerdict>;
	readonly verdictById: ShardedTable<NoteVerdict>;
}

/** Verdicts kept; also the reach of the check for copies. */
export const MAXIMUM_VERDICTS = 10_000;

const partsByState = new WeakMap<FleetState, FleetParts>();

/** The state that these parts make up. Its `hosts` and `verdicts` are built when they are first read. */
export function stateOf(parts: FleetParts): FleetState {
	const { hosts, verdicts } = parts;
	const state: FleetState = {
		...parts.fields,
		get hosts() {
			return hosts.toRecord();
		},
		get verdicts() {
			return verdicts.toArray();
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
	const { hosts, verdicts, ...fields } = state;
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
		hosts: createShardedTable(Object.entries(hosts)),
		hostByAddress: createShardedTable(Object.values(hosts).map((host): [string, string] => [host.address, host.name])),
		membersByPool: createShardedTable(membersByPool),
		claims: createShardedTable(claims),
		verdicts: createRecentList(MAXIMUM_VERDICTS, verdicts),
		verdictById: createShardedTable(verdicts.map((verdict): [string, NoteVerdict] => [verdict.id, verdict])),
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
