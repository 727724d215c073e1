import type { FleetFields, FleetParts } from './fleetParts.js';
import type { EntryHost, Host, NoteVerdict, Pool, Queue, Team, TeamKey, Wave, WaveHostState } from './fleetState.js';
import { changeWaveHost, waveHostsOf } from './waveHosts.js';

/** Kinds of things that are kept in a plain record of the state. */
export interface RecordItems {
	readonly pools: Pool;
	readonly queues: Queue;
	readonly teams: Team;
	readonly keys: TeamKey;
	readonly entryHosts: EntryHost;
	readonly waves: Wave;
}

/** Changes on top of a state, collected while one record is applied. It is dropped when the record is refused. */
export interface FleetDraft {
	/** The state before the record. */
	readonly before: FleetParts;
	items<Kind extends keyof RecordItems>(kind: Kind): Readonly<Record<string, RecordItems[Kind]>>;
	putItem<Kind extends keyof RecordItems>(kind: Kind, name: string, item: RecordItems[Kind]): void;
	removeItem(kind: keyof RecordItems, name: string): void;
	host(name: string): Host | undefined;
	hostAt(address: string): string | undefined;
	/** Names of the hosts of a pool. */
	members(pool: string): ReadonlySet<string>;
	putHost(host: Host): void;
	removeHost(name: string): void;
	/** The wave that has claimed a host. */
	claim(host: string): string | undefined;
	/** Sets the state of a host in a wave and keeps the index of claims; `undefined` takes the host out of the wave. */
	setWaveHost(wave: Wave, host: string, hostState: WaveHostState | undefined): Wave;
	/** Sets fields that are not records of named things. */
	setFields(changes: Partial<FleetFields>): void;
	/** Adds a verdict and forgets the oldest one beyond the bound. */
	remember(verdict: NoteVerdict): void;
	finish(offset: number): FleetParts;
}

const noMembers: ReadonlySet<string> = new Set();

/** Creates a draft without changes. */
export function createFleetDraft(before: FleetParts): FleetDraft {
	let fields: FleetFields = before.fields;
	const copiedKinds = new Set<keyof RecordItems>();
	const hostChanges = new Map<string, Host | undefined>();
	const addressChanges = new Map<string, string | undefined>();
	const memberChanges = new Map<string, Set<string>>();
	const claimChanges = new Map<string, string | undefined>();
	let { verdicts } = before;
	const verdictChanges = new Map<string, NoteVerdict | undefined>();

	const writable = <Kind extends keyof RecordItems>(kind: Kind): Record<string, RecordItems[Kind]> => {
		if (!copiedKinds.has(kind)) {
			fields = { ...fields, [kind]: { ...fields[kind] } };
			copiedKinds.add(kind);
		}
		return fields[kind] as Record<string, RecordItems[Kind]>;
	};

	const changedMembers = (pool: string): Set<string> => {
		const members = memberChanges.get(pool) ?? new Set(before.membersByPool.get(pool));
		memberChanges.set(pool, members);
		return members;
	};

	const host = (name: string): Host | undefined =>
		hostChanges.has(name) ? hostChanges.get(name) : before.hosts.get(name);
	const hostAt = (address: string): string | undefined =>
		addressChanges.has(address) ? addressChanges.get(address) : before.hostByAddress.get(address);

	const removeHost = (name: string): void => {
		const known = host(name);
		if (known === undefined) {
			return;
		}
		hostChanges.set(name, undefined);
		changedMembers(known.pool).delete(name);
		if (hostAt(known.address) === name) {
			addressChanges.set(known.address, undefined);
		}
	};

	return {
		before,
		items: kind => fields[kind] as Readonly<Record<string, RecordItems[typeof kind]>>,
		putItem: (kind, name, item) => {
			writable(kind)[name] = item;
		},
		removeItem: (kind, name) => {
			// eslint-disable-next-line @typescript-eslint/no-dynamic-delete -- the record is this draft's own copy
			delete writable(kind)[name];
		},
		host,
		hostAt,
		members: pool => memberChanges.get(pool) ?? before.membersByPool.get(pool) ?? noMembers,
		putHost: next => {
			const known = host(next.name);
			if (known?.pool !== next.pool || known.address !== next.address) {
				removeHost(next.name);
				changedMembers(next.pool).add(next.name);
				addressChanges.set(next.address, next.name);
			}
			hostChanges.set(next.name, next);
		},
		removeHost,
		claim: name => (claimChanges.has(name) ? claimChanges.get(name) : before.claims.get(name)),
		setWaveHost: (wave, name, hostState) => {
			if (hostState === 'claimed') {
				claimChanges.set(name, wave.name);
			} else if (waveHostsOf(wave).table.get(name) === 'claimed') {
				claimChanges.set(name, undefined);
			}
			const next = changeWaveHost(wave, name, hostState);
			writable('waves')[wave.name] = next;
			return next;
		},
		setFields: changes => {
			fields = { ...fields, ...changes };
		},
		remember: verdict => {
			const { list, dropped } = verdicts.add(verdict);
			if (dropped !== undefined) {
				verdictChanges.set(dropped.id, undefined);
			}
			verdictChanges.set(verdict.id, verdict);
			verdicts = list;
		},
		finish: offset => {
			const poolChanges = new Map<string, ReadonlySet<string> | undefined>();
			for (const [pool, members] of memberChanges) {
				poolChanges.set(pool, members.size === 0 ? undefined : members);
			}
			return {
				fields: { ...fields, offset },
				hosts: before.hosts.with(hostChanges),
				hostByAddress: before.hostByAddress.with(addressChanges),
				membersByPool: before.membersByPool.with(poolChanges),
				claims: before.claims.with(claimChanges),
				verdicts,
				verdictById: before.verdictById.with(verdictChanges),
			};
		},
	};
}
