import { setMaxListeners } from 'node:events';
import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import { createEngine, type Engine } from '@chestnutwheel/engine/common/engine.js';
import type { EngineEffect, NoteDecision } from '@chestnutwheel/engine/common/engineMessages.js';
import type { WorkerFeed } from '@chestnutwheel/ports/common/feeds.js';
import type { AdviceService, HostService, WaveStatusPublisher } from '@chestnutwheel/ports/common/hostService.js';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import type { WorkerService } from '@chestnutwheel/ports/common/workerService.js';
import type { CoordinatorSettings } from '../../common/coordinatorSettings.js';
import type { LeaderIdentity } from '../../common/peerProtocol.js';
import { createJournalWriter, proofAge, type JournalWriter } from '../journal/journalWriter.js';
import { takeOverJournal } from '../journal/readJournal.js';
import type { PlanKeeper } from '../plan/planKeeper.js';
import { createHostOrderTask } from './hostOrderTask.js';
import { createWorkerOrders } from './workerOrders.js';
import { createWorkerSessions } from './workerSessions.js';
import { runWorkerFeed } from './workerFeedTask.js';

/** Passes follow each other at most this often: the journal takes one batch in about this time, so that more would wait. */
const PASS_EVERY_MS = 10;

/** What the leader needs from its daemon. */
export interface LeaderOptions {
	readonly settings: CoordinatorSettings;
	readonly log: LogService;
	readonly workers: WorkerService;
	readonly workerFeed: WorkerFeed;
	readonly hosts: HostService;
	readonly waveReports: WaveStatusPublisher;
	readonly advice: AdviceService;
	readonly plan: PlanKeeper;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly note: NoteDecision;
}

/** One term of this daemon as the leader. */
export interface LeaderTerm {
	readonly identity: LeaderIdentity;
	readonly engine: Engine;
	/** Resolves once a batch is stored; rejects when the term ends before. */
	stored(batch: number): Promise<void>;
	/** Stores and orders what the engine wants after a call. */
	flush(): void;
	/** Resolves when the term is lost, with the reason. */
	readonly lost: Promise<string>;
	/** When the store last proved that the term still held. */
	provenAt(): number;
	readonly journal: JournalWriter;
	/** Orders and looks end at once; the journal goes on. */
	quiesce(): void;
}

interface Waiter {
	readonly batch: number;
	readonly resolve: () => void;
	readonly reject: (error: Error) => void;
}

/**
 * Takes the journal over and starts to decide.
 * @throws `log-unavailable` or `not-ready` when the term cannot begin
 */
export async function beginTerm(
	identity: LeaderIdentity,
	options: LeaderOptions,
	signal: AbortSignal,
): Promise<LeaderTerm> {
	const { settings, log, clock, counters, note, plan } = options;
	const engine = createEngine({ settings: settings.engine, counters, note, wallNow: () => clock.wallNow() });
	const beganAt = clock.now();
	const contents = await takeOverJournal(
		log,
		identity.term,
		(event, offset) => engine.replay(event, offset, clock.now()),
		signal,
	);
	note('journal-read', { term: identity.term, ...contents, tookMs: Math.round(clock.now() - beganAt) });

	let loseTerm: (reason: string) => void = () => undefined;
	const lost = new Promise<string>(resolve => {
		loseTerm = resolve;
	});
	const waiters: Waiter[] = [];
	const held: { readonly batch: number; readonly effects: readonly EngineEffect[] }[] = [];
	let storedBatch = 0;
	let addedBatch = 0;
	let timer: NodeJS.Timeout | undefined;
	let lastPassAt = -Infinity;

	const journal = createJournalWriter(
		{
			log,
			term: identity.term,
			clock,
			counters,
			appendEveryMs: settings.appendEveryMs,
			onStored: (batch, offset) => {
				storedBatch = batch;
				engine.stored(batch, offset, clock.now());
				while (waiters[0] !== undefined && waiters[0].batch <= batch) {
					waiters.shift()?.resolve();
				}
				while (held[0] !== undefined && held[0].batch <= batch) {
					held.shift()?.effects.forEach(execute);
				}
				flush();
			},
			onFenced: loseTerm,
		},
		signal,
	);
	const whenStored = (batch: number): Promise<void> =>
		batch <= storedBatch
			? Promise.resolve()
			: new Promise((resolve, reject) => waiters.push({ batch, resolve, reject }));
	const quiet = new AbortController();
	const active = AbortSignal.any([signal, quiet.signal]);
	setMaxListeners(0, active);
	const common = {
		...options,
		engine,
		flush: () => flush(),
		isSureToLead: () => proofAge(journal.proof, clock) < settings.engine.validMs,
	};
	const sessions = createWorkerSessions({ ...common, allStored: () => whenStored(addedBatch) }, active);
	const orders = createWorkerOrders(common, active);
	const hostOrders = createHostOrderTask(
		{
			...common,
			term: identity.term,
			holder: identity.entryHost,
			proof: () => journal.proof,
		},
		active,
	);

	const handlers: {
		readonly [Type in EngineEffect['type']]: (effect: Extract<EngineEffect, { type: Type }>) => void;
	} = {
		watch: ({ workerKey, address }) => {
			orders.addressOf(workerKey, address);
			sessions.watch(workerKey, address);
		},
		unwatch: ({ workerKey, address }) => {
			sessions.unwatch(workerKey);
			if (address !== undefined) {
				options.workers.closeConnections(address);
			}
		},
		start: effect => orders.start(effect),
		stop: effect => orders.stop(effect),
		pace: effect => orders.pace(effect),
		advise: ({ step, workers }) => {
			void options.advice.advise(step, workers, signal).then(answer => {
				counters.add('advice_calls_total', { outcome: answer.type });
				engine.advised(step, workers, answer, clock.now());
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
		}
	};

	const tick = (): void => {
		timer = undefined;
		lastPassAt = clock.now();
		engine.tick(lastPassAt);
		flush();
	};
	const schedule = (): void => {
		if (signal.aborted) {
			return;
		}
		const now = clock.now();
		const at = Math.max(engine.nextTickAt(now), lastPassAt + PASS_EVERY_MS);
		clearTimeout(timer);
		timer = setTimeout(tick, Math.max(0, at - now));
	};
	const flush = (): void => {
		const { events, batch, afterBatch, atOnce } = engine.drain();
		atOnce.forEach(execute);
		if (events.length > 0) {
			addedBatch = batch;
			journal.add(batch, events);
		}
		if (afterBatch.length > 0) {
			if (addedBatch <= storedBatch) {
				afterBatch.forEach(execute);
			} else {
				held.push({ batch: addedBatch, effects: afterBatch });
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

	const current = plan.current();
	if (current !== undefined) {
		engine.planChanged(current);
	}
	plan.listen(changed => {
		engine.planChanged(changed);
		flush();
	}, signal);
	engine.wavesChanged(plan.waves(), clock.now());
	plan.listenWaves(waves => {
		engine.wavesChanged(waves, clock.now());
		flush();
	}, signal);
	engine.lead(identity.term, identity.entryHost, clock.now());
	flush();
	void runWorkerFeed({ feed: options.workerFeed, engine, flush, clock, counters, note }, signal);
	void runTrimming(engine, log, counters, signal);

	return {
		identity,
		engine,
		stored: whenStored,
		flush,
		lost,
		provenAt: () => journal.confirmedAt,
		journal,
		quiesce: () => quiet.abort(),
	};
}

/** Pause between two attempts to shorten the journal; rewriting it takes some seconds. */
const TRIM_EVERY_MS = 5_000;

async function runTrimming(engine: Engine, log: LogService, counters: Counters, signal: AbortSignal): Promise<void> {
	let trimmed = 0;
	for (;;) {
		await delay(TRIM_EVERY_MS, signal);
		if (signal.aborted) {
			return;
		}
		const before = engine.trimBefore();
		if (Number.isFinite(before) && before > trimmed) {
			try {
				const isTrimmed = await log.trim('journal', before, signal);
				counters.add('journal_trims_total', { outcome: isTrimmed ? 'trimmed' : 'refused' });
				trimmed = isTrimmed ? before : trimmed;
			} catch (error) {
				counters.add('journal_trims_total', { outcome: 'failed', reason: errorMessageOf(error).slice(0, 40) });
			}
		}
	}
}
