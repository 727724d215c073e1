import type { JobSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import type { EngineEffect } from '../common/engineMessages.js';
import type { JournalEvent } from '../common/jobs/journalEvent.js';
import { parseTaskName } from '../common/jobs/taskName.js';
import {
	createEngineHarness,
	defaultWorkerEntry,
	harnessQueue,
	type EngineHarness,
	type HarnessWorker,
} from './engineHarness.js';

/** Time until another worker answers at the address of one that is gone, in milliseconds. */
const RETURN_MS = 3_000;

/** Time for which a worker that is cut off does not answer, in milliseconds; its lease runs out meanwhile. */
const CUT_MS = 8_000;

const STEP_MS = 20;

/** How a worker goes: it crashes, it exits after it has announced that, or it is cut off until its lease has run out. */
type Disappearance = 'crash' | 'drain' | 'cut';

interface PlacedWorker {
	readonly worker: HarnessWorker;
	/** Time at which each finite run ends, by task. */
	readonly endsAt: Map<string, number>;
	isUp: boolean;
}

/** A pool of workers that crash when they start certain tasks, under one or more successive leaders. */
export interface CrashingFleet {
	readonly harness: EngineHarness;
	/** Number of starts of a task. */
	startsOf(task: string): number;
	/** Number of starts of a task after three workers have crashed under it. */
	startsAfterThreeCrashes(task: string): number;
	/** Tasks that workers have started. */
	readonly startedTasks: readonly string[];
	/** Number of workers that tasks have crashed. */
	readonly crashCount: number;
	submit(id: string, spec: JobSpec): void;
	/** Names of the workers that run the task. */
	workersOf(task: string): readonly string[];
	/** Takes a worker down. Another one returns on its host. */
	lose(worker: string, how: Disappearance): void;
	/** Hosts of the workers that run the task. */
	hostsOf(task: string): readonly string[];
	/** Names of the workers that are up. */
	readonly upWorkers: readonly string[];
	/** Replaces the leader by one that has only read the journal. */
	changeLeader(): void;
	advance(milliseconds: number): void;
	stateOf(job: string): string | undefined;
}

/** Options of {@link createCrashingFleet}. */
export interface CrashingFleetOptions {
	/** Tasks that crash each worker that starts them. */
	readonly isDeadly?: (task: string) => boolean;
	/** Whether such a worker lists the run as running before it crashes. */
	readonly isListedBeforeCrash?: boolean;
}

/** Creates a fleet of sound workers. */
export function createCrashingFleet(workerCount: number, options: CrashingFleetOptions = {}): CrashingFleet {
	const isDeadly = options.isDeadly ?? (() => false);
	const harnessOptions = {
		pools: [{ name: 'desk', isStandby: false, guardsRoom: false }],
		queues: [harnessQueue('desk')],
	};
	let journal: JournalEvent[] = [];
	let harness = createEngineHarness(harnessOptions);
	const placed = new Map<string, PlacedWorker>();
	const starts = new Map<string, number>();
	const crashes = new Map<string, number>();
	const lateStarts = new Map<string, number>();
	const specs = new Map<string, JobSpec>();
	let returns: { readonly at: number; readonly run: () => void }[] = [];
	let crashCount = 0;
	let nextName = workerCount;

	const count = (counts: Map<string, number>, key: string): void => void counts.set(key, (counts.get(key) ?? 0) + 1);

	const place = (name: string, host: string): void => {
		placed.set(name, { worker: harness.addWorker(name, 'desk', { host }), endsAt: new Map(), isUp: true });
	};

	const reportDraining = ({ worker }: PlacedWorker): void => {
		const value = { ...defaultWorkerEntry, worker: worker.name, host: worker.host, pool: 'desk', isDraining: true };
		harness.engine.workersChanged([{ key: worker.name, offset: 0, value }], undefined, harness.now);
	};

	const listHosts = (): void =>
		harness.listHosts(
			[...placed.values()].map(({ worker, isUp }) => ({
				host: worker.host,
				pool: 'desk',
				state: isUp ? 'up' : 'down',
				worker: isUp ? worker.name : '',
			})),
		);

	/** Takes a worker down. @param afterMs time until another worker answers at its address */
	const takeDown = ({ worker }: PlacedWorker, afterMs: number): void => {
		const lost = placed.get(worker.name);
		if (lost?.isUp !== true) {
			throw new Error(`worker ${worker.name} is not up`);
		}
		lost.isUp = false;
		harness.setSilent(worker, true);
		returns.push({
			at: harness.now + afterMs,
			run: () => {
				harness.engine.monitor.pollAnswered(`${worker.name}@1`, { type: 'other-worker' }, harness.now);
				placed.delete(worker.name);
				place(`w${nextName++}`, worker.host);
			},
		});
	};

	const disappearances: Readonly<Record<Disappearance, (lost: PlacedWorker) => void>> = {
		crash: lost => {
			[...lost.worker.running.keys()].forEach(task => count(crashes, task));
			takeDown(lost, RETURN_MS);
		},
		drain: lost => {
			reportDraining(lost);
			takeDown(lost, RETURN_MS);
		},
		cut: lost => takeDown(lost, CUT_MS),
	};

	const lose = (name: string, how: Disappearance): void => {
		const lost = placed.get(name);
		if (lost === undefined) {
			throw new Error(`there is no worker ${name}`);
		}
		disappearances[how](lost);
	};

	/** Returns the duration of a task; `undefined` if it lasts. */
	const durationOf = (task: string): number | undefined => {
		const path = parseTaskName(task);
		const step = specs.get(path?.job ?? '')?.steps[path?.step ?? 0];
		return step?.isLasting === false ? step.estimateMs : undefined;
	};

	const begin = ({ workerKey, task, run }: Extract<EngineEffect, { type: 'start' }>): void => {
		const target = placed.get(workerKey.slice(0, -2));
		const { monitor } = harness.engine;
		if (monitor.startDeadline(workerKey, task, run, harness.now) === undefined) {
			return;
		}
		if (target?.isUp !== true) {
			const refusal = { type: 'not-started', reason: 'unreachable', clockMs: undefined } as const;
			monitor.startAnswered(workerKey, task, run, refusal, harness.now);
			return;
		}
		count(starts, task);
		if ((crashes.get(task) ?? 0) >= 3) {
			count(lateStarts, task);
		}
		target.worker.running.set(task, { task, run, checkpoint: '', percent: 100, load: undefined });
		monitor.startAnswered(workerKey, task, run, { type: 'started', clockMs: harness.now }, harness.now);
		const durationMs = durationOf(task);
		if (durationMs !== undefined) {
			target.endsAt.set(task, harness.now + durationMs);
		}
		if (isDeadly(task)) {
			if (options.isListedBeforeCrash === true) {
				harness.pollWorker(target.worker);
			}
			crashCount++;
			lose(target.worker.name, 'crash');
		}
	};

	type Handlers = {
		readonly [Type in EngineEffect['type']]?: (effect: Extract<EngineEffect, { type: Type }>) => void;
	};
	const handlers: Handlers = {
		start: begin,
		stop: ({ workerKey, task, run }) => {
			const target = placed.get(workerKey.slice(0, -2));
			if (target?.isUp === true && target.worker.running.get(task)?.run === run) {
				target.endsAt.delete(task);
				harness.endRun(target.worker, task, 'stopped');
			}
		},
		'list-hosts': listHosts,
		'host-order': ({ host }) => {
			const target = [...placed.values()].find(({ worker, isUp }) => worker.host === host && isUp);
			if (target !== undefined) {
				takeDown(target, RETURN_MS);
			}
			harness.engine.hostOrderAnswered(host, { type: 'accepted' }, harness.now);
		},
	};
	const carryOut = (effect: EngineEffect): void => {
		(handlers[effect.type] as ((effect: EngineEffect) => void) | undefined)?.(effect);
	};

	/** A run that makes no progress would be stopped as stalled. */
	const showProgress = (worker: HarnessWorker, task: string, at: number): void => {
		const run = worker.running.get(task);
		if (run !== undefined) {
			worker.running.set(task, {
				...run,
				percent: Math.floor(100 - (100 * (at - harness.now)) / (durationOf(task) ?? 1)),
			});
		}
	};

	const continueRuns = (): void => {
		for (const { worker, endsAt, isUp } of placed.values()) {
			for (const [task, at] of isUp ? endsAt : []) {
				if (at <= harness.now) {
					endsAt.delete(task);
					harness.endRun(worker, task, 'done');
				} else {
					showProgress(worker, task, at);
				}
			}
		}
	};

	const runningWorkers = (task: string): readonly HarnessWorker[] =>
		[...placed.values()].filter(({ worker, isUp }) => isUp && worker.running.has(task)).map(({ worker }) => worker);

	for (let index = 0; index < workerCount; index++) {
		place(`w${index}`, `host-w${index}`);
	}
	return {
		get harness() {
			return harness;
		},
		startsOf: task => starts.get(task) ?? 0,
		startsAfterThreeCrashes: task => lateStarts.get(task) ?? 0,
		get startedTasks() {
			return [...starts.keys()];
		},
		get crashCount() {
			return crashCount;
		},
		get upWorkers() {
			return [...placed.values()].filter(({ isUp }) => isUp).map(({ worker }) => worker.name);
		},
		submit: (id, spec) => {
			specs.set(id, spec);
			harness.submit(id, 'desk', spec);
		},
		workersOf: task => runningWorkers(task).map(({ name }) => name),
		hostsOf: task => runningWorkers(task).map(({ host }) => host),
		lose,
		changeLeader: () => {
			journal = [...journal, ...harness.journal];
			const now = harness.now;
			harness = createEngineHarness({ ...harnessOptions, journal, now });
			for (const [name, { worker, endsAt, isUp }] of placed) {
				if (!isUp) {
					harness.addUnreachableWorker(name, worker.host, 'desk');
					continue;
				}
				const readded = harness.addWorker(name, 'desk', { host: worker.host }, [...worker.running.values()]);
				readded.ended.push(...worker.ended);
				placed.set(name, { worker: readded, endsAt, isUp });
			}
		},
		advance: milliseconds => {
			const until = harness.now + milliseconds;
			while (harness.now < until) {
				harness.advance(STEP_MS);
				harness.takeEffects().forEach(carryOut);
				continueRuns();
				const due = returns.filter(({ at }) => at <= harness.now);
				returns = returns.filter(({ at }) => at > harness.now);
				due.forEach(({ run }) => run());
			}
		},
		stateOf: job => {
			const answer = harness.engine.state(job, undefined);
			return answer.type === 'state' ? answer.state : undefined;
		},
	};
}
