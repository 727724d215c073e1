import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { cannotRun, type FailedAttempt } from '@chestnutwheel/dispatch/common/cannotRun.js';
import type {
	AttemptOutcome,
	DispatchEffect,
	Dispatcher,
	DispatchMessage,
	Grant,
} from '@chestnutwheel/dispatch/common/dispatchMessages.js';
import { DESK_CELL, HOP_MS, type DeskShape } from './deskShape.js';
import { createEventQueue } from './eventQueue.js';
import type { Measures } from './measures.js';
import { createReplayWorker, type ReplayWorker } from './replayWorkers.js';
import type { Scenario } from './scenarios.js';
import type { TraceItem } from './workload.js';

/** What one replay needs. */
export interface ReplayOptions {
	readonly shape: DeskShape;
	readonly scenario: Scenario;
	readonly trace: readonly TraceItem[];
	readonly dispatcher: Dispatcher;
	readonly measures: Measures;
	readonly seed: number;
	/** Milliseconds of processor time, to charge decisions; injected so that this folder stays without Node. */
	readonly stopwatch: () => number;
}

interface Work {
	readonly item: TraceItem;
	readonly entryHost: string;
	attempts: number;
	failures: FailedAttempt[];
	avoid: string[];
	startedAt: number | undefined;
	/** Work kept in the last checkpoint. */
	doneMs: number;
}

const LEASE_MS = 1_470;
const RENEW_MS = 500;
const SAMPLE_MS = 500;
/** Lag of the host list behind a failure. */
const LIST_LAG_MS = 2_000;
const CALL_LIMIT_MS = 400;
const FAST_FAILURE_MS = 20;
/** Workers keep a checkpoint of a job this often; a stopped job loses the work since then. */
const CHECKPOINT_MS = 10_000;
const STOP_MS = 200;
const MAXIMUM_ATTEMPTS = 3;
const DRAIN_MS = 3_000;

/** Replays a trace through a dispatcher and measures what the callers and the workers see. */
export function replay(options: ReplayOptions): void {
	const { shape, scenario, trace, dispatcher, measures, stopwatch } = options;
	const random = createSeededRandom(options.seed + 1);
	const events = createEventQueue();
	const workers = new Map<string, ReplayWorker>(
		Object.values(shape.state.hosts).map(host => [host.name, createReplayWorker(host.name, host.slots)]),
	);
	const works = new Map<string, Work>();
	/** Work by the grant under which it runs. */
	const byGrant = new Map<string, Work>();
	let state = shape.state;
	let tickAt = Infinity;

	const send = (message: DispatchMessage): void => {
		const before = stopwatch();
		const effects = dispatcher.handle(message, events.now);
		measures.decision(message.type, stopwatch() - before);
		for (const effect of effects) {
			(handlers[effect.type] as ((effect: DispatchEffect) => void) | undefined)?.(effect);
		}
		const next = dispatcher.nextTickAt() ?? Infinity;
		if (next < tickAt && next < Infinity) {
			tickAt = next;
			events.at(next, () => {
				tickAt = Infinity;
				send({ type: 'tick' });
			});
		}
	};

	const ask = (work: Work): void => {
		const { item } = work;
		measures.waits(item);
		send({
			type: 'request',
			request: {
				requestId: `${item.id}#${work.attempts}`,
				entryHost: work.entryHost,
				cell: DESK_CELL,
				team: item.team,
				keyId: item.team,
				queue: item.queue,
				class: item.class,
				deadline: item.at + item.withinMs,
				avoidHosts: work.avoid,
				kind: item.kind,
			},
		});
	};

	/** Reports the end of an attempt to the leader; some reports are late or lost. */
	const report = (grantId: string, outcome: AttemptOutcome): void => {
		const isLate = random.next() < (scenario.lateEnds ?? 0);
		if (isLate && random.next() < 0.1) {
			return;
		}
		const delay = HOP_MS + (isLate ? random.next() * 2_000 : 0);
		events.at(events.now + delay, () => send({ type: 'finished', grantId, outcome }));
	};

	const retry = (work: Work, grant: Grant): void => {
		work.attempts++;
		measures.retried();
		work.avoid = [...work.avoid, grant.host, grant.rack];
		const { item } = work;
		const isJob = item.kind === 'job';
		const givenUp = isJob ? cannotRun(work.failures) : work.attempts >= MAXIMUM_ATTEMPTS;
		if (givenUp || events.now >= item.at + item.withinMs) {
			measures.failed(item);
		} else {
			events.at(events.now + 25 + random.next() * 75, () => ask(work));
		}
	};

	const endTask = (work: Work, grant: Grant, worker: ReplayWorker, outcome: AttemptOutcome): void => {
		if (!worker.running.delete(grant.grantId)) {
			return;
		}
		byGrant.delete(grant.grantId);
		measures.ended(work.item, events.now);
		report(grant.grantId, outcome);
		if (outcome === 'succeeded') {
			measures.completed(work.item);
		} else {
			work.failures.push({ host: grant.host, rack: grant.rack });
			retry(work, grant);
		}
	};

	/** The worker ends a task at the end of its lease, and the caller has stopped waiting. */
	const lapseTask = (work: Work, grant: Grant, worker: ReplayWorker): void => {
		if (worker.running.delete(grant.grantId)) {
			byGrant.delete(grant.grantId);
			measures.ended(work.item, events.now);
			measures.lapsed();
			report(grant.grantId, 'unknown');
		}
	};

	const startTask = (work: Work, grant: Grant): void => {
		const worker = workers.get(grant.host);
		const { item } = work;
		if (worker?.up !== true) {
			// The connection is not answered: the entry host gives up after its time-out.
			events.at(events.now + CALL_LIMIT_MS, () => {
				byGrant.delete(grant.grantId);
				send({ type: 'worker-unreachable', host: grant.host });
				report(grant.grantId, 'not-started');
				retry(work, grant);
			});
			return;
		}
		worker.running.set(grant.grantId, grant.permit);
		measures.started(item, events.now);
		work.startedAt = events.now;
		const fails = worker.failsEverything || item.fails;
		const runMs = worker.failsEverything ? FAST_FAILURE_MS : item.runMs - work.doneMs;
		if (item.kind === 'request' && runMs > grant.permit.leaseMs) {
			events.at(events.now + grant.permit.leaseMs, () => lapseTask(work, grant, worker));
			return;
		}
		events.at(events.now + runMs, () => endTask(work, grant, worker, fails ? 'failed' : 'succeeded'));
	};

	const question = (host: string, term: number | undefined): void => {
		const requestedAt = events.now;
		const worker = workers.get(host);
		if (worker?.up !== true) {
			events.at(events.now + CALL_LIMIT_MS, () => send({ type: 'worker-unreachable', host }));
			return;
		}
		events.at(events.now + HOP_MS, () => {
			worker.term = Math.max(worker.term, term ?? 0);
			const status = worker.status(events.now);
			events.at(events.now + HOP_MS, () => send({ type: 'worker-status', host, status, requestedAt }));
		});
	};

	const stopJob = (grantId: string): void => {
		const work = byGrant.get(grantId);
		const worker = [...workers.values()].find(other => other.running.has(grantId));
		if (work === undefined || worker === undefined) {
			return;
		}
		worker.running.delete(grantId);
		byGrant.delete(grantId);
		const ranMs = events.now - (work.startedAt ?? events.now);
		const lostMs = ranMs % CHECKPOINT_MS;
		work.doneMs += ranMs - lostMs;
		measures.checkpointed(work.item, lostMs + STOP_MS, events.now);
		work.attempts++;
		send({ type: 'finished', grantId, outcome: 'not-started' });
		ask(work);
	};

	const handlers: { [Type in DispatchEffect['type']]?: (effect: Extract<DispatchEffect, { type: Type }>) => void } = {
		granted: ({ grant }) => {
			const work = works.get(grant.requestId.split('#')[0] ?? '');
			if (work === undefined || byGrant.has(grant.grantId)) {
				return;
			}
			byGrant.set(grant.grantId, work);
			measures.granted(work.item);
			events.at(events.now + 2 * HOP_MS, () => startTask(work, grant));
		},
		refused: effect => {
			const work = works.get(effect.requestId.split('#')[0] ?? '');
			if (work !== undefined) {
				measures.refused(work.item, effect.kind);
			}
		},
		'fence-worker': ({ host, term }) => question(host, term),
		'ask-worker': ({ host }) => question(host, undefined),
		'ask-entry-host': ({ entryHost, term }) => {
			events.at(events.now + HOP_MS, () => send({ type: 'entry-report', entryHost, term, grants: [] }));
		},
		'checkpoint-job': ({ grantId }) => events.at(events.now + HOP_MS + STOP_MS, () => stopJob(grantId)),
		'host-set-aside': () => measures.setAside(),
		'move-host': ({ host, to }) => {
			measures.moved(events.now);
			events.at(events.now + DRAIN_MS, () => {
				const known = state.hosts[host];
				if (known !== undefined) {
					state = { ...state, offset: state.offset + 1, hosts: { ...state.hosts, [host]: { ...known, pool: to } } };
					measures.configured(state);
					send({ type: 'configuration', state });
				}
			});
		},
	};

	const loseRack = (): void => {
		const rack = 'r2';
		const lost = Object.values(state.hosts).filter(host => host.rack === rack);
		for (const { name } of lost) {
			const worker = workers.get(name);
			if (worker === undefined) {
				continue;
			}
			worker.up = false;
			measures.hostDown(name);
			for (const [grantId] of worker.running) {
				const work = byGrant.get(grantId);
				byGrant.delete(grantId);
				if (work !== undefined) {
					measures.lost(work.item, events.now);
					// The entry host sees the silence after 2 s.
					events.at(events.now + 2_000, () => report(grantId, 'unknown'));
				}
			}
			worker.running.clear();
		}
		events.at(events.now + LIST_LAG_MS, () => {
			const down = new Set(lost.map(host => host.name));
			const hosts = Object.fromEntries(
				[...workers.keys()].map(name => [name, down.has(name) ? 'down' : 'live'] as const),
			);
			send({ type: 'host-list', hosts });
		});
	};

	const renew = (): void => {
		send({ type: 'lease-held', term: 1, until: events.now + LEASE_MS });
		events.at(events.now + RENEW_MS, renew);
	};
	const sample = (): void => {
		measures.sample(events.now);
		events.at(events.now + SAMPLE_MS, sample);
	};

	measures.configured(state);
	send({ type: 'configuration', state });
	events.at(0, renew);
	events.at(SAMPLE_MS, sample);
	if (scenario.failingWorker === true) {
		const failing = [...workers.values()][1];
		events.at(10_000, () => {
			if (failing !== undefined) {
				failing.failsEverything = true;
			}
		});
	}
	if (scenario.rackLostAt !== undefined) {
		events.at(scenario.rackLostAt, loseRack);
	}
	const entryHosts = Object.keys(state.entryHosts);
	trace.forEach((item, index) => {
		const entryHost = entryHosts[index % entryHosts.length] ?? '';
		const work: Work = { item, entryHost, attempts: 0, failures: [], avoid: [], startedAt: undefined, doneMs: 0 };
		works.set(item.id, work);
		// Traces begin after the takeover. The caller's way to the entry host, and from there to the leader.
		events.at(item.at + shape.clientMs + HOP_MS, () => ask(work));
	});
	events.run(scenario.durationMs);
}
