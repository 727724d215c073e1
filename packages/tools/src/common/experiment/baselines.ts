import type { FleetState, Host } from '@chestnutwheel/configuration/common/fleetState.js';
import type {
	DispatchEffect,
	Dispatcher,
	DispatchMessage,
	PlacementRequest,
} from '@chestnutwheel/dispatch/common/dispatchMessages.js';

/** The plain policies that the dispatcher is compared with. */
export type BaselineName = 'static-split' | 'first-come' | 'fewest-running';

interface Waiting {
	readonly request: PlacementRequest;
	/** Worker whose own queue holds the request, for `fewest-running`. */
	readonly host: string | undefined;
}

interface Running {
	readonly host: string;
	readonly team: string;
}

/**
 * A dispatcher without leases, classes or health. It knows the same hosts, limits and queue bounds.
 * `static-split` caps each team at its part of the slots; `first-come` serves the oldest request that fits;
 * `fewest-running` assigns each request on arrival to the worker with the least work, where it waits.
 */
export function createBaseline(name: BaselineName): Dispatcher {
	let state: FleetState | undefined;
	let waiting: Waiting[] = [];
	const running = new Map<string, Running>();
	const byHost = new Map<string, number>();
	const byTeam = new Map<string, number>();
	const queuedAt = new Map<string, number>();
	const down = new Set<string>();
	const caps = new Map<string, number>();
	let counter = 0;

	const hostsOf = (queue: string): readonly Host[] =>
		(state?.queues[queue]?.pools ?? []).flatMap(pool =>
			Object.values(state?.hosts ?? {}).filter(host => host.pool === pool && !down.has(host.name)),
		);
	const freeOf = (host: Host): number => host.slots - (byHost.get(host.name) ?? 0);

	/** Most tasks by team: the limit, and for `static-split` the team's part of the slots. */
	const setCaps = (next: FleetState): void => {
		const teams = Object.values(next.teams);
		const share = teams.reduce((sum, team) => sum + team.share, 0);
		const slots = Object.values(next.hosts).reduce((sum, host) => sum + host.slots, 0);
		for (const team of teams) {
			const split = Math.max(1, Math.floor((slots * team.share) / share));
			caps.set(team.name, Math.min(team.limit, name === 'static-split' ? split : Infinity));
		}
	};

	/** The first pool's host with the fewest running tasks; `undefined` when all are full. */
	const placeFor = (item: Waiting): Host | undefined => {
		if (item.host !== undefined) {
			const own = down.has(item.host) ? undefined : state?.hosts[item.host];
			return own !== undefined && freeOf(own) > 0 ? own : undefined;
		}
		const hosts = hostsOf(item.request.queue).filter(host => freeOf(host) > 0);
		const pool = hosts[0]?.pool;
		return hosts.filter(host => host.pool === pool).sort((left, right) => freeOf(right) - freeOf(left))[0];
	};

	const assign = (request: PlacementRequest): string | undefined => {
		const load = (host: Host): number => (byHost.get(host.name) ?? 0) + (queuedAt.get(host.name) ?? 0);
		const [best] = [...hostsOf(request.queue)].sort((left, right) => load(left) - load(right));
		return best?.name;
	};

	const schedule = (now: number, effects: DispatchEffect[]): void => {
		/** Queues and workers that turned out to be full in this pass. */
		const blocked = new Set<string>();
		const kept: Waiting[] = [];
		for (const item of waiting) {
			const { request } = item;
			const team = request.team ?? '';
			const place = `${request.queue}/${item.host ?? ''}`;
			const drop = (): void => {
				if (item.host !== undefined) {
					queuedAt.set(item.host, (queuedAt.get(item.host) ?? 1) - 1);
				}
			};
			if (request.deadline <= now) {
				const { requestId, entryHost } = request;
				effects.push({ type: 'refused', requestId, entryHost, kind: 'deadline-passed', reason: 'baseline' });
				drop();
				continue;
			}
			const mayRun = !blocked.has(place) && (byTeam.get(team) ?? 0) < (caps.get(team) ?? 0);
			const host = mayRun ? placeFor(item) : undefined;
			if (host === undefined) {
				if (mayRun) {
					blocked.add(place);
				}
				kept.push(item);
				continue;
			}
			drop();
			const grantId = `baseline.${++counter}`;
			running.set(grantId, { host: host.name, team });
			byHost.set(host.name, (byHost.get(host.name) ?? 0) + 1);
			byTeam.set(team, (byTeam.get(team) ?? 0) + 1);
			const { requestId, entryHost, queue, cell } = request;
			const permit = {
				taskId: grantId,
				cell,
				team,
				queue,
				term: 1,
				boot: 'first',
				startByMs: now + 1e6,
				leaseMs: 60_000,
			};
			const { address, rack } = host;
			effects.push({
				type: 'granted',
				grant: { grantId, requestId, entryHost, host: host.name, address, rack, permit },
				waitedMs: 0,
			});
		}
		waiting = kept;
	};

	const handlers: {
		[Type in DispatchMessage['type']]?: (
			message: Extract<DispatchMessage, { type: Type }>,
			effects: DispatchEffect[],
		) => void;
	} = {
		configuration: message => {
			state = message.state;
			setCaps(message.state);
		},
		'host-list': ({ hosts }) => {
			for (const [host, listed] of Object.entries(hosts)) {
				if (listed !== 'live') {
					down.add(host);
				}
			}
			// Work that waited at a lost worker is assigned again.
			waiting = waiting.map(item =>
				item.host !== undefined && down.has(item.host) ? { ...item, host: assign(item.request) } : item,
			);
		},
		'worker-unreachable': ({ host }) => {
			down.add(host);
		},
		request: ({ request }, effects) => {
			const bound = state?.queues[request.queue]?.maximumWaiting ?? 0;
			if (waiting.filter(item => item.request.queue === request.queue).length >= bound) {
				const { requestId, entryHost } = request;
				effects.push({ type: 'refused', requestId, entryHost, kind: 'queue-full', reason: 'baseline' });
				return;
			}
			const host = name === 'fewest-running' ? assign(request) : undefined;
			if (host !== undefined) {
				queuedAt.set(host, (queuedAt.get(host) ?? 0) + 1);
			}
			waiting.push({ request, host });
		},
		finished: ({ grantId }) => {
			const ended = running.get(grantId);
			if (ended !== undefined) {
				running.delete(grantId);
				byHost.set(ended.host, (byHost.get(ended.host) ?? 1) - 1);
				byTeam.set(ended.team, (byTeam.get(ended.team) ?? 1) - 1);
			}
		},
	};

	return {
		handle: (message, now) => {
			const effects: DispatchEffect[] = [];
			(handlers[message.type] as ((message: DispatchMessage, effects: DispatchEffect[]) => void) | undefined)?.(
				message,
				effects,
			);
			schedule(now, effects);
			return effects;
		},
		nextTickAt: () => undefined,
		overview: () => ({
			cell: 'baseline',
			ready: true,
			term: 1,
			waitingByQueue: {},
			runningByTeam: Object.fromEntries(byTeam),
			slotMsByTeam: {},
			hosts: {},
		}),
	};
}
