import type { Wave } from '@chestnutwheel/configuration/common/fleetState.js';
import { claimedIn, isEnded, type FakeRecord, type FakeState } from './fakeFold.js';
import type { ModelHosts } from './modelHosts.js';

/** Longest time after which a leader must know that a host is away: the age limit of a status, and an append. */
const KNOWN_AFTER_MS = 17_000;

/** Checks that count for themselves, from the accepted records and the true state of the hosts. */
export interface WaveChecks {
	takeAccepted(record: FakeRecord, state: FakeState, now: number): void;
	takeReboot(host: string, now: number): void;
	/** Checks that each wave has ended, or that what was last said of it is true. */
	takeEnd(state: FakeState, standings: ReadonlyMap<string, string>, isLogOut: boolean, now: number): void;
	readonly violations: readonly string[];
	readonly claims: number;
	readonly reboots: number;
}

/** Creates the checks of one run. */
export function createWaveChecks(hosts: ModelHosts): WaveChecks {
	const violations: string[] = [];
	const bootAtClaim = new Map<string, number>();
	const counts = { claims: 0, reboots: 0 };

	const isKnownAway = (name: string, now: number): boolean => {
		const since = hosts.all.get(name)?.unavailableSince;
		return since !== undefined && now - since >= KNOWN_AFTER_MS;
	};

	const checkBudget = (state: FakeState, name: string, now: number): void => {
		const { pools, hosts: fleetHosts } = state.fleet;
		const claimed = fleetHosts[name];
		const budget = pools[claimed?.pool ?? '']?.budget;
		const away = Object.values(fleetHosts).filter(
			host => host.pool === claimed?.pool && (bootAtClaim.has(host.name) || isKnownAway(host.name, now)),
		);
		const near = away.filter(host => host.dataCentre === claimed?.dataCentre);
		if (away.length > (budget?.maximumUnavailable ?? 0)) {
			violations.push(`claim of ${name} at ${now}: ${away.length} hosts of the pool are unavailable`);
		}
		if (near.length > (budget?.maximumUnavailablePerDataCentre ?? Infinity)) {
			violations.push(`claim of ${name} at ${now}: ${near.length} hosts of the data centre are unavailable`);
		}
	};

	const truthOfStanding = (wave: Wave, state: FakeState, reason: string, isLogOut: boolean, now: number): boolean => {
		const named = (pick: string): readonly string[] =>
			Object.keys(wave.hosts).filter(name => wave.hosts[name] === pick && state.fleet.hosts[name] !== undefined);
		const someAway = (names: readonly string[]): boolean => names.some(name => isKnownAway(name, now));
		const predicates: Readonly<Record<string, () => boolean>> = {
			stopped: () =>
				wave.state === 'stopped' &&
				(someAway(named('claimed')) ||
					named('returned').filter(name => now < (hosts.all.get(name)?.failsUntil ?? 0)).length >= 2),
			'log-outage': () => isLogOut,
			'claimed-by-other-wave': () => named('waiting').some(name => claimedIn(state.fleet).has(name)),
			'host-overdue': () => someAway(named('claimed')),
			'host-down': () => someAway(named('waiting')),
			'host-leaving': () => someAway(named('waiting')),
			'host-unreachable': () => someAway(named('waiting')),
			'budget-used': () =>
				named('waiting').some(name => {
					const pool = state.fleet.hosts[name]?.pool ?? '';
					const inPool = Object.values(state.fleet.hosts).filter(host => host.pool === pool);
					const claimed = claimedIn(state.fleet);
					const away = inPool.filter(host => claimed.has(host.name) || isKnownAway(host.name, now)).length;
					return away >= (state.fleet.pools[pool]?.budget.maximumUnavailable ?? 0);
				}),
		};
		return predicates[reason]?.() ?? false;
	};

	return {
		violations,
		get claims() {
			return counts.claims;
		},
		get reboots() {
			return counts.reboots;
		},
		takeAccepted: (record, state, now) => {
			if (record.type === 'wave-claim') {
				counts.claims++;
				bootAtClaim.set(record.host, hosts.all.get(record.host)?.boot ?? 0);
				checkBudget(state, record.host, now);
			}
			if (record.type === 'host-returned') {
				if (hosts.all.get(record.host)?.boot === bootAtClaim.get(record.host)) {
					violations.push(`${record.host} was recorded as returned at ${now} without a reboot`);
				}
				bootAtClaim.delete(record.host);
			}
			if (record.type === 'withdraw') {
				bootAtClaim.delete(record.host ?? '');
			}
		},
		takeReboot: (name, now) => {
			counts.reboots++;
			const running = hosts.all.get(name)?.tasks.length ?? 0;
			if (running > 0) {
				violations.push(`reboot of ${name} at ${now} while ${running} tasks run`);
			}
		},
		takeEnd: (state, standings, isLogOut, now) => {
			for (const wave of Object.values(state.fleet.waves).filter(wave => !isEnded(wave))) {
				const reason = standings.get(wave.name) ?? 'nothing said';
				if (!truthOfStanding(wave, state, reason, isLogOut, now)) {
					violations.push(`wave ${wave.name} is ${wave.state} at the end, and the reason given is: ${reason}`);
				}
			}
		},
	};
}
