import {
	dominantShare,
	maximumResources,
	noResources,
	scaleResources,
	type Resources,
} from '@chestnutwheel/ports/common/resources.js';
import type { EngineContext } from '../engineContext.js';
import type { JobSpec, StepSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import type { Job, Step } from '../jobs/job.js';
import { poolRooms, type PoolRoom, type PoolRooms } from '../pools/poolRoom.js';
import { effectiveDemand } from './placement.js';
import { createUsableRoom, type UsableRoom } from '../pools/usableRoom.js';
import { waitingWorkByPool } from '../pools/waitingWork.js';
import { createRunningWork, remainingWork, type RoomHold } from './remainingWork.js';
import { USEFUL_OBJECTIVE_MULTIPLE, type JobTiming } from './stepUrgency.js';
import { MINIMUM_LATE_SHARE } from './lateShare.js';
import {
	fitsBeside,
	selectTimely,
	sortByDue,
	workOf,
	type TimelyCandidate,
	type TimelyDemand,
} from './timelySelection.js';

/** Interval at which the work and the room of all pools are summed anew, in milliseconds. */
const REFRESH_MS = 50;

/**
 * Part of a task's duration that is in progress on average while its pool is full. The room that runs free up goes to waiting
 * tasks before the work of the runs is done.
 */
const IN_PROGRESS_FRACTION = 0.5;

/** Part of the remaining work of the runs that delays waiting tasks. Ends are spread evenly over the time that is left. */
const RUNNING_FRACTION = 0.5;

/** A job that asks for admission, measured against the room of its pool. */
export interface Newcomer {
	readonly queue: string;
	readonly team: string | undefined;
	readonly rank: number;
	readonly spec: JobSpec;
	/** Times of the job, counted from its first attempt. */
	readonly timing: Pick<JobTiming, 'acceptedAt' | 'objectiveMs' | 'remainingPaths'>;
	readonly exceedsTeamShare: boolean;
}

/** What would become of a job if it were admitted now. */
export interface AdmissionForecast {
	/** Whether it can be in time beside the jobs that are to be in time already. */
	readonly isTimely: boolean;
	/** Time until the pool has completed the work that would run before it, in milliseconds. */
	readonly aheadMs: number;
	/** Work of the job, in milliseconds of the whole room of the pool. */
	readonly workMs: number;
	/** Share of the pool that its team may use, 0 to 1. */
	readonly share: number;
}

/** Forecasts which jobs of each pool end in time. */
export interface PoolForecast {
	/** Returns the forecast of a job that is not accepted yet; `undefined` while its pool has no room that is known. */
	assess(pool: string, newcomer: Newcomer, now: number): AdmissionForecast | undefined;
	/** Adds a job that was admitted. */
	admit(job: Job, now: number): void;
	/** Whether a job of a pool gives way to those that can be in time. */
	isDeferred(job: Job): boolean;
	/** Sums work and room anew if the last sums are out of date. */
	refresh(now: number): void;
	/** Whether jobs of the pool are deferred. */
	isShort(pool: string): boolean;
	/** Records the state of a pool after a pass that left tasks waiting. */
	readonly recordFullPool: UsableRoom['record'];
	/** Returns work in milliseconds of the whole room of a pool. */
	workMs(pool: string, work: Resources): number;
}

/** Creates the forecast of an engine. */
export type ForecastFactory = (context: EngineContext) => PoolForecast;

interface Entry extends TimelyCandidate {
	readonly job: Job | undefined;
}

/** Sums of a pool at the last refresh, with the jobs admitted since. */
interface PoolState {
	readonly room: PoolRoom;
	/** Jobs that can still be in time. */
	readonly candidates: Entry[];
	/** Runs of all jobs. */
	readonly holds: RoomHold[];
	/** Work of the runs within a time. */
	runningMs: (untilMs: number) => number;
	/** Waiting work of jobs without an objective. */
	fixedMs: number;
	/** Jobs that can end while their results are of use, but not in time: their work and the end of their usefulness. */
	readonly late: { readonly team: string; readonly workMs: number; readonly usefulForMs: number }[];
	readonly weights: Map<string, number>;
	selected: Set<Entry>;
	/** Demands of all candidates by the time at which they are due, while all are selected. */
	sorted: readonly TimelyDemand[];
}

/** Returns the name under which the shares of a team's jobs are summed. */
function teamKey(team: string | undefined): string {
	return team ?? '';
}

/**
 * Creates the forecast of an engine. Under a load of several times the room it tells the jobs that receive room in time
 * from those that do not, for the admission of newcomers and for the order of the scheduling pass alike, so that a job
 * admitted as timely is also run as such. While all jobs fit, no job is deferred and the pass keeps its order.
 */
export function createPoolForecast(context: EngineContext): PoolForecast {
	const { workers, counters } = context;
	const usableRoom = createUsableRoom();
	const pools = new Map<string, PoolState>();
	const deferred = new Set<Job>();
	let rooms: PoolRooms | undefined;
	let refreshedAt = -Infinity;

	const expectedMs = ({ spec, occurrence }: Step): number =>
		context.startDelay.averageMs + context.durations.expectedMs(occurrence.job.accepted.queue, spec.estimateMs);

	const weightOf = (team: string | undefined): number =>
		team === undefined ? 1 : (context.knownTeams.get(team)?.weight ?? 1);

	/** Returns the time by which a step must start so that its job meets its objective. */
	const latestStart = ({ acceptedAt, objectiveMs, remainingPaths }: Newcomer['timing'], step: number): number => {
		const { lengthMs, steps } = remainingPaths[step] ?? { lengthMs: 0, steps: 1 };
		return acceptedAt + objectiveMs - lengthMs - (steps + 1) * context.startDelay.averageMs;
	};

	/** Returns a team's share of a pool among the teams that have work there. */
	const shareOf = ({ weights }: PoolState, team: string | undefined): number => {
		let total = weights.has(teamKey(team)) ? 0 : weightOf(team);
		for (const weight of weights.values()) {
			total += weight;
		}
		return total <= 0 ? 1 : weightOf(team) / total;
	};

	/** Returns the jobs with waiting or running tasks, by pool. */
	const jobsByPool = (): ReadonlyMap<string, ReadonlySet<Job>> => {
		const byPool = new Map<string, Set<Job>>();
		const add = (job: Job): void => {
			if (job.state !== 'open') {
				return;
			}
			const { pool } = context.queueTermsOf(job.accepted);
			const known = byPool.get(pool);
			if (known === undefined) {
				byPool.set(pool, new Set([job]));
			} else {
				known.add(job);
			}
		};
		for (const { occurrence } of context.readySteps) {
			add(occurrence.job);
		}
		for (const { runs } of workers.current()) {
			for (const { task } of runs.values()) {
				if (!task.step.spec.isLasting) {
					add(task.step.occurrence.job);
				}
			}
		}
		return byPool;
	};

	const select = (state: PoolState): void => {
		state.selected = selectTimely(state.candidates, state.room.supplyMs, workInAnyCase(state));
		state.sorted = hasSlack(state) ? sortByDue(state.candidates.flatMap(({ demands }) => demands)) : [];
		for (const candidate of state.candidates) {
			const { job } = candidate;
			if (job === undefined) {
				continue;
			}
			if (state.selected.has(candidate)) {
				deferred.delete(job);
			} else {
				deferred.add(job);
			}
		}
	};

	/** Adds a job with its remaining work to the sums of its pool. */
	const addJob = (state: PoolState, job: Job, now: number): void => {
		const { accepted, timing, spec, hasStarted } = job;
		const { running, waiting } = remainingWork(job, expectedMs, now);
		const { room } = state;
		for (const { demand, remainingMs } of running) {
			state.holds.push({ fraction: room.workMs(demand), forMs: RUNNING_FRACTION * remainingMs });
		}
		if (spec.repeats > 0) {
			state.fixedMs += waiting.reduce((sum, { step, work }) => sum + (step.isOpen ? room.workMs(work) : 0), 0);
			return;
		}
		const demands = waiting.map(({ step, work, taskMs }) => ({
			workMs: room.workMs(work),
			dueInMs: latestStart(timing, step.number) + IN_PROGRESS_FRACTION * taskMs - now,
		}));
		const isTooLate = waiting.some(({ step }) => step.isOpen && latestStart(timing, step.number) < now);
		if (isTooLate) {
			const usefulForMs = timing.acceptedAt + USEFUL_OBJECTIVE_MULTIPLE * timing.objectiveMs - now;
			if (usefulForMs > 0) {
				state.late.push({
					team: teamKey(accepted.team),
					workMs: demands.reduce((sum, { workMs }) => sum + workMs, 0),
					usefulForMs,
				});
			}
			return;
		}
		const team = teamKey(accepted.team);
		state.weights.set(team, weightOf(accepted.team));
		state.candidates.push({
			job,
			demands,
			share: 1,
			team,
			acceptedAt: timing.acceptedAt,
			exceedsTeamShare: timing.exceedsTeamShare,
			rank: timing.priority,
			hasStarted,
		});
	};

	const createState = (pool: string): PoolState | undefined => {
		const room = rooms?.roomOf(pool, true, usableRoom.fractionOf(pool));
		if (room === undefined || room.full.milliCores <= 0) {
			return undefined;
		}
		const state: PoolState = {
			room,
			candidates: [],
			holds: [],
			runningMs: () => 0,
			fixedMs: 0,
			late: [],
			weights: new Map(),
			selected: new Set(),
			sorted: [],
		};
		pools.set(pool, state);
		return state;
	};

	const refresh = (now: number): void => {
		if (now < refreshedAt + REFRESH_MS) {
			return;
		}
		refreshedAt = now;
		pools.clear();
		deferred.clear();
		rooms = poolRooms(context, waitingWorkByPool(context, expectedMs), now);
		for (const [pool, jobs] of jobsByPool()) {
			const state = createState(pool);
			if (state === undefined) {
				continue;
			}
			jobs.forEach(job => addJob(state, job, now));
			state.runningMs = createRunningWork(state.holds);
			setShares(state);
			select(state);
		}
		counters.set('deferred_jobs', deferred.size);
	};

	const setShares = (state: PoolState): void => {
		const shares = new Map<string, number>();
		for (const entry of state.candidates.splice(0)) {
			const share = shares.get(entry.team) ?? shareOf(state, entry.job?.accepted.team);
			shares.set(entry.team, share);
			state.candidates.push({ ...entry, share });
		}
	};

	/** Whether a job fits beside all others, which are all in time. */
	const fitsBesideAll = (state: PoolState, demands: readonly TimelyDemand[]): boolean =>
		hasSlack(state) && fitsBeside(state.sorted, demands, state.room.supplyMs, workInAnyCase(state));

	/** Returns the part of the room that late jobs may count on beside the jobs that go on arriving. */
	const lateRate = (pool: string, room: PoolRoom, now: number): number => {
		const arriving = dominantShare(context.arrivingWork.estimate(pool, now), maximumResources(room.full, noResources));
		return Math.max(MINIMUM_LATE_SHARE, 1 - arriving);
	};

	return {
		assess: (pool, newcomer, now) => {
			refresh(now);
			const state = pools.get(pool) ?? createState(pool);
			if (state === undefined) {
				return undefined;
			}
			const { room } = state;
			const { spec, timing, queue } = newcomer;
			const share = shareOf(state, newcomer.team);
			const taskMs = ({ estimateMs }: StepSpec): number =>
				context.startDelay.averageMs + context.durations.expectedMs(queue, estimateMs);
			const demands = spec.steps.map((step, number) => ({
				workMs: room.workMs(scaleResources(effectiveDemand(step), step.count * taskMs(step))),
				dueInMs: latestStart(timing, number) + IN_PROGRESS_FRACTION * taskMs(step) - now,
			}));
			const entry: Entry = {
				job: undefined,
				demands,
				share,
				team: teamKey(newcomer.team),
				acceptedAt: timing.acceptedAt,
				exceedsTeamShare: newcomer.exceedsTeamShare,
				rank: newcomer.rank,
				hasStarted: false,
			};
			const workMs = workOf(entry);
			const isPossible = spec.steps.every((_, number) => latestStart(timing, number) >= now);
			// The selection holds the room until its latest start.
			const timely = { isTimely: true, aheadMs: Math.max(0, latestStart(timing, 0) - now), workMs, share };
			if (isPossible && fitsBesideAll(state, demands)) {
				return timely;
			}
			const withNewcomer = isPossible
				? selectTimely([...state.candidates, entry], room.supplyMs, workInAnyCase(state))
				: state.selected;
			if (withNewcomer.has(entry)) {
				return timely;
			}
			const timelyMs = [...withNewcomer].reduce((sum, other) => sum + workOf(other), 0);
			let lateMs = 0;
			for (const other of state.candidates) {
				lateMs += withNewcomer.has(other) ? 0 : workOf(other);
			}
			const usefulForMs = timing.acceptedAt + USEFUL_OBJECTIVE_MULTIPLE * timing.objectiveMs - now;
			for (const other of state.late) {
				lateMs += other.usefulForMs <= usefulForMs ? other.workMs : 0;
			}
			// A team within its share receives it whatever the others have waiting.
			const ownMs = teamWorkMs(state, entry.team) / Math.max(1e-3, share);
			const waitingMs = Math.min(ownMs, timelyMs + lateMs / lateRate(pool, room, now));
			const aheadMs = room.timeForMs(state.runningMs(Math.max(0, usefulForMs)) + waitingMs);
			return { isTimely: false, aheadMs, workMs, share };
		},
		admit: (job, now) => {
			const state = pools.get(context.queueTermsOf(job.accepted).pool);
			if (state === undefined) {
				return;
			}
			addJob(state, job, now);
			const added = state.candidates.at(-1);
			if (added?.job === job) {
				state.candidates.pop();
				const fits = fitsBesideAll(state, added.demands);
				state.candidates.push(added);
				if (fits) {
					state.selected.add(added);
					state.sorted = sortByDue([...state.sorted, ...added.demands]);
					return;
				}
			}
			setShares(state);
			select(state);
		},
		isDeferred: job => deferred.has(job),
		refresh,
		isShort: pool => {
			const state = pools.get(pool);
			return state !== undefined && (state.late.length > 0 || state.selected.size < state.candidates.length);
		},
		recordFullPool: usableRoom.record,
		workMs: (pool, work) => pools.get(pool)?.room.workMs(work) ?? 0,
	};
}

/** Returns the waiting work of a team, in milliseconds of the whole room of the pool. */
function teamWorkMs({ candidates, late }: PoolState, team: string): number {
	const timelyMs = candidates.reduce((sum, other) => sum + (other.team === team ? workOf(other) : 0), 0);
	return late.reduce((sum, other) => sum + (other.team === team ? other.workMs : 0), timelyMs);
}

/** Whether all jobs of a pool that can still be in time are selected. */
function hasSlack({ selected, candidates }: PoolState): boolean {
	return selected.size === candidates.length;
}

/** Returns the work that runs in any case within a time, both in milliseconds of the whole room. */
function workInAnyCase({ fixedMs, runningMs }: PoolState): (untilMs: number) => number {
	return untilMs => fixedMs + runningMs(untilMs);
}
