import {
	addResources,
	fitsInto,
	maximumResources,
	noResources,
	subtractResources,
	type Resources,
} from '@chestnutwheel/ports/common/resources.js';
import type { EngineContext } from '../engineContext.js';
import type { Step, Task } from '../jobs/job.js';
import type { StartedRun } from '../jobs/journalEvent.js';
import { formatStepName } from '../jobs/taskName.js';
import { doubtOf } from '../workers/workerDoubt.js';
import { runKey, type WorkerState } from '../workers/workerState.js';
import { compareUrgency, stepUrgency } from './order.js';
import { chooseWorker, demandOf, leastLacking, type OpenWorker } from './place.js';

/** Workers that one question to the advice service names; each adds to the time of the answer. */
const WORKERS_PER_QUESTION = 12;

/** One pass over the steps that wait: who gets room, and where. */
export interface SchedulePass {
	run(now: number): void;
	/** The earliest time at which a pass may start something that this one could not; `undefined` when only news can. */
	nextPassAt(now: number): number | undefined;
}

interface PoolPass {
	/** Workers that may still take runs in this pass. */
	workers: readonly OpenWorker[];
	/** Workers that may be kept free for steps that fit nowhere yet. */
	reservations: number;
	/** No worker has more room left than this in any dimension; a larger demand need not be tried on each of them. */
	readonly mostLeft: Resources;
}

/** Part of a pool's workers that is kept free at most for steps that fit nowhere; lasting tasks may take more. */
const RESERVED_SHARE = 0.34;

/** Part of a pool's workers that stays open at least, however bad their outcomes look. */
const MOSTLY_SOUND_SHARE = 0.5;

/** Steps that start sooner get no line of their own: nothing held them up. */
const NOTED_WAIT_MS = 100;

/** Creates the pass. */
export function createSchedulePass(context: EngineContext): SchedulePass {
	const { workers, teams, jobs, counters } = context;
	let nextAt: number | undefined;

	const wakeAt = (time: number): void => {
		nextAt = nextAt === undefined ? time : Math.min(nextAt, time);
	};

	const rackOf = (workerKey: string): string | undefined => rackOfState(workers.get(workerKey));

	const openWorkers = (pool: string, now: number): OpenWorker[] => {
		const open: OpenWorker[] = [];
		const aside: OpenWorker[] = [];
		for (const state of workers.current()) {
			const { entry } = state;
			if (
				entry?.pool !== pool ||
				!state.isListed ||
				state.isOver ||
				entry.isDraining ||
				state.isClosing ||
				state.contact !== 'answering' ||
				state.clock === undefined ||
				mayStillStartUnasked(state)
			) {
				continue;
			}
			const doubt = doubtOf(state, now);
			const worker = { state, room: entry.resources, rack: rackOfState(state) ?? '', doubt: doubt.load };
			const avoidUntil = Math.max(state.avoidUntil, doubt.asideUntil);
			if (now < avoidUntil) {
				wakeAt(avoidUntil);
				aside.push(worker);
			} else {
				open.push(worker);
			}
		}
		// When most of a pool looks bad, the cause is not its workers.
		return open.length < MOSTLY_SOUND_SHARE * (open.length + aside.length) ? [...open, ...aside] : open;
	};

	const allowsTeam = (step: Step, count: number): boolean => {
		const { team } = step.occurrence.job.accepted;
		const plan = team === undefined ? undefined : context.knownTeams.get(team);
		return plan === undefined || teams.allows(plan, step.spec.demand, count);
	};

	/** Workers with a ticket; asks for more when there are none with room. */
	const advisedWorkers = (step: Step, pool: PoolPass, now: number): ReadonlySet<string> | undefined => {
		const { job } = step.occurrence;
		if (context.queues.get(job.accepted.queue)?.advice === undefined) {
			return undefined;
		}
		const allowed = context.advice.allowed(step, now);
		const demand = demandOf(step.spec);
		const hasRoom = ({ state, room }: OpenWorker): boolean => fitsInto(demand, subtractResources(room, state.used));
		if (!pool.workers.some(worker => allowed.has(worker.state.worker) && hasRoom(worker))) {
			const candidates = pool.workers
				.filter(hasRoom)
				.sort((left, right) => left.state.used.milliCores - right.state.used.milliCores)
				.map(worker => worker.state.worker);
			const named = context.advice.unasked(step, candidates, now).slice(0, WORKERS_PER_QUESTION);
			if (named.length > 0) {
				context.advice.asked(step);
				const place = { job: job.accepted.id, occurrence: step.occurrence.number, step: step.number };
				context.atOnce({ type: 'advise', step: formatStepName(place), workers: named });
			}
		}
		return allowed;
	};

	const reserve = (state: WorkerState, step: Step): void => {
		state.used = addResources(state.used, demandOf(step.spec));
	};
	const release = (state: WorkerState, step: Step): void => {
		state.used = subtractResources(state.used, demandOf(step.spec));
	};

	/** A worker for each member, or none at all. */
	const placeGang = (
		step: Step,
		pool: Readonly<PoolPass>,
		allowed: ReadonlySet<string> | undefined,
	): ReadonlyMap<Task, OpenWorker> | undefined => {
		const racks = step.spec.sameRack ? racksOf(step, pool.workers) : [step.spec.dataRack];
		for (const onlyRack of racks) {
			const chosen = new Map<Task, OpenWorker>();
			for (const task of step.tasks) {
				const worker = chooseWorker(task, { workers: pool.workers, rackOf, onlyRack, allowed });
				if (worker === undefined) {
					break;
				}
				chosen.set(task, worker);
				reserve(worker.state, step);
			}
			chosen.forEach(({ state }) => release(state, step));
			if (chosen.size === step.tasks.length) {
				return chosen;
			}
		}
		return undefined;
	};

	const start = (task: Task, { state }: OpenWorker, run: number, now: number): void => {
		const started: StartedRun = [task.name, run, state.worker, state.life, false];
		context.record({ type: 'started', runs: [started] }, now);
		const added = state.runs.get(runKey(task.name, run));
		if (added === undefined) {
			return;
		}
		added.phase = 'starting';
		// Until the order is sent its deadline is not known; no listing may settle the run before.
		added.startByMs = Infinity;
		const { spec } = task.step.occurrence.job;
		context.afterBatch({
			type: 'start',
			workerKey: state.key,
			task: task.name,
			run,
			payload: spec.payload,
			checkpoint: task.checkpoint,
			ticket: context.advice.ticket(task.step, state.worker, now),
		});
		counters.add('starts_total', { queue: task.step.occurrence.job.accepted.queue });
	};

	const startGang = (step: Step, pool: PoolPass, now: number): void => {
		const allowed = advisedWorkers(step, pool, now);
		if (step.waiting < step.tasks.length || !allowsTeam(step, step.tasks.length)) {
			return;
		}
		const chosen = placeGang(step, pool, allowed);
		if (chosen === undefined) {
			return;
		}
		const run = step.gangRun + 1;
		chosen.forEach((worker, task) => start(task, worker, run, now));
	};

	const startTasks = (step: Step, pool: PoolPass, now: number): void => {
		const before = step.waiting;
		const since = step.tasks.find(({ state }) => state === 'waiting')?.readySince ?? now;
		placeTasks(step, pool, now);
		if (step.waiting < before && now - since >= NOTED_WAIT_MS) {
			context.note('tasks-started', {
				job: step.occurrence.job.accepted.id,
				step: step.number,
				tasks: before - step.waiting,
				waiting: step.waiting,
				waitedMs: Math.round(now - since),
				workers: pool.workers.length,
			});
		}
	};

	const placeTasks = (step: Step, pool: PoolPass, now: number): void => {
		const allowed = advisedWorkers(step, pool, now);
		for (const task of step.tasks) {
			if (task.state !== 'waiting') {
				continue;
			}
			if (now < task.notBefore) {
				wakeAt(task.notBefore);
				continue;
			}
			if (!allowsTeam(step, 1)) {
				return;
			}
			const worker = fitsInto(demandOf(step.spec), pool.mostLeft)
				? (chooseWorker(task, { workers: pool.workers, rackOf, onlyRack: step.spec.dataRack, allowed }) ??
					elsewhere(task, pool, allowed, now))
				: undefined;
			if (worker === undefined) {
				keepRoom(task, pool);
				return;
			}
			start(task, worker, task.lastRun + 1, now);
		}
	};

	/**
	 * Small tasks that end all the time would take every bit of room that a large one waits for. One worker, the one that
	 * lacks least, takes nothing else until the task fits there.
	 */
	const keepRoom = (task: Task, pool: PoolPass): void => {
		const { spec } = task.step;
		if (pool.reservations <= 0 && !spec.isLasting) {
			return;
		}
		const worker = leastLacking(task, pool.workers);
		if (worker !== undefined) {
			pool.reservations--;
			pool.workers = pool.workers.filter(other => other !== worker);
		}
	};

	/** Far from the data a task takes several times as long, so it first waits about that long for room near it. */
	const elsewhere = (
		task: Task,
		pool: PoolPass,
		allowed: ReadonlySet<string> | undefined,
		now: number,
	): OpenWorker | undefined => {
		if (task.step.spec.dataRack === undefined) {
			return undefined;
		}
		const { accepted } = task.step.occurrence.job;
		const patience = 2 * context.durations.expect(accepted.queue, task.step.spec.estimateMs);
		if (now < task.readySince + patience) {
			wakeAt(task.readySince + patience);
			return undefined;
		}
		return chooseWorker(task, { workers: pool.workers, rackOf, allowed });
	};

	const runPool = (steps: Step[], workersOfPool: readonly OpenWorker[], now: number): void => {
		const pool: PoolPass = {
			workers: workersOfPool,
			reservations: Math.floor(workersOfPool.length * RESERVED_SHARE),
			mostLeft: workersOfPool.reduce(
				(most, { state, room }) => maximumResources(most, subtractResources(room, state.used)),
				noResources,
			),
		};
		const ordered = steps
			.map(step => ({ step, urgency: stepUrgency(step, step.occurrence.job.times, now) }))
			.sort((left, right) => compareUrgency(left.urgency, right.urgency));
		for (const { step } of ordered) {
			(step.spec.isGang ? startGang : startTasks)(step, pool, now);
			if (step.waiting === 0) {
				context.readySteps.delete(step);
			}
		}
	};

	return {
		run: now => {
			nextAt = undefined;
			context.needsPass = false;
			const byPool = new Map<string, Step[]>();
			for (const step of context.readySteps) {
				const { job } = step.occurrence;
				if (job.state !== 'open' || step.waiting === 0) {
					context.readySteps.delete(step);
					continue;
				}
				const { pool } = context.termsOf(job.accepted);
				const known = byPool.get(pool);
				if (known === undefined) {
					byPool.set(pool, [step]);
				} else {
					known.push(step);
				}
			}
			for (const [pool, steps] of byPool) {
				const open = openWorkers(pool, now);
				if (open.length > 0) {
					runPool(steps, open, now);
				}
			}
			counters.set('ready_steps', context.readySteps.size);
			counters.set('open_jobs', jobs.size);
		},
		nextPassAt: () => nextAt,
	};
}

/** Whether an order to an earlier life may still begin here, so that the room is not known. */
function mayStillStartUnasked(state: WorkerState): boolean {
	return [...state.forbidden.values()].some(({ stoppedClockMs }) => stoppedClockMs === undefined);
}

/** The rack of a worker, which its labels name beside its kind. */
export function rackOfState(state: WorkerState | undefined): string | undefined {
	return state?.entry?.rack;
}

/** Racks to try for a gang that belongs together, the data's first. */
function racksOf(step: Step, workers: readonly OpenWorker[]): readonly (string | undefined)[] {
	const racks = [...new Set(workers.map(({ rack }) => rack))];
	const near = step.spec.dataRack;
	return near === undefined ? [...racks, undefined] : [near, ...racks.filter(rack => rack !== near), undefined];
}
