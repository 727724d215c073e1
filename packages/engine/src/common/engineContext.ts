import type { FleetPlan, QueuePlan, TeamPlan } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { createAdviceRegistry, type AdviceRegistry } from './scheduling/adviceRegistry.js';
import type { EngineEffect, EngineSettings, DecisionLogger } from './engineMessages.js';
import { createEarlyCancels, type EarlyCancels } from './jobs/earlyCancels.js';
import type { Job, Step, TaskRun } from './jobs/job.js';
import { createJobStateParts } from './jobs/jobStateParts.js';
import { createJobTable, type JobTable } from './jobs/jobTable.js';
import { createPredecessor, readTerm, type Predecessor } from './jobs/predecessor.js';
import {
	isHostEvent,
	eventWeight,
	type AcceptedJob,
	type JournalEvent,
	type QueuePolicy,
} from './jobs/journalEvent.js';
import { createEvacuatedDataCentres, type EvacuatedDataCentres } from './hosts/evacuatedDataCentres.js';
import { createHostRegistry, type HostRegistry } from './hosts/hostRegistry.js';
import { createLeaderStamps, type LeaderStamps } from './hosts/leaderStamps.js';
import { createMoveTime, type MoveTime } from './pools/moveTime.js';
import { createArrivalEstimator, type ArrivalEstimator } from './pools/poolDemand.js';
import { createTurnForecast, type TurnForecast } from './pools/turnForecast.js';
import { longestPath, remainingCriticalPaths, type StepTime } from './scheduling/criticalPath.js';
import { createDurationEstimator, type DurationEstimator } from './scheduling/durationEstimator.js';
import { createStartDelay, type StartDelay } from './scheduling/startDelay.js';
import { createCrashRate, type CrashRate } from './workers/crashRate.js';
import { createFencingTokens, type FencingTokens } from './workers/fencingTokens.js';
import { createLongLeases, type LongLeases } from './workers/longLeases.js';
import type { JobTiming } from './scheduling/stepUrgency.js';
import { createTeamRates } from './scheduling/teamRates.js';
import { createTeamUsage, type TeamUsage } from './scheduling/teamUsage.js';
import { createWorkerTable, type WorkerTable } from './workers/workerTable.js';

/** Options of an engine. */
export interface EngineOptions {
	readonly settings: EngineSettings;
	readonly counters: Counters;
	readonly logDecision: DecisionLogger;
	/** Returns the wall-clock time of this daemon in milliseconds since the Unix epoch. */
	readonly wallNow: () => number;
}

/**
 * Multiple of the longest lease of the predecessors for which the record of a term covers them once they have stopped. It
 * exceeds the difference between the rates of the clocks.
 */
const PREDECESSOR_LEASES_KEPT = 2;

/** State and services shared by the components of an engine. */
export interface EngineContext extends EngineOptions {
	readonly jobs: JobTable;
	readonly earlyCancels: EarlyCancels;
	readonly workers: WorkerTable;
	readonly hosts: HostRegistry;
	/** Data centres in which no task may start. */
	readonly evacuated: EvacuatedDataCentres;
	/** Stamps of the earlier leaders. */
	readonly leaderStamps: LeaderStamps;
	readonly teamUsage: TeamUsage;
	readonly durations: DurationEstimator;
	readonly startDelay: StartDelay;
	readonly crashRate: CrashRate;
	readonly fencingTokens: FencingTokens;
	/** Workers whose leases may be longer than this leader or a former one asks for. */
	readonly longLeases: LongLeases;
	readonly advice: AdviceRegistry;
	readonly arrivingWork: ArrivalEstimator;
	/** Forecast of the peaks of pools whose demand rises and falls by turns. */
	readonly turns: TurnForecast;
	/** Time that a move of a host takes now. */
	readonly moveTime: MoveTime;
	/** Open steps that have waiting tasks. */
	readonly readySteps: Set<Step>;
	/** Current term; `undefined` until the daemon leads and has read the journal. */
	term: number | undefined;
	/** Name of the leading daemon. */
	holder: string;
	/** Time at which the term began. */
	termBeganAt: number;
	/** Limits on the orders that earlier leaders may still send to workers that this leader cannot reach. */
	readonly predecessor: Predecessor;
	plan: FleetPlan | undefined;
	readonly queues: Map<string, QueuePlan>;
	/** Every team named by any plan so far; the cap of a removed team still applies to its jobs. */
	readonly knownTeams: Map<string, TeamPlan>;
	/** Jobs accepted in batches that are not yet stored, in order. */
	readonly unstoredJobs: Job[];
	/** Ended jobs whose final state is not yet visible to callers. */
	readonly unpublishedEndedJobs: Set<Job>;
	/** Number of jobs that have not ended. */
	openJobCount: number;
	/** Send time of the first append to the journal that is not stored, while the journal stalls. */
	journalStalledSince: number | undefined;
	/** Whether a change since the last scheduling pass may allow a step to start. */
	needsSchedulingPass: boolean;
	/** Whether the leader is about to hand over its term, so that its orders are no longer carried out. */
	isQuiescent: boolean;
	/** Applies an event that is in the journal already, or has just been recorded with offset 0. */
	apply(event: JournalEvent, offset: number, now: number): void;
	/** Adds an event to the next batch and applies it. */
	record(event: JournalEvent, now: number): void;
	/**
	 * Completes what is known of the predecessors once the journal has been read. If it held records before, and none of them
	 * names a term, the term that began last has expired: its leader may have granted the longest lease, and may still lead.
	 * @param journalEnd offset after the last record that the journal has ever held
	 */
	finishReplay(journalEnd: number): void;
	/**
	 * Records the leader of the term and the longest leases that it grants. As long as those of its predecessors may go on, the
	 * record covers them too, since their own records may expire first.
	 */
	recordTermBegin(now: number): void;
	/** Total weight of the events replayed before this term and recorded in it. */
	journalWeight: number;
	/** Number of the batch that receives the next events. */
	readonly nextBatch: number;
	/** Number of the newest batch that the journal has stored. */
	lastStoredBatch: number;
	/** Emits an effect that is carried out once the events recorded so far are stored. */
	emitWhenStored(effect: EngineEffect): void;
	/** Emits an effect that is carried out immediately. */
	emitNow(effect: EngineEffect): void;
	/** Returns the current terms of the job's queue, or those in force at its acceptance if the queue was removed. */
	queueTermsOf(job: AcceptedJob): QueuePolicy;
	/** Returns a function that estimates the durations of the steps of a queue's jobs. */
	stepTimeEstimates(queue: string): StepTime;
	/** Whether one more job of a team would exceed the team's share of submissions. */
	exceedsTeamShare(team: string | undefined): boolean;
	/** Returns the times of a job, updated by the measured durations of the steps that have ended. */
	updatedJobTimes(job: Job): JobTiming;
	/** Returns the events and effects produced since the last call, and clears them. */
	takeOutput(): {
		events: JournalEvent[];
		effectsWhenStored: EngineEffect[];
		immediateEffects: EngineEffect[];
		batch: number;
	};
}

/** Creates the shared state of an engine that has no jobs and no workers yet. */
export function createEngineContext(options: EngineOptions): EngineContext {
	let events: JournalEvent[] = [];
	let effectsWhenStored: EngineEffect[] = [];
	let immediateEffects: EngineEffect[] = [];
	let nextBatch = 1;
	const workers = createWorkerTable();
	const teamUsage = createTeamUsage();
	const durations = createDurationEstimator();
	const turns = createTurnForecast(options.counters, options.logDecision);
	const teamRates = createTeamRates();
	const readySteps = new Set<Step>();
	const queues = new Map<string, QueuePlan>();

	const queueTermsOf = (job: AcceptedJob): QueuePolicy => queues.get(job.queue) ?? job.terms;

	const stepTimeEstimates =
		(queue: string): StepTime =>
		({ estimateMs, count }) =>
			durations.expectedMaximumMs(queue, estimateMs, count);

	const objectiveAndChains = (
		job: AcceptedJob,
		stepTime: StepTime,
	): Pick<JobTiming, 'objectiveMs' | 'priority' | 'remainingPaths'> => {
		const { objectiveFactor, objectiveMs, priority } = queueTermsOf(job);
		const remainingPaths = remainingCriticalPaths(job.spec, stepTime);
		return {
			objectiveMs: objectiveFactor * longestPath(remainingPaths).lengthMs + objectiveMs,
			priority,
			remainingPaths,
		};
	};

	const initialJobTimes = (job: AcceptedJob, now: number): JobTiming => {
		const team = job.team === undefined ? undefined : context.knownTeams.get(job.team);
		const age = Math.max(0, options.wallNow() - job.acceptedAt);
		return {
			acceptedAt: now - age,
			exceedsTeamShare: team !== undefined && teamRates.count(team.name, team.weight, job.acceptedAt),
			...objectiveAndChains(job, stepTimeEstimates(job.queue)),
		};
	};

	/** Uses measured durations for steps that have ended. Only the first occurrence of a repeated job counts. */
	const updatedJobTimes = ({ accepted, timing: times, occurrences }: Job): JobTiming => {
		const expected = stepTimeEstimates(accepted.queue);
		const steps = occurrences.get(0)?.steps ?? [];
		return {
			...times,
			...objectiveAndChains(accepted, (spec, number) => {
				const step = steps[number];
				return step?.doneCount === spec.count && step.runTimesMs.length > 0
					? Math.max(...step.runTimesMs)
					: expected(spec, number);
			}),
		};
	};

	const teamOf = (run: TaskRun): string | undefined => run.task.step.occurrence.job.accepted.team;

	const jobs = createJobTable(
		{
			runAdded: run => {
				workers.addRun(run);
				const worker = workers.get(run.workerKey);
				if (worker !== undefined && context.term === undefined) {
					worker.hasInheritedRuns = true;
				}
				const team = teamOf(run);
				if (team !== undefined) {
					teamUsage.add(team, run.task.step.spec.demand);
				}
			},
			runRemoved: run => {
				workers.removeRun(run);
				const team = teamOf(run);
				if (team !== undefined) {
					teamUsage.remove(team, run.task.step.spec.demand);
				}
				context.needsSchedulingPass = true;
			},
			stepReady: step => {
				readySteps.add(step);
				context.needsSchedulingPass = true;
			},
			jobAdded: () => {
				context.openJobCount++;
			},
			jobEnded: job => {
				context.openJobCount--;
				job.stateBatch = nextBatch;
				context.unpublishedEndedJobs.add(job);
			},
		},
		initialJobTimes,
	);

	const earlyCancels = createEarlyCancels(options.counters);
	const stateParts = createJobStateParts();
	const hosts = createHostRegistry();
	const leaderStamps = createLeaderStamps();

	const apply = (event: JournalEvent, offset: number, now: number): void => {
		context.journalWeight += eventWeight(event);
		const recordedAt = context.term === undefined ? -Infinity : now;
		if (context.term === undefined) {
			leaderStamps.read(event);
		}
		if (event.type === 'term' && context.term === undefined) {
			readTerm(context.predecessor, event);
		} else if (event.type === 'settled') {
			context.predecessor.isSettled = true;
		}
		if (event.type === 'long-leases' && context.term === undefined) {
			context.longLeases.read(event.workers);
		}
		if (event.type === 'learned' && context.term === undefined) {
			durations.restore(event.queues);
		}
		if (event.type === 'turns' && context.term === undefined) {
			turns.restore(event.pattern);
		}
		if (event.type === 'cancelled-early') {
			earlyCancels.add(event.cancels, now, recordedAt);
		}
		if (event.type === 'rewritten-part') {
			const whole = stateParts.read(event, offset);
			if (whole !== undefined) {
				jobs.apply(whole.event, whole.offset, now, recordedAt);
			}
		} else if (isHostEvent(event)) {
			hosts.apply(event, offset, now);
		} else {
			jobs.apply(event, offset, now, recordedAt);
		}
	};

	const context: EngineContext = {
		...options,
		jobs,
		earlyCancels,
		workers,
		teamUsage,
		durations,
		startDelay: createStartDelay(),
		crashRate: createCrashRate(options.counters, () => context.termBeganAt),
		fencingTokens: createFencingTokens(
			() => context.term,
			effect => context.emitNow(effect),
		),
		longLeases: createLongLeases(),
		advice: createAdviceRegistry(worker => workers.byName(worker)?.incarnation),
		arrivingWork: createArrivalEstimator(),
		turns,
		moveTime: createMoveTime(),
		readySteps,
		term: undefined,
		holder: '',
		termBeganAt: 0,
		predecessor: createPredecessor(),
		plan: undefined,
		queues,
		knownTeams: new Map(),
		unstoredJobs: [],
		unpublishedEndedJobs: new Set(),
		openJobCount: 0,
		journalStalledSince: undefined,
		needsSchedulingPass: false,
		isQuiescent: false,
		hosts,
		evacuated: createEvacuatedDataCentres(),
		leaderStamps,
		apply,
		journalWeight: 0,
		record: (event, now) => {
			events.push(event);
			apply(event, 0, now);
		},
		finishReplay: journalEnd => {
			const { predecessor } = context;
			for (const job of stateParts.incomplete) {
				if (jobs.get(job) === undefined) {
					options.counters.add('journal_job_states_incomplete_total');
					options.logDecision('journal-job-state-incomplete', { job });
				}
			}
			if (predecessor.isFirst && journalEnd > 0) {
				options.counters.add('journal_terms_missing_total');
				options.logDecision('journal-term-missing', { journalEnd });
				predecessor.leaseMs = Math.max(options.settings.longestLeaseMs, options.settings.leaseMs);
				predecessor.validMs = options.settings.validMs;
				predecessor.isSettled = false;
				predecessor.isFirst = false;
			}
		},
		recordTermBegin: now => {
			const { predecessor, term = 0, holder } = context;
			const { stoppedAt, isFirst } = predecessor;
			const isUnsettled = !isFirst && stoppedAt === undefined;
			const inherited =
				isFirst || now > (stoppedAt ?? Infinity) + PREDECESSOR_LEASES_KEPT * predecessor.leaseMs
					? { leaseMs: 0, validMs: 0, recordsLongLeases: true }
					: predecessor;
			const leaseMs = Math.max(options.settings.leaseMs, inherited.leaseMs);
			const validMs = Math.max(options.settings.validMs, inherited.validMs);
			const { recordsLongLeases } = inherited;
			const unsettled = isUnsettled ? { isUnsettled } : {};
			context.record({ type: 'term', term, holder, leaseMs, validMs, ...unsettled, recordsLongLeases }, now);
		},
		get nextBatch() {
			return nextBatch;
		},
		lastStoredBatch: 0,
		emitWhenStored: effect => effectsWhenStored.push(effect),
		emitNow: effect => immediateEffects.push(effect),
		queueTermsOf,
		stepTimeEstimates,
		exceedsTeamShare: name => {
			const team = name === undefined ? undefined : context.knownTeams.get(name);
			return team !== undefined && teamRates.wouldExceed(team.name, team.weight, options.wallNow());
		},
		updatedJobTimes,
		takeOutput: () => {
			const output = { events, effectsWhenStored, immediateEffects, batch: nextBatch };
			if (events.length > 0) {
				nextBatch++;
			}
			events = [];
			effectsWhenStored = [];
			immediateEffects = [];
			return output;
		},
	};
	return context;
}
