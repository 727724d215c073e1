import type { FleetState, Host } from '@chestnutwheel/configuration/common/fleetState.js';
import type { ListedHostState } from '@chestnutwheel/platform/common/hostList.js';
import { LONGEST_REQUEST_MS } from './dispatchPolicy.js';
import { teamName } from './teamName.js';

/** What is known about one worker of the cell, besides what runs on it. */
export interface HostRecord {
	readonly host: Host;
	boot: string | undefined;
	/** Slots that the worker itself reports, when it has. */
	reportedSlots: number | undefined;
	workerDraining: boolean;
	unreachable: boolean;
	/** When the last status that counted was asked for. */
	statusRequestedAt: number;
	askedAt: number;
}

/** The workers of the cell and where each team may have work. */
export interface HostTable {
	/** @returns the hosts that are new or have a new address */
	configure(state: FleetState, now: number): { readonly added: readonly Host[] };
	get(host: string): HostRecord | undefined;
	records(): Iterable<HostRecord>;
	/** Current hosts, and those that left the configuration less than a request deadline ago. */
	mayRunWork(now: number): readonly Host[];
	/** Whether the team may have work on the host, under this configuration or a recent one. */
	mayRun(team: string, host: string, now: number): boolean;
	setListed(hosts: Readonly<Record<string, ListedHostState>>): void;
	setDrained(hosts: readonly string[]): void;
	/** Why the host gets no start, from the configuration, the host list and its own reports. */
	closedBecause(record: HostRecord): 'unreachable' | 'down' | 'leaving' | 'draining' | undefined;
}

/** Creates an empty table. @param cell the cell whose pools count */
export function createHostTable(cell: string): HostTable {
	const records = new Map<string, HostRecord>();
	const former = new Map<string, { readonly host: Host; readonly until: number }>();
	/** By host: until when each team may have work there. */
	const reach = new Map<string, Map<string, number>>();
	let listed: Readonly<Record<string, ListedHostState>> | undefined;
	let drained = new Set<string>();
	let claimed = new Set<string>();

	const teamsByPool = (state: FleetState): ReadonlyMap<string, ReadonlySet<string>> => {
		const byPool = new Map<string, Set<string>>();
		const note = (queueName: string, team: string): void => {
			for (const pool of state.queues[queueName]?.pools ?? []) {
				byPool.set(pool, (byPool.get(pool) ?? new Set()).add(team));
			}
		};
		for (const queue of Object.values(state.queues)) {
			if (queue.open) {
				note(queue.name, teamName(undefined));
			}
		}
		for (const team of Object.values(state.teams)) {
			team.queues.forEach(queue => note(queue, team.name));
		}
		return byPool;
	};

	const updateReach = (state: FleetState, now: number): void => {
		const byPool = teamsByPool(state);
		for (const teams of reach.values()) {
			for (const [team, until] of teams) {
				teams.set(team, Math.min(until, now + LONGEST_REQUEST_MS));
			}
		}
		for (const { host } of records.values()) {
			const teams = reach.get(host.name) ?? new Map<string, number>();
			byPool.get(host.pool)?.forEach(team => teams.set(team, Infinity));
			reach.set(host.name, teams);
		}
		for (const [name, teams] of reach) {
			for (const [team, until] of teams) {
				if (until <= now) {
					teams.delete(team);
				}
			}
			if (teams.size === 0 && !records.has(name)) {
				reach.delete(name);
			}
		}
	};

	return {
		configure: (state, now) => {
			const hosts = Object.values(state.hosts).filter(host => state.pools[host.pool]?.cell === cell);
			const names = new Set(hosts.map(host => host.name));
			for (const [name, record] of records) {
				if (!names.has(name)) {
					records.delete(name);
					former.set(name, { host: record.host, until: now + LONGEST_REQUEST_MS });
				}
			}
			const added: Host[] = [];
			for (const host of hosts) {
				const known = records.get(host.name);
				if (known?.host.address !== host.address) {
					added.push(host);
				}
				former.delete(host.name);
				const fresh = {
					boot: undefined,
					reportedSlots: undefined,
					workerDraining: false,
					unreachable: false,
					statusRequestedAt: -Infinity,
					askedAt: -Infinity,
				};
				// A new address may be another machine: nothing known about the old one applies.
				records.set(host.name, { ...(known?.host.address === host.address ? known : fresh), host });
			}
			for (const [name, { until }] of former) {
				if (until <= now) {
					former.delete(name);
				}
			}
			claimed = new Set(
				Object.values(state.waves).flatMap(wave =>
					Object.entries(wave.hosts)
						.filter(([, hostState]) => hostState === 'claimed')
						.map(([name]) => name),
				),
			);
			updateReach(state, now);
			return { added };
		},
		get: host => records.get(host),
		records: () => records.values(),
		mayRunWork: now => [
			...[...records.values()].map(record => record.host),
			...[...former.values()].filter(({ until }) => until > now).map(({ host }) => host),
		],
		mayRun: (team, host, now) => (reach.get(host)?.get(team) ?? -Infinity) > now,
		setListed: hosts => {
			listed = hosts;
		},
		setDrained: hosts => {
			drained = new Set(hosts);
		},
		closedBecause: record => {
			const { name } = record.host;
			const state = listed === undefined ? 'live' : (listed[name] ?? 'down');
			if (state !== 'live') {
				return state;
			}
			if (record.unreachable) {
				return 'unreachable';
			}
			return record.workerDraining || drained.has(name) || claimed.has(name) ? 'draining' : undefined;
		},
	};
}
