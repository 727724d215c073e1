import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { Engine } from '@chestnutwheel/engine/common/engine.js';
import type { DecisionLogger, EngineEffect } from '@chestnutwheel/engine/common/engineMessages.js';
import type {
	StartOutcome,
	StartOrder,
	WorkerAddress,
	WorkerOrderOutcome,
	WorkerService,
} from '@chestnutwheel/ports/common/workerService.js';

type StartEffect = Extract<EngineEffect, { type: 'start' }>;
type StopEffect = Extract<EngineEffect, { type: 'stop' }>;
type PaceEffect = Extract<EngineEffect, { type: 'pace' }>;

/** Maximum number of attempts to send one stop. The engine orders another one when the worker lists the run again. */
const MAXIMUM_STOP_ATTEMPTS = 4;

/** Initial back-off before an unanswered stop is retried; it doubles with each attempt. */
const STOP_RETRY_DELAY_MS = 100;

/** Interval between two looks at whether a stop may be retried. */
const STOP_RECHECK_INTERVAL_MS = 100;

/** Options of {@link createWorkerOrders}. */
export interface WorkerOrdersOptions {
	readonly engine: Pick<Engine, 'monitor' | 'mayRepeatStop'>;
	readonly workers: WorkerService;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly logDecision: DecisionLogger;
	readonly flush: () => void;
	/** Returns whether the term was confirmed recently enough to send orders. */
	readonly isTermConfirmed: () => boolean;
}

/** Sends orders to workers and passes their outcomes to the engine. */
export interface WorkerOrders {
	/** Sets the address of a worker. */
	setAddress(workerKey: string, address: WorkerAddress): void;
	start(effect: StartEffect): void;
	stop(effect: StopEffect): void;
	pace(effect: PaceEffect): void;
}

function stopKey({ workerKey, task, run }: StopEffect): string {
	return `${workerKey} ${task} ${run}`;
}

/** Creates the order sender of one term. Pending orders are abandoned when the signal is aborted. */
export function createWorkerOrders(options: WorkerOrdersOptions, signal: AbortSignal): WorkerOrders {
	const { engine, workers, clock, counters, logDecision, flush } = options;
	const addresses = new Map<string, WorkerAddress>();
	/** Runs for which a stop is being sent, by {@link stopKey}. */
	const stopsUnderWay = new Set<string>();

	const sendStart = async (effect: StartEffect): Promise<void> => {
		const { workerKey, task, run } = effect;
		const address = addresses.get(workerKey);
		const startByMs = options.isTermConfirmed()
			? engine.monitor.startDeadline(workerKey, task, run, clock.now())
			: undefined;
		const fence = engine.monitor.fencingToken(workerKey);
		let answer: StartOutcome = { type: 'not-started', reason: 'late', clockMs: undefined };
		if (address !== undefined && startByMs !== undefined && fence !== undefined) {
			const { payload, checkpoint, ticket } = effect;
			const order: StartOrder = { task, run, fencingToken: fence, payload, startByMs, checkpoint, ticket };
			answer = await workers.start(address, order, signal);
			const mayRepeat =
				answer.type === 'silent' && engine.monitor.startAttemptUnanswered(workerKey, task, run, clock.now());
			// A worker that has started again while this process was suspended knows neither the fence nor the clock of the order.
			if (mayRepeat && options.isTermConfirmed()) {
				const repeated = await workers.start(address, order, signal);
				// A refusal of the retry says nothing about the first attempt: a run that has since ended is refused as old.
				answer = repeated.type === 'not-started' ? answer : repeated;
			}
		}
		if (!signal.aborted) {
			engine.monitor.startAnswered(workerKey, task, run, answer, clock.now());
			flush();
		}
	};

	const untilRepeatable = async (workerKey: string, task: string, run: number): Promise<void> => {
		while (!signal.aborted && !engine.mayRepeatStop(workerKey, task, run, clock.now())) {
			await delay(STOP_RECHECK_INTERVAL_MS, signal);
		}
	};

	const logStop = (
		outcome: 'answered' | 'refused' | 'unanswered' | 'dropped',
		{ workerKey, task, run }: StopEffect,
		fields: Readonly<Record<string, unknown>>,
	): void => {
		counters.add('stops_total', { outcome });
		logDecision(`stop-${outcome}`, { task, run, worker: workerKey, ...fields });
	};

	/** Sends a stop until it is answered. Returns `undefined` when it is answered, or else why no further attempt is made. */
	const attemptStop = async (effect: StopEffect): Promise<string | undefined> => {
		const { workerKey, task, run, isRepeat } = effect;
		const address = addresses.get(workerKey);
		const fence = engine.monitor.fencingToken(workerKey);
		if (address === undefined || fence === undefined) {
			return 'the address of the worker is not known';
		}
		const orderedAt = clock.now();
		if (isRepeat) {
			await untilRepeatable(workerKey, task, run);
		}
		for (let attempt = 1; attempt <= MAXIMUM_STOP_ATTEMPTS && !signal.aborted; attempt++) {
			const answer = await workers.stop(address, { task, run }, fence, signal);
			const fields = { attempts: attempt, tookMs: Math.round(clock.now() - orderedAt) };
			if (answer.type !== 'silent') {
				stopsUnderWay.delete(stopKey(effect));
			}
			engine.monitor.stopAnswered(workerKey, task, run, answer, clock.now());
			flush();
			if (answer.type === 'done') {
				logStop('answered', effect, fields);
				return undefined;
			}
			if (answer.type !== 'silent') {
				const reason = answer.type === 'refused' ? answer.reason : 'another worker has the address';
				logStop('refused', effect, { ...fields, reason });
				return undefined;
			}
			if (attempt === 1) {
				logStop('unanswered', effect, { reason: answer.reason });
			}
			if (attempt < MAXIMUM_STOP_ATTEMPTS) {
				await delay(STOP_RETRY_DELAY_MS * 2 ** (attempt - 1), signal);
				await untilRepeatable(workerKey, task, run);
			}
		}
		return signal.aborted ? 'the term has ended' : 'too many attempts';
	};

	const sendStop = async (effect: StopEffect): Promise<void> => {
		const key = stopKey(effect);
		if (stopsUnderWay.has(key)) {
			return;
		}
		stopsUnderWay.add(key);
		const reason = await attemptStop(effect);
		if (reason === undefined) {
			return;
		}
		stopsUnderWay.delete(key);
		logStop('dropped', effect, { reason });
		if (!signal.aborted) {
			engine.monitor.stopAbandoned(effect.workerKey, effect.task, effect.run);
		}
	};

	const sendPace = async ({ workerKey, task, run, percent }: PaceEffect): Promise<void> => {
		const address = addresses.get(workerKey);
		const fence = engine.monitor.fencingToken(workerKey);
		const answer: WorkerOrderOutcome =
			address === undefined || fence === undefined
				? { type: 'silent', reason: 'the address of the worker is not known' }
				: await workers.pace(address, { task, run }, percent, fence, signal);
		counters.add('paces_total', { outcome: answer.type });
		engine.monitor.paceAnswered(workerKey, task, run, percent, answer);
	};

	return {
		setAddress: (workerKey, address) => addresses.set(workerKey, address),
		start: effect => void sendStart(effect),
		stop: effect => void sendStop(effect),
		pace: effect => void sendPace(effect),
	};
}
