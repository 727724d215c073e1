import type { Resources } from '@chestnutwheel/ports/common/resources.js';
import type {
	ListedEnd,
	PollOutcome,
	PollRequest,
	WorkerOrderOutcome,
	RunEnd,
	StartOutcome,
	WorkerEntry,
} from '@chestnutwheel/ports/common/workerService.js';

/** Longest lease that the model's workers grant, in milliseconds. */
export const MODEL_LONGEST_LEASE_MS = 6_000;

/** Time that a stop takes at the worker. */
const STOP_MS = 120;

/** Start-up of a lasting task. */
const START_UP_MS = 400;

/** What the checker is told when something happens at a worker. */
export interface WorkerObserver {
	started(worker: ModelWorker, task: string, run: number, at: number): void;
	ended(worker: ModelWorker, task: string, run: number, end: RunEnd | 'vanished', at: number): void;
	acknowledged(worker: ModelWorker, end: ListedEnd, at: number): void;
}

/** How long a task runs and how it ends, as the model's caller decides. */
export interface TaskNature {
	readonly runMs: number;
	readonly fails: boolean;
	readonly isLasting: boolean;
	readonly demand: Resources;
}

interface ModelRun {
	readonly task: string;
	readonly run: number;
	readonly startedAt: number;
	endsAt: number;
	how: RunEnd;
	readonly nature: TaskNature;
}

/** A worker that keeps the rules of the platform: fences, run numbers, start deadlines, leases, ends until acknowledged. */
export interface ModelWorker {
	readonly name: string;
	readonly life: number;
	readonly room: Resources;
	readonly pool: string;
	isUp: boolean;
	readonly runs: ReadonlyMap<string, ModelRun>;
	entry(): WorkerEntry;
	look(request: PollRequest, now: number): PollOutcome;
	start(order: { task: string; run: number; fence: number; startByMs: number }, now: number): StartOutcome;
	stop(task: string, run: number, fence: number, now: number): WorkerOrderOutcome;
	/** Lets time pass: tasks end, leases run out. */
	advance(now: number): void;
	/** Whether a look that waits would be answered now. */
	hasNews(acknowledged: number): boolean;
	/** Everything ends at once, unseen; the worker begins a new life when `isUp` becomes true again. */
	crash(now: number): void;
	/** Begins a new life that knows nothing of before. */
	restart(now: number): void;
}

/** Options of {@link createModelWorker}. */
export interface ModelWorkerOptions {
	readonly name: string;
	readonly pool: string;
	readonly rack: string;
	readonly room: Resources;
	/** Speed of the worker's clock; 0.98 is the slowest. */
	readonly rate: number;
	readonly natureOf: (task: string) => TaskNature;
	readonly observer: WorkerObserver;
}

/** Creates a worker that is up and runs nothing. */
export function createModelWorker(options: ModelWorkerOptions): ModelWorker {
	const { name, pool, rack, room, rate, natureOf, observer } = options;
	let life = 1;
	let bornAt = 0;
	let fence = 0;
	let leaseUntil = 0;
	let ends: ListedEnd[] = [];
	let nextIndex = 1;
	/** Ends up to this index were listed before the lease ran out; acknowledging them later counts for nothing. */
	let lapsedIndex = 0;
	const runs = new Map<string, ModelRun>();
	/** Highest run of each task that was stopped or has ended here. */
	const over = new Map<string, number>();
	const clockAt = (now: number): number => Math.round(1_000 + (now - bornAt) * rate);

	const finish = (run: ModelRun, end: RunEnd, now: number): void => {
		runs.delete(run.task);
		over.set(run.task, Math.max(over.get(run.task) ?? 0, run.run));
		ends.push({ index: nextIndex++, task: run.task, run: run.run, end, checkpoint: '' });
		observer.ended(worker, run.task, run.run, end, now);
	};

	const extend = (until: number | undefined, now: number): void => {
		if (until !== undefined) {
			leaseUntil = Math.max(leaseUntil, Math.min(until, clockAt(now) + MODEL_LONGEST_LEASE_MS));
		}
	};

	const worker: ModelWorker = {
		name,
		get life() {
			return life;
		},
		room,
		pool,
		isUp: true,
		runs,
		entry: () => ({
			worker: name,
			host: `host-of-${name}`,
			incarnation: life,
			pool,
			address: `10.0.0.1:${name.length}`,
			dataCentre: 'east',
			isDraining: false,
			remainingMs: undefined,
			warmUpRemainingMs: 0,
			resources: room,
			labels: ['a', rack],
			rack,
		}),
		look: (request, now) => {
			if (request.fencingToken < fence) {
				return { type: 'refused', reason: 'fenced' };
			}
			fence = request.fencingToken;
			extend(request.leaseUntilMs, now);
			for (const end of ends) {
				if (end.index <= request.acknowledged && end.index > lapsedIndex) {
					observer.acknowledged(worker, end, now);
				}
			}
			ends = ends.filter(end => end.index > request.acknowledged);
			return {
				type: 'listed',
				listing: {
					incarnation: life,
					clockMs: clockAt(now),
					running: [...runs.values()].map(({ task, run, startedAt, nature }) => ({
						task,
						run,
						checkpoint: '',
						percent: nature.isLasting && now - startedAt < START_UP_MS ? 40 : 100,
						load: undefined,
					})),
					ended: [...ends],
				},
			};
		},
		start: ({ task, run, fence: of, startByMs }, now) => {
			const clockMs = clockAt(now);
			const refuse = (reason: 'fenced' | 'old-run' | 'late'): StartOutcome => ({
				type: 'not-started',
				reason,
				clockMs,
			});
			if (of < fence) {
				return refuse('fenced');
			}
			fence = of;
			if (runs.get(task)?.run === run) {
				return { type: 'started', clockMs };
			}
			if (run <= (over.get(task) ?? 0)) {
				return refuse('old-run');
			}
			if (startByMs < clockMs) {
				return refuse('late');
			}
			extend(startByMs, now);
			const nature = natureOf(task);
			const endsAt = nature.isLasting && !nature.fails ? Infinity : now + nature.runMs;
			runs.set(task, { task, run, startedAt: now, endsAt, how: nature.fails ? 'failed' : 'done', nature });
			observer.started(worker, task, run, now);
			return { type: 'started', clockMs };
		},
		stop: (task, run, of, now) => {
			if (of < fence) {
				return { type: 'refused', reason: 'fenced' };
			}
			fence = of;
			const running = runs.get(task);
			if (running?.run === run) {
				running.endsAt = Math.min(running.endsAt, now + STOP_MS);
				running.how = 'stopped';
			} else {
				over.set(task, Math.max(over.get(task) ?? 0, run));
			}
			return { type: 'done', clockMs: clockAt(now) };
		},
		advance: now => {
			if (!worker.isUp) {
				return;
			}
			for (const run of [...runs.values()]) {
				if (now >= run.endsAt) {
					finish(run, run.how, now);
				}
			}
			if (clockAt(now) > leaseUntil) {
				[...runs.values()].forEach(run => finish(run, 'lapsed', now));
				lapsedIndex = nextIndex - 1;
			}
		},
		hasNews: acknowledged => ends.some(end => end.index > acknowledged),
		crash: now => {
			worker.isUp = false;
			for (const { task, run } of runs.values()) {
				observer.ended(worker, task, run, 'vanished', now);
			}
			runs.clear();
		},
		restart: now => {
			worker.isUp = true;
			life = Math.round(now) + 2;
			bornAt = now;
			fence = 0;
			leaseUntil = 0;
			ends = [];
			nextIndex = 1;
			lapsedIndex = 0;
			over.clear();
		},
	};
	return worker;
}
