import { setMaxListeners } from 'node:events';
import type { Clock, MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import { createEngine, type Engine } from '@chestnutwheel/engine/common/engine.js';
import type { EngineEffect, DecisionLogger } from '@chestnutwheel/engine/common/engineMessages.js';
import type { WorkerFeed } from '@chestnutwheel/ports/common/feeds.js';
import type { AdviceService, HostService, WaveStatusPublisher } from '@chestnutwheel/ports/common/hostService.js';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import type { WorkerService } from '@chestnutwheel/ports/common/workerService.js';
import type { CoordinatorSettings } from '../../common/coordinatorSettings.js';
import type { LeaderIdentity } from '../../common/peerProtocol.js';
import { parseTaskName } from '@chestnutwheel/engine/common/jobs/taskName.js';
import { JOURNAL_STALL_MS } from '@chestnutwheel/engine/common/jobs/journalStall.js';
import { createSkippedRecordLog } from '../../common/skippedRecordLog.js';
import { pollIntervalMs } from '../../common/pollInterval.js';
import { createTimerLag } from '../../common/timerLag.js';
import type { TermProof } from '../../common/termProof.js';
import { createJournalWriter, type JournalWriter } from '../journal/journalWriter.js';
import { takeOverJournal, type BlockedListener } from '../journal/readJournal.js';
import type { PlanCache } from '../plan/planCache.js';
import { followOperatorRequests } from './operatorRequests.js';
import { createHostOrderTask } from './hostOrderTask.js';
import { createWorkerOrders } from './workerOrders.js';
import { createWorkerPoller } from './workerPoller.js';
import { runWorkerFeed } from './workerFeedTask.js';

/** Minimum interval between two ticks. The journal stores one batch in about this time, so that more would only queue. */
const MINIMUM_TICK_INTERVAL_MS = 10;

/** Options of {@link beginTerm}. */
export interface LeaderTermOptions {
	readonly settings: CoordinatorSettings;
	readonly log: LogService;
	readonly workers: WorkerService;
	readonly workerFeed: WorkerFeed;
	readonly hosts: HostService;
	readonly waveReports: WaveStatusPublisher;
	readonly advice: AdviceService;
	readonly planCache: PlanCache;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly logDecision: DecisionLogger;
	readonly proof: TermProof;
	/** Called with `true` when the log does not serve the takeover of the journal, with `false` when it does. */
	readonly onBlocked: BlockedListener;
	/** Called once, when the first start order of the term is sent. */
	readonly onFirstStart: () => void;
}

/** Term in which this daemon leads. */
export interface LeaderTerm {
	readonly identity: LeaderIdentity;
	/** Newest confirmation of the term by the store. */
	readonly proof: Pick<TermProof, 'ageMs'>;
	readonly engine: Engine;
	/** Resolves when a batch is stored. Rejects when the term ends before. */
	whenStored(batch: number): Promise<void>;
	/**
	 * Resolves with `stored` when the acceptance of a job is stored, and with `withdrawn` when the journal stalled before any
	 * record of the job can have been stored; the job then never runs. Rejects when the term ends before.
	 * @param batch batch that contains the acceptance
	 */
	whenJobStored(job: string, batch: number): Promise<'stored' | 'withdrawn'>;
	/**
	 * Resolves with `confirmed` once the store has confirmed the term by a call that was sent at the given time or later, so that
	 * no successor had begun before; with `not-served` if it has not within the given time, and with `ended` if the term ends.
	 */
	whenConfirmed(since: MonotonicTime, withinMs: number): Promise<'confirmed' | 'not-served' | 'ended'>;
	/** Writes the events and executes the effects that a call of the engine has produced. */
	flush(): void;
	/** Resolves with the reason when the term is lost. */
	readonly lost: Promise<string>;
	readonly journal: JournalWriter;
	/** Stops orders and polls at once. The journal continues to be written. */
	quiesce(): void;
}

interface StorageWaiter {
	readonly batch: number;
	/** Job whose acceptance the batch contains; `undefined` if the waiter waits for the batch as a whole. */
	readonly job: string | undefined;
	readonly resolve: (outcome: 'stored' | 'withdrawn') => void;
	readonly reject: (error: Error) => void;
}

/**
 * Begins a term: takes over the journal, replays it and starts the engine.
 * @throws `log-unavailable` when the log does not answer, `not-ready` when a successor has fenced off this term
 */
export async function beginTerm(
	identity: LeaderIdentity,
	options: LeaderTermOptions,
	signal: AbortSignal,
): Promise<LeaderTerm> {
	const { settings, log, clock, counters, logDecision, planCache, proof } = options;
	const createTermEngine = (): Engine =>
		createEngine({ settings: settings.engine, counters, logDecision, wallNow: () => clock.wallNow() });
	let replayingEngine = createTermEngine();
	const beganAt = clock.now();
	const journalRead = await takeOverJournal(
		log,
		identity.term,
		clock,
		{
			onEvent: (event, offset) => replayingEngine.replay(event, offset, clock.now()),
			onRestart: expired => {
				logDecision('journal-read-restarted', { term: identity.term, ...expired });
				replayingEngine = createTermEngine();
			},
			onSkipped: createSkippedRecordLog({ term: identity.term, counters, logDecision }),
			onBlocked: options.onBlocked,
		},
		signal,
	);
	const engine = replayingEngine;
	logDecision('journal-read', { term: identity.term, ...journalRead, tookMs: Math.round(clock.now() - beganAt) });

	let loseTerm: (reason: string) => void = () => undefined;
	const lost = new Promise<string>(resolve => {
		loseTerm = resolve;
	});
	let waiters: StorageWaiter[] = [];
	let pendingEffects: { readonly batch: number; readonly effects: readonly EngineEffect[] }[] = [];
	let hasSentStart = false;
	let storedBatch = 0;
	let lastAddedBatch = 0;
	let timer: NodeJS.Timeout | undefined;
	let lastTickAt = -Infinity;
	let nextTickAt = Infinity;

	const journal = createJournalWriter(
		{
			log,
			term: identity.term,
			proof,
			clock,
			counters,
			appendEveryMs: settings.appendEveryMs,
			limits: settings.logLimits,
			logDecision,
			knownLatencyMs: journalRead.appendLatencyMs,
			onStored: (batch, offset) => {
				storedBatch = batch;
				engine.batchStored(batch, offset);
				const served = waiters.filter(waiter => waiter.batch <= batch);
				waiters = waiters.filter(waiter => waiter.batch > batch);
				served.forEach(({ resolve }) => resolve('stored'));
				while (pendingEffects[0] !== undefined && pendingEffects[0].batch <= batch) {
					pendingEffects.shift()?.effects.forEach(execute);
				}
				flush();
			},
			onFenced: loseTerm,
		},
		signal,
	);
	const waitForBatch = (batch: number, job: string | undefined): Promise<'stored' | 'withdrawn'> =>
		batch <= storedBatch
			? Promise.resolve('stored')
			: new Promise((resolve, reject) => waiters.push({ batch, job, resolve, reject }));
	const whenStored = async (batch: number): Promise<void> => {
		await waitForBatch(batch, undefined);
	};

	const whenConfirmed: LeaderTerm['whenConfirmed'] = async (since, withinMs) => {
		const waiting = new AbortController();
		const ended = AbortSignal.any([signal, waiting.signal]);
		const isConfirmed = await Promise.race([
			proof.whenConfirmed(since, ended),
			delay(withinMs, ended).then(() => false),
		]);
		waiting.abort();
		return signal.aborted ? 'ended' : isConfirmed ? 'confirmed' : 'not-served';
	};

	/** Refuses the submissions of which no record can have been stored, so that their callers need not wait. */
	const withdrawUnstoredJobs = (now: number): void => {
		const withdrawn = new Set<string>();
		for (const { job } of waiters) {
			if (job !== undefined && !withdrawn.has(job) && journal.withdraw(job)) {
				engine.withdraw(job, now);
				withdrawn.add(job);
			}
		}
		if (withdrawn.size === 0) {
			return;
		}
		pendingEffects = pendingEffects.map(({ batch, effects }) => ({
			batch,
			effects: effects.filter(
				effect => effect.type !== 'start' || !withdrawn.has(parseTaskName(effect.task)?.job ?? ''),
			),
		}));
		const refused = waiters.filter(({ job }) => job !== undefined && withdrawn.has(job));
		waiters = waiters.filter(waiter => !refused.includes(waiter));
		refused.forEach(({ resolve }) => resolve('withdrawn'));
	};

	const checkJournal = (now: number): void => {
		const since = journal.unansweredSince;
		const isStalled = since !== undefined && now > since + JOURNAL_STALL_MS;
		engine.journalStalled(isStalled ? since : undefined);
		if (isStalled) {
			withdrawUnstoredJobs(now);
		}
	};
	const quiescence = new AbortController();
	const active = AbortSignal.any([signal, quiescence.signal]);
	setMaxListeners(0, active);
	const sharedOptions = {
		...options,
		engine,
		flush: () => flush(),
		isTermConfirmed: () => proof.ageMs() < settings.engine.validMs,
	};
	const timerLag = createTimerLag();
	const poller = createWorkerPoller(
		{
			...sharedOptions,
			pollIntervalMs: () => pollIntervalMs(timerLag.averageMs),
			whenAllStored: () => whenStored(lastAddedBatch),
		},
		active,
	);
	const orders = createWorkerOrders(sharedOptions, active);
	const hostOrders = createHostOrderTask(
		{
			...sharedOptions,
			term: identity.term,
			holder: identity.entryHost,
			proof,
		},
		signal,
	);

	const handlers: {
		readonly [Type in EngineEffect['type']]: (effect: Extract<EngineEffect, { type: Type }>) => void;
	} = {
		watch: ({ workerKey, address }) => {
			orders.setAddress(workerKey, address);
			poller.start(workerKey, address);
		},
		unwatch: ({ workerKey, address }) => {
			poller.stop(workerKey);
			if (address !== undefined) {
				options.workers.closeConnections(address);
			}
		},
		start: effect => {
			if (!hasSentStart) {
				hasSentStart = true;
				options.onFirstStart();
			}
			orders.start(effect);
		},
		stop: effect => orders.stop(effect),
		pace: effect => orders.pace(effect),
		advise: ({ step, workers }) => {
			void options.advice.advise(step, workers, signal).then(answer => {
				counters.add('advice_calls_total', { outcome: answer.type });
				engine.adviceReceived(step, workers, answer, clock.now());
				flush();
			});
		},
		'host-order': ({ host, action }) => {
			void hostOrders.send(host, action);
		},
		'list-hosts': () => {
			void options.hosts.list(signal).then(list => {
				counters.add('host_lists_total', { outcome: list === undefined ? 'failed' : 'read' });
				engine.hostsListed(list, clock.now());
				flush();
			});
		},
		'report-wave': ({ wave, state }) => {
			void hostOrders.report(wave, state);
		},
		deposed: ({ reason }) => loseTerm(reason),
	};
	const execute = (effect: EngineEffect): void => {
		if (!active.aborted) {
			(handlers[effect.type] as (effect: EngineEffect) => void)(effect);
		} else if (effect.type === 'host-order') {
			// The successor may use a host at once if the journal shows that its order was never sent.
			engine.hostOrderAnswered(effect.host, { type: 'not-sent' }, clock.now());
		}
	};

	const tick = (): void => {
		timer = undefined;
		lastTickAt = clock.now();
		timerLag.record(lastTickAt - nextTickAt);
		checkJournal(lastTickAt);
		engine.tick(lastTickAt);
		flush();
	};
	const schedule = (): void => {
		if (signal.aborted) {
			return;
		}
		const now = clock.now();
		if (timer !== undefined && nextTickAt <= now) {
			// The next tick is due already, and runs as soon as the event loop gets to its timer.
			return;
		}
		nextTickAt = Math.max(now, engine.nextTickAt(now), lastTickAt + MINIMUM_TICK_INTERVAL_MS);
		clearTimeout(timer);
		timer = setTimeout(tick, nextTickAt - now);
	};
	const flush = (): void => {
		const { events, batch, effectsWhenStored: afterBatch, immediateEffects: atOnce } = engine.takeOutput();
		atOnce.forEach(execute);
		if (events.length > 0) {
			lastAddedBatch = batch;
			journal.add(batch, events);
		}
		if (afterBatch.length > 0) {
			if (lastAddedBatch <= storedBatch) {
				afterBatch.forEach(execute);
			} else {
				pendingEffects.push({ batch: lastAddedBatch, effects: afterBatch });
			}
		}
		schedule();
	};

	signal.addEventListener(
		'abort',
		() => {
			clearTimeout(timer);
			waiters.splice(0).forEach(({ reject }) => reject(new Error('the term has ended')));
		},
		{ once: true },
	);

	followOperatorRequests({ planCache, engine, flush, clock }, signal);
	engine.beginTerm(identity.term, identity.entryHost, clock.now(), journalRead.endOffset);
	flush();
	void runWorkerFeed({ feed: options.workerFeed, engine, flush, clock, counters, logDecision }, signal);
	void runJournalTrimming(engine, log, counters, signal);

	return {
		identity,
		proof,
		engine,
		whenStored,
		whenJobStored: (job, batch) => waitForBatch(batch, job),
		whenConfirmed,
		flush,
		lost,
		journal,
		quiesce: () => {
			engine.quiesce();
			quiescence.abort();
		},
	};
}

/** Interval between two attempts to trim the journal; a compaction takes some seconds. */
const TRIM_INTERVAL_MS = 5_000;

async function runJournalTrimming(
	engine: Engine,
	log: LogService,
	counters: Counters,
	signal: AbortSignal,
): Promise<void> {
	let trimmedBefore = 0;
	for (;;) {
		await delay(TRIM_INTERVAL_MS, signal);
		if (signal.aborted) {
			return;
		}
		const before = engine.trimOffset();
		if (Number.isFinite(before) && before > trimmedBefore) {
			try {
				const isTrimmed = await log.trim('journal', before, signal);
				counters.add('journal_trims_total', { outcome: isTrimmed ? 'trimmed' : 'refused' });
				trimmedBefore = isTrimmed ? before : trimmedBefore;
			} catch (error) {
				counters.add('journal_trims_total', { outcome: 'failed', reason: errorMessageOf(error).slice(0, 40) });
			}
		}
	}
}
