import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { WorkerStatus } from '@chestnutwheel/platform/common/workerProtocol.js';
import type { AttemptOutcome, DispatchEffect, DispatchMessage, Grant, WorkClass } from '../common/dispatchMessages.js';
import { createDispatcher } from '../common/dispatcher.js';
import { createFakeWorker, type FakeWorker } from './fakeWorkers.js';
import { CELL, createFleetFixture } from './fleetFixture.js';
import type { Step } from './interleavingStep.js';

/** What a run did and what the checker found. */
export interface InterleavingResult {
	readonly violations: readonly string[];
	readonly starts: number;
	readonly refusedStarts: number;
	readonly leaderChanges: number;
}

const TEAMS = ['amber', 'birch', 'cedar', 'open'];
const QUEUES = ['letters', 'archive'];
const HOSTS = ['w1', 'w2', 'w3', 'w4', 's1'];
const PROMISE_MS = 1_500;
const HELD_MS = 1_470;
const SLOTS = 8;

interface Daemon {
	readonly dispatcher: ReturnType<typeof createDispatcher>;
	readonly inbox: DispatchMessage[];
	paused: boolean;
	told: FleetState;
	toldLeaving: ReadonlySet<string>;
}

/** A message or start on its way; it arrives, waits or is lost. */
interface InFlight {
	readonly mayBeLost: boolean;
	deliver(): void;
}

/** Runs steps over two dispatchers and the same fake workers and checks every grant and every start. */
export function runInterleaving(seed: number, steps: readonly Step[]): InterleavingResult {
	const random = createSeededRandom(seed);
	const violations: string[] = [];
	let now = 10_000;
	let state = createFleetFixture();
	const leaving = new Set<string>();
	const workers = new Map<string, FakeWorker>(
		HOSTS.map((host, index) => [host, createFakeWorker(host, CELL, index * 1e6, 0.9991 + 0.0004 * index)]),
	);
	const createDaemon = (index: number): Daemon => ({
		dispatcher: createDispatcher({ cell: CELL, random: createSeededRandom(seed + index) }),
		inbox: [],
		paused: false,
		told: state,
		toldLeaving: new Set(),
	});
	const daemons: readonly [Daemon, Daemon] = [createDaemon(1), createDaemon(2)];
	let inFlight: InFlight[] = [];
	/** Grants that have not been used up; a copy may still reach the worker. */
	const open = new Map<string, Grant>();
	const held = new Map<string, Grant>();
	/** The limit at the grant, and how many limits had been told to a daemon by then. */
	const limitAtGrant = new Map<string, { readonly limit: number; readonly index: number }>();
	/** Every limit told to a daemon, in order. */
	const limits: { readonly team: string; readonly limit: number }[] = [];
	const requests: { readonly id: string; readonly team: string }[] = [];
	const lateReports: { readonly grantId: string; readonly outcome: AttemptOutcome }[] = [];
	let term = 0;
	let leader: 0 | 1 = 0;
	let promisedUntil = 0;
	let silentEntry = false;
	const counts = { starts: 0, refusedStarts: 0, leaderChanges: 0 };
	let nextRequest = 0;

	const later = (deliver: () => void, mayBeLost = true): void => {
		inFlight.push({ mayBeLost, deliver });
	};
	const runningOf = (team: string): number =>
		[...workers.values()].reduce((sum, worker) => sum + worker.running().filter(task => task.team === team).length, 0);
	const startable = (filter: (grant: Grant) => boolean): number =>
		[...open.values()].filter(
			grant => filter(grant) && workers.get(grant.host)?.refusal(grant.permit, now) === undefined,
		).length;
	const violate = (what: string): void => {
		violations.push(`at ${now}: ${what}`);
	};

	const limitOf = (daemon: Daemon, team: string): number =>
		team === 'open' ? Infinity : (daemon.told.teams[team]?.limit ?? 0);

	const checkGrant = (grant: Grant, daemon: Daemon): void => {
		const { team } = grant.permit;
		const limit = limitOf(daemon, team);
		const count = runningOf(team) + startable(other => other.permit.team === team);
		if (count > limit) {
			violate(`${team} may have ${count} running, limit ${limit}`);
		}
		if (team !== 'open' && daemon.told.keys[`key-${team}`] === undefined) {
			violate(`${team} got a grant after its key was withdrawn`);
		}
		if (daemon.toldLeaving.has(grant.host)) {
			violate(`${grant.host} got a grant while it is leaving`);
		}
		const onHost = (workers.get(grant.host)?.running().length ?? 0) + startable(other => other.host === grant.host);
		if (onHost > SLOTS) {
			violate(`${grant.host} may have ${onHost} tasks`);
		}
	};

	const start = (grant: Grant): void => {
		const worker = workers.get(grant.host);
		if (worker === undefined || !open.has(grant.grantId) || !worker.reachable) {
			return;
		}
		open.delete(grant.grantId);
		if (worker.refusal(grant.permit, now) !== undefined) {
			counts.refusedStarts++;
			report(grant.grantId, 'not-started');
			return;
		}
		worker.lapse(now);
		worker.start(grant.permit, 'request');
		counts.starts++;
		const { team } = grant.permit;
		// A grant given before a limit was lowered may still start; one given before a limit was raised may start among more.
		const granted = limitAtGrant.get(grant.grantId) ?? { limit: 0, index: 0 };
		const told = limits.slice(granted.index).filter(entry => entry.team === team);
		const limit = Math.max(granted.limit, ...told.map(entry => entry.limit));
		if (runningOf(team) > limit) {
			violate(`${team} runs ${runningOf(team)} tasks, limit ${limit}`);
		}
		if (worker.running().length > SLOTS) {
			violate(`${grant.host} runs ${worker.running().length} tasks`);
		}
	};

	const noteLimits = (fleet: FleetState): void => {
		for (const { name, limit } of Object.values(fleet.teams)) {
			limits.push({ team: name, limit });
		}
	};

	const ask = (daemon: Daemon, host: string, fenceTerm: number | undefined): void => {
		const requestedAt = now;
		later(() => {
			const worker = workers.get(host);
			if (worker?.reachable !== true) {
				send(daemon, { type: 'worker-unreachable', host });
				return;
			}
			worker.lapse(now);
			if (fenceTerm !== undefined) {
				worker.fence(fenceTerm);
			}
			const status: WorkerStatus = worker.status(now);
			later(() => send(daemon, { type: 'worker-status', host, status, requestedAt }));
		});
	};

	const effects: {
		[Type in DispatchEffect['type']]?: (effect: Extract<DispatchEffect, { type: Type }>, daemon: Daemon) => void;
	} = {
		granted: ({ grant }, daemon) => {
			if (!limitAtGrant.has(grant.grantId)) {
				open.set(grant.grantId, grant);
				held.set(grant.grantId, grant);
				limitAtGrant.set(grant.grantId, { limit: limitOf(daemon, grant.permit.team), index: limits.length });
				checkGrant(grant, daemon);
			}
			later(() => start(grant), true);
		},
		'fence-worker': (effect, daemon) => ask(daemon, effect.host, effect.term),
		'ask-worker': (effect, daemon) => ask(daemon, effect.host, undefined),
		'ask-entry-host': ({ entryHost, term: asked }, daemon) =>
			later(() => {
				const grants = [...held.values()].filter(grant => grant.entryHost === entryHost);
				const silent = silentEntry && entryHost === 'e2';
				send(
					daemon,
					silent
						? { type: 'entry-silent', entryHost, term: asked }
						: { type: 'entry-report', entryHost, term: asked, grants },
				);
			}, false),
		'stop-task': ({ grantId, host }) =>
			later(() => {
				if (workers.get(host)?.end(grantId) === true) {
					report(grantId, 'failed');
				}
			}),
	};

	const act = (daemon: Daemon, message: DispatchMessage): void => {
		if (message.type === 'configuration') {
			daemon.told = message.state;
			noteLimits(message.state);
		}
		if (message.type === 'host-list') {
			daemon.toldLeaving = new Set(Object.keys(message.hosts).filter(host => message.hosts[host] !== 'live'));
		}
		const results = daemon.dispatcher.handle(message, now);
		// A tick that is due at once again would keep the task around the dispatcher spinning.
		if ((daemon.dispatcher.nextTickAt() ?? Infinity) <= now) {
			violate('the next tick is not in the future');
		}
		for (const effect of results) {
			(effects[effect.type] as ((effect: DispatchEffect, daemon: Daemon) => void) | undefined)?.(effect, daemon);
		}
	};

	function send(daemon: Daemon, message: DispatchMessage): void {
		if (daemon.paused) {
			daemon.inbox.push(message);
		} else {
			act(daemon, message);
		}
	}

	function report(grantId: string, outcome: AttemptOutcome): void {
		if (outcome !== 'unknown') {
			held.delete(grantId);
		}
		for (const daemon of daemons) {
			later(() => send(daemon, { type: 'finished', grantId, outcome }));
		}
	}

	const current = (): Daemon => daemons[leader];

	const request = (team: string, queue: string, workClass: WorkClass, ms: number): void => {
		const id = `q${++nextRequest}`;
		const isOpen = team === 'open';
		requests.push({ id, team });
		const message: DispatchMessage = {
			type: 'request',
			request: {
				requestId: id,
				entryHost: nextRequest % 2 === 0 ? 'e1' : 'e2',
				cell: CELL,
				team: isOpen ? undefined : team,
				keyId: isOpen ? undefined : `key-${team}`,
				queue: isOpen ? 'public' : queue,
				class: workClass,
				deadline: now + ms,
				avoidHosts: [],
				kind: 'request',
			},
		};
		send(current(), message);
		later(() => send(current(), message));
	};

	const configure = (next: FleetState): void => {
		state = { ...next, offset: state.offset + 1 };
		const told = state;
		daemons.forEach(daemon => send(daemon, { type: 'configuration', state: told }));
	};

	const listHosts = (): void => {
		const hosts = Object.fromEntries(HOSTS.map(host => [host, leaving.has(host) ? 'leaving' : 'live'] as const));
		daemons.forEach(daemon => send(daemon, { type: 'host-list', hosts }));
	};

	const renew = (): void => {
		if (!current().paused) {
			promisedUntil = now + PROMISE_MS;
			send(current(), { type: 'lease-held', term, until: now + HELD_MS });
		}
	};

	const pump = (): void => {
		for (let round = 0; round < 3; round++) {
			const items = inFlight;
			inFlight = [];
			for (const item of items) {
				const fate = random.next();
				if (fate < 0.75) {
					item.deliver();
				} else if (fate < 0.95 || !item.mayBeLost) {
					inFlight.push(item);
				}
			}
		}
	};

	const advance = (ms: number): void => {
		for (let left = ms; left > 0; left -= 500) {
			now += Math.min(left, 500);
			workers.forEach(worker => worker.lapse(now));
			renew();
			daemons.forEach(daemon => send(daemon, { type: 'tick' }));
			pump();
		}
	};

	const elect = (next: 0 | 1): void => {
		now = Math.max(now, promisedUntil + 1);
		workers.forEach(worker => worker.lapse(now));
		leader = next;
		term++;
		renew();
		pump();
	};

	const handlers: { [Type in Step['type']]: (step: Extract<Step, { type: Type }>) => void } = {
		request: step => request(TEAMS[step.team] ?? 'open', QUEUES[step.queue] ?? 'letters', step.class, step.ms),
		burst: step => {
			for (let index = 0; index < step.count; index++) {
				request(TEAMS[step.team] ?? 'open', 'letters', 'normal', 30_000);
			}
		},
		'cancel-wave': step => {
			for (const { id } of requests.slice(-step.count)) {
				send(current(), { type: 'cancel', requestId: id });
			}
		},
		end: step => {
			const tasks = [...workers.values()].flatMap(worker => worker.running().map(task => ({ worker, task })));
			for (let index = 0; index < Math.min(step.count, tasks.length); index++) {
				const chosen = tasks.splice(random.nextInteger(tasks.length), 1)[0];
				if (chosen === undefined) {
					continue;
				}
				const { taskId } = chosen.task;
				// An unknown outcome leaves the task running.
				if (step.report !== 'unknown') {
					chosen.worker.end(taskId);
				}
				if (step.report === 'late') {
					lateReports.push({ grantId: taskId, outcome: 'succeeded' });
				} else if (step.report !== 'lost') {
					report(taskId, step.report === 'unknown' ? 'unknown' : 'succeeded');
				}
				if (step.report === 'twice') {
					report(taskId, 'failed');
				}
			}
			if (step.report === 'now') {
				lateReports.splice(0).forEach(({ grantId, outcome }) => report(grantId, outcome));
			}
		},
		restart: step => workers.get(HOSTS[step.host] ?? '')?.restart(),
		cut: step => setReachable(step.host, false),
		join: step => setReachable(step.host, true),
		limit: step => {
			const name = TEAMS[step.team] ?? '';
			const team = state.teams[name];
			if (team !== undefined) {
				configure({ ...state, teams: { ...state.teams, [name]: { ...team, limit: step.limit } } });
			}
		},
		'withdraw-key': step => {
			const id = `key-${TEAMS[step.team] ?? ''}`;
			configure({ ...state, keys: Object.fromEntries(Object.entries(state.keys).filter(([key]) => key !== id)) });
		},
		'restore-key': step => {
			const id = `key-${TEAMS[step.team] ?? ''}`;
			configure({ ...state, keys: { ...state.keys, [id]: { id, team: TEAMS[step.team] ?? '', sha256: '' } } });
		},
		leaving: step => {
			leaving.add(HOSTS[step.host] ?? '');
			listHosts();
		},
		live: step => {
			leaving.delete(HOSTS[step.host] ?? '');
			listHosts();
		},
		advance: step => advance(step.ms),
		'change-leader': step => {
			counts.leaderChanges++;
			silentEntry = step.entrySilent;
			current().paused = step.pauseOld;
			elect(leader === 0 ? 1 : 0);
		},
		resume: () => {
			for (const daemon of daemons.filter(other => other.paused)) {
				daemon.paused = false;
				daemon.inbox.splice(0).forEach(message => act(daemon, message));
			}
		},
	};

	function setReachable(index: number, reachable: boolean): void {
		const worker = workers.get(HOSTS[index] ?? '');
		if (worker !== undefined) {
			worker.reachable = reachable;
		}
	}

	configure(state);
	listHosts();
	elect(0);
	advance(500);
	for (const step of steps) {
		(handlers[step.type] as (step: Step) => void)(step);
		pump();
	}
	return { violations, ...counts };
}
