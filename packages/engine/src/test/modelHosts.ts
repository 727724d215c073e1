import type { HostOrderOutcome, HostState, ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { HostAction } from '../common/jobs/journalEvent.js';
import { harnessResources } from './engineHarness.js';

/** Time that a host is away for a move or its maintenance, in milliseconds. */
const AWAY_MS: Readonly<Record<HostAction['type'], number>> = { move: 1_500, upkeep: 2_000 };

const STATES: Readonly<Record<HostAction['type'], HostState>> = { move: 'moving', upkeep: 'upkeep' };

interface ModelHost {
	readonly name: string;
	pool: string;
	state: HostState;
	/** Worker that the host has; empty while it has none. */
	worker: string;
	/** Number of the workers that the host has had. */
	lives: number;
	returnsAt: number;
	readonly maintainedIn: Set<number>;
}

/** Receives what happens to the workers on the hosts. */
export interface ModelHostObserver {
	/** An order has ended the worker, with all that runs on it. */
	workerEnded(worker: string): void;
	/** A new worker has joined on a host that was away. */
	workerJoined(worker: string, host: string, pool: string): void;
	/** Maintenance in a wave has begun, while the given number of hosts were away for it, this one included. */
	maintenanceBegan(host: string, wave: number, away: number): void;
}

/**
 * The platform's host service as its page says: an order ends the worker on the host at once, another worker joins later, and an
 * order that was carried out before is accepted without any effect.
 */
export interface ModelHosts {
	list(): readonly ListedHost[];
	/** Carries out an order at once. */
	order(host: string, action: HostAction, now: number): HostOrderOutcome;
	/** Returns hosts that have been away for long enough. */
	advance(now: number): void;
	/** Ends the worker on a host without an order. The next one joins under a name of its own. */
	replaceWorker(host: string, now: number): void;
}

/** Creates hosts that are up. The worker on each of them has the name of the host and a number. */
export function createModelHosts(
	hosts: readonly { readonly name: string; readonly pool: string }[],
	observer: ModelHostObserver,
): ModelHosts {
	const byName = new Map<string, ModelHost>(
		hosts.map(({ name, pool }) => [
			name,
			{ name, pool, state: 'up', worker: workerName(name, 1), lives: 1, returnsAt: Infinity, maintainedIn: new Set() },
		]),
	);

	const leave = (host: ModelHost, state: HostState, returnsAt: number): void => {
		const { worker } = host;
		host.state = state;
		host.worker = '';
		host.returnsAt = returnsAt;
		if (worker !== '') {
			observer.workerEnded(worker);
		}
	};

	const isDone = (host: ModelHost, action: HostAction): boolean =>
		action.type === 'move' ? host.pool === action.pool : host.maintainedIn.has(action.wave);

	const begin = (host: ModelHost, action: HostAction): void => {
		if (action.type === 'move') {
			host.pool = action.pool;
			return;
		}
		host.maintainedIn.add(action.wave);
		const away = [...byName.values()].filter(({ state }) => state === 'upkeep').length + 1;
		observer.maintenanceBegan(host.name, action.wave, away);
	};

	return {
		list: () =>
			[...byName.values()].map(({ name, pool, state, worker }) => ({
				host: name,
				pool,
				state,
				dataCentre: 'east',
				labels: [],
				resources: harnessResources,
				worker,
			})),
		order: (name, action, now) => {
			const host = byName.get(name);
			if (host === undefined) {
				return { type: 'refused', reason: 'unknown-host' };
			}
			if (isDone(host, action)) {
				return { type: 'accepted' };
			}
			if (host.state !== 'up') {
				return { type: 'refused', reason: 'busy' };
			}
			begin(host, action);
			leave(host, STATES[action.type], now + AWAY_MS[action.type]);
			return { type: 'accepted' };
		},
		advance: now => {
			for (const host of byName.values()) {
				if (now >= host.returnsAt) {
					host.returnsAt = Infinity;
					host.state = 'up';
					host.lives++;
					host.worker = workerName(host.name, host.lives);
					observer.workerJoined(host.worker, host.name, host.pool);
				}
			}
		},
		replaceWorker: (name, now) => {
			const host = byName.get(name);
			if (host?.state === 'up') {
				leave(host, 'down', now + AWAY_MS.move);
			}
		},
	};
}

function workerName(host: string, life: number): string {
	return `${host}-worker-${life}`;
}
