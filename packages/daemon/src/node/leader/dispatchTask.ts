import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type {
	AttemptOutcome,
	DispatchEffect,
	DispatchMessage,
	DispatchOverview,
	PlacementRequest,
} from '@chestnutwheel/dispatch/common/dispatchMessages.js';
import { createDispatcher } from '@chestnutwheel/dispatch/common/dispatcher.js';
import type { WorkerClient } from '@chestnutwheel/platform/common/workerClient.js';
import type { WorkerStatus } from '@chestnutwheel/platform/common/workerProtocol.js';
import type { Logger } from 'pino';
import type { WorkResponse } from '../../common/peerProtocol.js';
import type { CellCalls } from '../peers/cellCalls.js';

/** Owns the dispatcher of one cell: its timer, its questions to workers and entry hosts, and its answers. */
export interface DispatchTask {
	/** Gives the dispatcher one message and carries out what it wants. */
	send(message: DispatchMessage): void;
	/**
	 * Asks for a grant and waits for a decision, at most until the deadline.
	 * @returns `waiting` when there was no decision by then
	 */
	ask(request: PlacementRequest, waitUntil: number): Promise<WorkResponse>;
	/** Asks for a grant for a job, however long it takes; `decided` is called once unless the request is cancelled. */
	place(request: PlacementRequest, decided: (response: WorkResponse) => void): void;
	/** Drops a request that has no grant yet. */
	cancel(requestId: string): void;
	finished(grantId: string, outcome: AttemptOutcome): void;
	overview(): DispatchOverview;
}

/** What the rest of the leader does for the dispatcher. */
export interface DispatchTaskHooks {
	readonly workerAnswered: (host: string, status: WorkerStatus, requestedAt: number) => void;
	readonly workerSilent: (host: string, requestedAt: number) => void;
	readonly checkpointJob: (grantId: string, reason: string) => void;
	readonly stopTask: (grantId: string, host: string) => void;
	readonly setAside: (host: string, isSetAside: boolean) => void;
	readonly moveHost: (host: string, from: string, to: string) => void;
	readonly explain: (subject: string, reason: string, details: Readonly<Record<string, string | number>>) => void;
}

/** What the task needs. */
export interface DispatchTaskOptions {
	readonly cell: string;
	readonly workers: WorkerClient;
	readonly calls: CellCalls;
	readonly clock: Clock;
	readonly random: SeededRandom;
	readonly counters: Counters;
	readonly logger: Logger;
	readonly hooks: DispatchTaskHooks;
	/** Time for a worker or an entry host to answer during a failover. */
	readonly answerWithinMs: number;
	/** A term seen at a worker. */
	readonly observeTerm: (term: number) => void;
}

type EffectHandlers = {
	readonly [Type in DispatchEffect['type']]: (effect: Extract<DispatchEffect, { type: Type }>) => void;
};

/** Creates the task; its timer stops when the signal is aborted. */
export function createDispatchTask(options: DispatchTaskOptions, signal: AbortSignal): DispatchTask {
	const { cell, workers, calls, clock, counters, logger, hooks } = options;
	const dispatcher = createDispatcher({ cell, random: options.random });
	const waiters = new Map<string, (response: WorkResponse) => void>();
	let timer: NodeJS.Timeout | undefined;
	let timerAt = Infinity;

	const resolveWaiter = (requestId: string, response: WorkResponse): void => {
		waiters.get(requestId)?.(response);
	};

	const askWorker = async (host: string, question: () => Promise<WorkerStatus>): Promise<void> => {
		const requestedAt = clock.now();
		try {
			const status = await question();
			options.observeTerm(status.terms[cell] ?? 0);
			send({ type: 'worker-status', host, status, requestedAt });
			hooks.workerAnswered(host, status, requestedAt);
		} catch (error) {
			counters.add('worker_questions_failed_total', { cell });
			logger.debug({ host, reason: errorMessageOf(error) }, 'the worker did not answer');
			send({ type: 'worker-unreachable', host });
			hooks.workerSilent(host, requestedAt);
		}
	};

	const askEntryHost = async (entryHost: string, term: number): Promise<void> => {
		try {
			const { grants } = await calls.toEntryHost(entryHost, 'work.held', { cell, term }, options.answerWithinMs);
			send({ type: 'entry-report', entryHost, term, grants });
		} catch {
			send({ type: 'entry-silent', entryHost, term });
		}
	};

	const effectHandlers: EffectHandlers = {
		granted: ({ grant, waitedMs }) => {
			counters.add('grants_total', { cell });
			counters.add('grant_wait_milliseconds_total', { cell }, Math.round(waitedMs));
			resolveWaiter(grant.requestId, { state: 'granted', grant });
		},
		refused: ({ requestId, kind, reason }) => {
			counters.add('placements_refused_total', { cell, kind });
			resolveWaiter(requestId, { state: 'refused', kind, reason });
		},
		'fence-worker': ({ host, address, term }) => {
			const deadline = AbortSignal.timeout(options.answerWithinMs);
			void askWorker(host, () => workers.fence(address, cell, term, deadline));
		},
		'ask-worker': ({ host, address }) => {
			void askWorker(host, () => workers.status(address, signal));
		},
		'ask-entry-host': ({ entryHost, term }) => {
			void askEntryHost(entryHost, term);
		},
		'checkpoint-job': ({ grantId, reason }) => hooks.checkpointJob(grantId, reason),
		'stop-task': ({ grantId, host }) => hooks.stopTask(grantId, host),
		'host-set-aside': ({ host, reason }) => {
			logger.info({ host, reason }, 'set the host aside');
			counters.add('hosts_set_aside_total', { cell });
			hooks.setAside(host, true);
			hooks.explain(`host/${host}`, reason, { cell });
		},
		'host-taken-back': ({ host }) => {
			logger.info({ host }, 'took the host back');
			hooks.setAside(host, false);
		},
		'move-host': ({ host, from, to, reason }) => {
			hooks.explain(`host/${host}`, reason, { from, to });
			hooks.moveHost(host, from, to);
		},
		explained: ({ subject, reason, details }) => hooks.explain(subject, reason, details),
	};

	const schedule = (): void => {
		const at = dispatcher.nextTickAt() ?? Infinity;
		if (at === timerAt && timer !== undefined) {
			return;
		}
		clearTimeout(timer);
		timerAt = at;
		timer = undefined;
		if (at !== Infinity && !signal.aborted) {
			timer = setTimeout(
				() => {
					timer = undefined;
					send({ type: 'tick' });
				},
				Math.max(1, Math.ceil(at - clock.now())),
			);
		}
	};

	const send = (message: DispatchMessage): void => {
		if (signal.aborted) {
			return;
		}
		if (message.type === 'lease-lost') {
			// The dispatcher forgets what waits; the entry hosts ask the next leader.
			for (const resolve of [...waiters.values()]) {
				resolve({ state: 'refused', kind: 'no-leader', reason: 'this daemon has lost the lease of the cell' });
			}
		}
		for (const effect of dispatcher.handle(message, clock.now())) {
			(effectHandlers[effect.type] as (effect: DispatchEffect) => void)(effect);
		}
		schedule();
	};

	signal.addEventListener('abort', () => clearTimeout(timer));

	return {
		send,
		ask: (request, waitUntil) =>
			new Promise(resolve => {
				const { requestId } = request;
				const timeout = setTimeout(() => finish({ state: 'waiting' }), Math.max(0, waitUntil - clock.now()));
				const finish = (response: WorkResponse): void => {
					clearTimeout(timeout);
					if (waiters.get(requestId) === finish) {
						waiters.delete(requestId);
					}
					resolve(response);
				};
				// A repeated question takes the place of an earlier one whose connection may be dead.
				waiters.get(requestId)?.({ state: 'waiting' });
				waiters.set(requestId, finish);
				send({ type: 'request', request });
			}),
		place: (request, decided) => {
			const { requestId } = request;
			waiters.set(requestId, response => {
				waiters.delete(requestId);
				decided(response);
			});
			send({ type: 'request', request });
		},
		cancel: requestId => {
			waiters.delete(requestId);
			send({ type: 'cancel', requestId });
		},
		finished: (grantId, outcome) => send({ type: 'finished', grantId, outcome }),
		overview: () => dispatcher.overview(clock.now()),
	};
}
