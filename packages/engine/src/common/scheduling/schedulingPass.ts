import { scaleResources } from '@chestnutwheel/ports/common/resources.js';
import type { EngineContext } from '../engineContext.js';
import type { Job, Step, Task } from '../jobs/job.js';
import type { StartedRun } from '../jobs/journalEvent.js';
import { recordStart } from '../jobs/stepTimeline.js';
import { suspicionOf } from '../workers/workerSuspicion.js';
import { longLeaseEnd } from '../workers/workerLeases.js';
import { isFenced, runKey, type WorkerState } from '../workers/workerState.js';
import { compareUrgency, stepUrgency } from './stepUrgency.js';
import { isOnTrial, trialKindOf } from './crashTrial.js';
import { createAdviceRequests, type TentativeAssignment } from './adviceRequests.js';
import { placeGang } from './gangPlacement.js';
import { assignTasks, chooseWorker, effectiveDemand, type SchedulableWorker } from './placement.js';
import { createPlaceWaits } from './placeWaits.js';
import { createLateShare, findLateSteps } from './lateShare.js';
import type { PoolForecast } from './poolForecast.js';
import { createPoolSearch, type PoolSearch } from './poolSearch.js';

/** Assigns workers to the tasks of all ready steps, pool by pool, in order of urgency. */
export interface SchedulingPass {
	/** Runs one pass. @param now monotonic time in milliseconds */
	run(now: number): void;
	/** Returns the earliest time at which another pass may start more tasks; `undefined` if only a new event can. */
	nextPassAt(now: number): number | undefined;
}

/** If less than this share of a pool's workers would stay out of quarantine, none of them is quarantined. */
const MINIMUM_OPEN_SHARE = 0.5;

/** Interval between two looks for a worker that suits a trial, in milliseconds. */
const TRIAL_RETRY_MS = 50;

/** Interval at which a wait for a place is reviewed, since its workers may fall silent or be cordoned, in milliseconds. */
const PLACE_REVIEW_MS = 100;
/** Maximum number of tasks of a step for which one pass asks for advice. */
const TASKS_PER_ADVICE_REQUEST = 100;

/** Shorter waits are not logged, because nothing delayed the step. */
const MINIMUM_LOGGED_WAIT_MS = 100;

/** Creates the scheduling pass of an engine. */
export function createSchedulingPass(context: EngineContext, forecast: PoolForecast): SchedulingPass {
	const { workers, teamUsage: teams, jobs, counters } = context;
	const placeWaits = createPlaceWaits(context);
	const adviceRequests = createAdviceRequests(context);
	let nextAt: number | undefined;
	const lateShare = createLateShare();
	const startedJobs = new WeakSet<Job>();

	const requestPassAt = (time: number): void => {
		nextAt = nextAt === undefined ? time : Math.min(nextAt, time);
	};

	const rackOf = (workerKey: string): string | undefined => rackOfWorker(workers.get(workerKey));

	/** Whether a worker is known to belong to the pool, is up and stays. */
	const isSound = (state: WorkerState, pool: string): boolean =>
		state.entry?.pool === pool &&
		state.isListed &&
		!state.hasEnded &&
		!state.isEntryInherited &&
		!state.entry.isDraining &&
		!context.evacuated.has(state.entry.dataCentre) &&
		!context.hosts.isCordoned(state) &&
		state.reachability === 'answering';

	const schedulableWorkers = (pool: string, dueHosts: ReadonlySet<string>, now: number): SchedulableWorker[] => {
		const open: SchedulableWorker[] = [];
		const quarantined: SchedulableWorker[] = [];
		for (const state of workers.current()) {
			const { entry } = state;
			if (entry === undefined || !isSound(state, pool) || !isFenced(state) || isOnTrial(state)) {
				continue;
			}
			const suspicion = suspicionOf(state, now);
			const worker = {
				state,
				resources: entry.resources,
				rack: rackOfWorker(state) ?? '',
				isDueForMaintenance: dueHosts.has(entry.host),
				suspicion: suspicion.loadPenalty,
				isWarmingUp: now < state.warmUntil,
			};
			const avoidUntil = Math.max(state.avoidUntil, suspicion.quarantinedUntil);
			if (now < avoidUntil) {
				requestPassAt(avoidUntil);
				quarantined.push(worker);
			} else {
				open.push(worker);
			}
		}
		// If most workers of a pool look faulty, the cause lies outside the workers.
		return open.length < MINIMUM_OPEN_SHARE * (open.length + quarantined.length) ? [...open, ...quarantined] : open;
	};

	const poolOf = ({ occurrence }: Step): string => context.queueTermsOf(occurrence.job.accepted).pool;

	const isWithinTeamCap = (step: Step, count: number): boolean => {
		const { team } = step.occurrence.job.accepted;
		const plan = team === undefined ? undefined : context.knownTeams.get(team);
		return plan === undefined || teams.allows(plan, step.spec.demand, count);
	};

	/** Returns the workers that hold a valid ticket; `undefined` if the step's queue has no advice service. */
	const ticketHolders = (step: Step, now: number): ReadonlySet<string> | undefined =>
		adviceRequests.planOf(step) === undefined ? undefined : context.advice.allowedWorkers(step, now);

	const requestAdvice = (step: Step, assign: TentativeAssignment, pool: PoolSearch, now: number): void => {
		const requestAt = adviceRequests.request(step, assign, pool.workers, now);
		if (requestAt !== undefined) {
			requestPassAt(requestAt);
		}
	};

	/** Requests tickets for waiting tasks that the workers with tickets have no room for. */
	const requestAdviceForTasks = (step: Step, pool: PoolSearch, now: number): void => {
		const { dataRack } = step.spec;
		const waiting = step.tasks
			.filter(({ state, notBefore }) => state === 'waiting' && notBefore <= now)
			.slice(0, TASKS_PER_ADVICE_REQUEST);
		const assign: TentativeAssignment = penaltyOf => {
			const options = { workers: pool.workers, rackOf, penaltyOf };
			const assigned = assignTasks(waiting, { ...options, onlyRack: dataRack });
			if (dataRack === undefined) {
				return assigned;
			}
			const mayLeave = (task: Task): boolean => !assigned.has(task) && mayLeaveRacks(task, [dataRack], now);
			return new Map([...assigned, ...assignTasks(waiting.filter(mayLeave), options)]);
		};
		requestAdvice(step, assign, pool, now);
	};

	/** Logs the first start of a job in this term. The starts of its other tasks are too many to be logged. */
	const logFirstStart = (job: Job): void => {
		if (startedJobs.has(job)) {
			return;
		}
		startedJobs.add(job);
		context.logDecision('job-started', {
			job: job.accepted.id,
			queue: job.accepted.queue,
			term: context.term,
			isFromJournal: job.acceptedBatch === 0,
			state: job.hasStarted ? 'running' : 'queued',
		});
	};

	const start = (task: Task, { state }: SchedulableWorker, run: number, now: number): void => {
		logFirstStart(task.step.occurrence.job);
		const started: StartedRun = [task.name, run, state.worker, state.incarnation, false];
		const longLeaseUntil = longLeaseEnd(state, context, now);
		if (longLeaseUntil !== undefined && context.longLeases.add(state.key, longLeaseUntil)) {
			context.record({ type: 'long-leases', workers: [state.key] }, now);
		}
		context.record({ type: 'started', runs: [started] }, now);
		const added = state.runs.get(runKey(task.name, run));
		if (added === undefined) {
			return;
		}
		added.phase = 'starting';
		recordStart(task.step.timeline, task.readySince, now);
		// The start deadline is unknown until the order is sent, so no worker listing may resolve the run earlier.
		added.startByMs = Infinity;
		const trialKind = trialKindOf(task);
		if (trialKind !== undefined) {
			state.trial = { run: added, kind: trialKind };
			context.logDecision('crash-trial', {
				task: task.name,
				run,
				worker: state.key,
				kind: trialKind,
				lostWorkers: task.crashes,
				runs: state.runs.size - 1,
			});
		}
		const { spec } = task.step.occurrence.job;
		context.emitWhenStored({
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

	const startGang = (step: Step, pool: PoolSearch, now: number): void => {
		pool.applyReservations();
		if (step.waitingCount < step.tasks.length || !isWithinTeamCap(step, step.tasks.length)) {
			return;
		}
		const notBefore = step.tasks.reduce((latest, member) => Math.max(latest, member.notBefore), 0);
		if (now < notBefore) {
			requestPassAt(notBefore);
			return;
		}
		const [task] = step.tasks;
		const options = {
			workers: pool.workers,
			rackOf,
			mayLeaveRacks: (racks: readonly string[]) => task !== undefined && mayLeaveRacks(task, racks, now),
		};
		const chosen = placeGang(step, { ...options, allowedWorkers: ticketHolders(step, now) });
		if (chosen === undefined) {
			requestAdvice(step, penaltyOf => placeGang(step, { ...options, penaltyOf }), pool, now);
			return;
		}
		const run = step.lastGangRun + 1;
		if (task !== undefined) {
			placeWaits.recordStart(task, [...chosen.values()], now);
		}
		chosen.forEach((worker, member) => start(member, worker, run, now));
		pool.withhold(({ state }) => isOnTrial(state));
	};

	const startTasks = (step: Step, pool: PoolSearch, now: number): void => {
		const waitingBefore = step.waitingCount;
		const readySince = step.tasks.find(({ state }) => state === 'waiting')?.readySince ?? now;
		placeTasks(step, pool, now);
		if (step.waitingCount < waitingBefore && now - readySince >= MINIMUM_LOGGED_WAIT_MS) {
			context.logDecision('tasks-started', {
				job: step.occurrence.job.accepted.id,
				step: step.number,
				tasks: waitingBefore - step.waitingCount,
				waiting: step.waitingCount,
				waitedMs: Math.round(now - readySince),
				workers: pool.workers.length,
			});
		}
	};

	const placeTasks = (step: Step, pool: PoolSearch, now: number): void => {
		const allowedWorkers = ticketHolders(step, now);
		if (allowedWorkers !== undefined && isWithinTeamCap(step, 1)) {
			pool.applyReservations();
			requestAdviceForTasks(step, pool, now);
		}
		let hasReserved = false;
		for (const task of step.tasks) {
			if (task.state !== 'waiting') {
				continue;
			}
			if (now < task.notBefore) {
				requestPassAt(task.notBefore);
				continue;
			}
			if (!isWithinTeamCap(step, 1)) {
				return;
			}
			const trialKind = trialKindOf(task);
			const worker = pool.find(
				task,
				allowedWorkers !== undefined,
				workers =>
					chooseWorker(task, { workers, rackOf, onlyRack: step.spec.dataRack, allowedWorkers }) ??
					chooseRemoteWorker(task, workers, allowedWorkers, now),
			);
			if (worker === undefined) {
				if (!hasReserved) {
					pool.reserveFor(task);
					hasReserved = true;
				}
				if (trialKind !== undefined) {
					// The other tasks of the step need not wait for a worker that suits the trial.
					requestPassAt(now + TRIAL_RETRY_MS);
				} else if (step.spec.dataRack === undefined || !isWaitingForPlace(task)) {
					return;
				}
				// The place of the data may be too far away in time for those behind a task that waits for it.
				continue;
			}
			placeWaits.recordStart(task, [worker], now);
			start(task, worker, task.lastRun + 1, now);
			if (trialKind !== undefined) {
				pool.withhold(other => other === worker);
			}
		}
	};

	/**
	 * Whether the task, or the gang of the task, should start outside of the racks that it prefers, rather than wait for them.
	 * @param racks racks that would do, each for the whole gang
	 */
	const mayLeaveRacks = (task: Task, racks: readonly string[], now: number): boolean => {
		const decision = placeWaits.decide(task, racks, now);
		if (decision.type === 'wait') {
			requestPassAt(Math.min(decision.until, now + PLACE_REVIEW_MS));
		}
		return decision.type !== 'wait';
	};

	const isWaitingForPlace = (task: Task): boolean => placeWaits.decisionOf(task)?.type === 'wait';

	/** Chooses a worker outside the rack of the task's data, unless waiting for that rack is expected to pay. */
	const chooseRemoteWorker = (
		task: Task,
		poolWorkers: readonly SchedulableWorker[],
		allowedWorkers: ReadonlySet<string> | undefined,
		now: number,
	): SchedulableWorker | undefined => {
		const { dataRack } = task.step.spec;
		if (dataRack === undefined || !mayLeaveRacks(task, [dataRack], now)) {
			return undefined;
		}
		return chooseWorker(task, { workers: poolWorkers, rackOf, allowedWorkers });
	};

	const startStep = (step: Step, pool: PoolSearch, now: number): void => {
		(step.spec.isGang ? startGang : startTasks)(step, pool, now);
		if (step.waitingCount === 0) {
			context.readySteps.delete(step);
		}
	};

	/** Starts the first of some late steps that has room, before all others. @returns that step */
	const promoteLateStep = (name: string, late: readonly Step[], pool: PoolSearch, now: number): Step | undefined => {
		for (const step of late) {
			const waitingBefore = step.waitingCount;
			startStep(step, pool, now);
			if (step.waitingCount < waitingBefore) {
				const taskMs = context.durations.expectedMs(step.occurrence.job.accepted.queue, step.spec.estimateMs);
				const started = scaleResources(effectiveDemand(step.spec), (waitingBefore - step.waitingCount) * taskMs);
				lateShare.spend(name, forecast.workMs(name, started));
				counters.add('late_tasks_promoted_total', { pool: name });
				return step;
			}
		}
		return undefined;
	};

	const schedulePool = (name: string, steps: Step[], poolWorkers: readonly SchedulableWorker[], now: number): void => {
		placeWaits.beginPool({ name, workers: poolWorkers, steps }, now);
		const pool = createPoolSearch(poolWorkers, counters);
		const ordered = steps
			.map(step => {
				const { job } = step.occurrence;
				const isDeferred = forecast.isDeferred(job);
				return { step, urgency: stepUrgency(step, job.timing, context.startDelay.averageMs, now, isDeferred) };
			})
			.sort((left, right) => compareUrgency(left.urgency, right.urgency));
		const promoted = promoteLateStep(name, lateShare.isDue(name, now) ? findLateSteps(ordered, now) : [], pool, now);
		for (const { step } of ordered) {
			if (step !== promoted) {
				startStep(step, pool, now);
			}
		}
		if (forecast.isShort(name)) {
			forecast.recordFullPool(
				name,
				poolWorkers.map(({ state, resources }) => ({ used: state.usedResources, resources })),
			);
		}
	};

	return {
		run: now => {
			nextAt = undefined;
			context.needsSchedulingPass = false;
			forecast.refresh(now);
			const byPool = new Map<string, Step[]>();
			for (const step of context.readySteps) {
				const { job } = step.occurrence;
				if (job.state !== 'open' || step.waitingCount === 0) {
					context.readySteps.delete(step);
					continue;
				}
				const pool = poolOf(step);
				const known = byPool.get(pool);
				if (known === undefined) {
					byPool.set(pool, [step]);
				} else {
					known.push(step);
				}
			}
			const dueHosts = context.hosts.hostsDueForMaintenance();
			for (const [pool, steps] of byPool) {
				const open = schedulableWorkers(pool, dueHosts, now);
				if (open.length > 0) {
					schedulePool(pool, steps, open, now);
				}
			}
			counters.set('ready_steps', context.readySteps.size);
			counters.set('open_jobs', jobs.size);
		},
		nextPassAt: () => nextAt,
	};
}

/** Returns the rack of a worker; `undefined` if the worker is unknown or has no host list entry. */
export function rackOfWorker(state: WorkerState | undefined): string | undefined {
	return state?.entry?.rack;
}
