import type { FleetState, Host } from '@chestnutwheel/configuration/common/fleetState.js';
import type { AttemptOutcome } from './dispatchMessages.js';

/** A change of a worker's standing. */
export interface HealthChange {
	readonly type: 'set-aside' | 'taken-back';
	readonly reason: string;
}

/** Recent results of the workers, and those that are set aside because they fail the work of several teams. */
export interface WorkerHealth {
	/** @param unavailable hosts of the same pool that are closed for another reason */
	record(
		host: Host,
		team: string,
		outcome: AttemptOutcome,
		state: FleetState,
		unavailable: readonly Host[],
		now: number,
	): HealthChange | undefined;
	/** Fraction of recent results that failed. */
	failureRate(host: string): number;
	isSetAside(host: string): boolean;
	/** Why a host is set aside; `undefined` when it is not. */
	reasonOf(host: string): string | undefined;
	/** Whether a host that is set aside may get one request now. */
	mayProbe(host: string, now: number): boolean;
	probeStarted(host: string, grantId: string): void;
	/** The probe ended; the next one comes later when it did not succeed. */
	probeEnded(host: string, grantId: string, outcome: AttemptOutcome | 'gone', now: number): HealthChange | undefined;
	/** A host restarted or left; its results no longer say anything about it. */
	forget(host: string): void;
	nextProbeAt(now: number): number | undefined;
}

interface Results {
	readonly recent: { readonly failed: boolean; readonly team: string }[];
}

interface SetAside {
	readonly host: Host;
	readonly reason: string;
	probeAt: number;
	delayMs: number;
	probe: string | undefined;
}

/** Results kept by host. */
const RECENT_RESULTS = 20;
/** Failures from which a worker counts as failing. */
const FAILING_COUNT = 5;
const FIRST_PROBE_DELAY_MS = 30_000;
const LONGEST_PROBE_DELAY_MS = 300_000;

/** Creates a table without results. @param maySetAside whether failing workers are set aside */
export function createWorkerHealth(maySetAside = true): WorkerHealth {
	const resultsByHost = new Map<string, Results>();
	const setAside = new Map<string, SetAside>();

	const isFailing = (results: Results): boolean => {
		const failures = results.recent.filter(result => result.failed);
		return (
			failures.length >= FAILING_COUNT &&
			failures.length * 2 > results.recent.length &&
			new Set(failures.map(result => result.team)).size >= 2
		);
	};

	/** A quarter of the pool at most, and never so many that the pool falls below its budget. */
	const withinBounds = (host: Host, state: FleetState, unavailable: readonly Host[]): boolean => {
		const pool = state.pools[host.pool];
		if (pool === undefined) {
			return false;
		}
		const size = Object.values(state.hosts).filter(other => other.pool === host.pool).length;
		const aside = [...setAside.values()].map(entry => entry.host).filter(other => other.pool === host.pool);
		const all = new Map([...unavailable, ...aside, host].map(other => [other.name, other]));
		const inDataCentre = [...all.values()].filter(other => other.dataCentre === host.dataCentre).length;
		return (
			(aside.length + 1) * 4 <= size &&
			all.size <= pool.budget.maximumUnavailable &&
			inDataCentre <= (pool.budget.maximumUnavailablePerDataCentre ?? Infinity)
		);
	};

	return {
		record: (host, team, outcome, state, unavailable, now) => {
			if (outcome !== 'succeeded' && outcome !== 'failed') {
				return undefined;
			}
			const results = resultsByHost.get(host.name) ?? { recent: [] };
			resultsByHost.set(host.name, results);
			results.recent.push({ failed: outcome === 'failed', team });
			if (results.recent.length > RECENT_RESULTS) {
				results.recent.shift();
			}
			if (!maySetAside || setAside.has(host.name) || !isFailing(results) || !withinBounds(host, state, unavailable)) {
				return undefined;
			}
			const failures = results.recent.filter(result => result.failed).length;
			const reason = `${failures} of the last ${results.recent.length} results failed`;
			setAside.set(host.name, {
				host,
				reason,
				probeAt: now + FIRST_PROBE_DELAY_MS,
				delayMs: FIRST_PROBE_DELAY_MS,
				probe: undefined,
			});
			return { type: 'set-aside', reason };
		},
		failureRate: host => {
			const recent = resultsByHost.get(host)?.recent ?? [];
			// A single failure says little, so the rate counts against a full set of results.
			return recent.filter(result => result.failed).length / Math.max(recent.length, FAILING_COUNT);
		},
		isSetAside: host => setAside.has(host),
		reasonOf: host => setAside.get(host)?.reason,
		mayProbe: (host, now) => {
			const entry = setAside.get(host);
			return entry?.probe === undefined && entry !== undefined && now >= entry.probeAt;
		},
		probeStarted: (host, grantId) => {
			const entry = setAside.get(host);
			if (entry !== undefined) {
				entry.probe = grantId;
			}
		},
		probeEnded: (host, grantId, outcome, now) => {
			const entry = setAside.get(host);
			if (entry?.probe !== grantId) {
				return undefined;
			}
			if (outcome === 'succeeded') {
				setAside.delete(host);
				resultsByHost.delete(host);
				return { type: 'taken-back', reason: 'a probe succeeded' };
			}
			entry.probe = undefined;
			entry.delayMs = outcome === 'failed' ? Math.min(entry.delayMs * 2, LONGEST_PROBE_DELAY_MS) : entry.delayMs;
			entry.probeAt = now + entry.delayMs;
			return undefined;
		},
		forget: host => {
			resultsByHost.delete(host);
			setAside.delete(host);
		},
		nextProbeAt: now => {
			const times = [...setAside.values()]
				.filter(entry => entry.probe === undefined && entry.probeAt > now)
				.map(entry => entry.probeAt);
			return times.length === 0 ? undefined : Math.min(...times);
		},
	};
}
