import type { FleetPlan, QueuePlan, TeamPlan } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { createAdviceRegistry, type AdviceRegistry } from './scheduling/adviceRegistry.js';
import type { EngineEffect, EngineSettings, DecisionLogger } from './engineMessages.js';
import type { Job, Step, TaskRun } from './jobs/job.js';
import { createJobTable, type JobTable } from './jobs/jobTable.js';
import {
	isHostEvent,
	eventWeight,
	type AcceptedJob,
	type JournalEvent,
	type QueuePolicy,
} from './jobs/journalEvent.js';
import { createHostRegistry, type HostRegistry } from './hosts/hostRegistry.js';
import { createArrivalEstimator, type ArrivalEstimator } from './pools/poolDemand.js';
import { remainingCriticalPaths, criticalPathLength, type StepTime } from './scheduling/criticalPath.js';
import { createDurationEstimator, type DurationEstimator } from './scheduling/durationEstimator.js';
import { createStartDelay, type StartDelay } from './scheduling/startDelay.js';
import type { JobTiming } from './scheduling/stepUrgency.js';
import { createTeamRates } from './scheduling/teamRates.js';
import { createTeamUsage, type TeamUsage } from './scheduling/teamUsage.js';
import { createWorkerTable, type WorkerTable } from './workers/workerTable.js';

/** What an engine is made from. */
export interface EngineOptions {
	readonly settings: EngineSettings;
	readonly counters: Counters;
	readonly logDecision: DecisionLogger;
	/** Milliseconds since 1970, by this daemon's clock. */
	readonly wallNow: () => number;
}

/** Leaders of earlier terms, as the journal and their processes tell. */
export interface Predecessor {
	/** When it was known that none of them leads any more; `undefined` while one may. */
	stoppedAt: number | undefined;
	/** Whether the journal begins with no term at all. */
	isFirst: boolean;
	/** Whether only the last of them may still be at work. */
	isSettled: boolean;
	/** Longest lease that one of them asks for. */
	leaseMs: number;
	/** Longest time for which one of them extends leases without being sure to lead. */
	validMs: number;
}

/** What the parts of an engine share. */
export interface EngineContext extends EngineOptions {
	readonly jobs: JobTable;
	readonly workers: WorkerTable;
	readonly hosts: HostRegistry;
	readonly teamUsage: TeamUsage;
	readonly durations: DurationEstimator;
	readonly startDelay: StartDelay;
	readonly advice: AdviceRegistry;
	readonly arrivingWork: ArrivalEstimator;
	/** Open steps with tasks that wait, by pool. */
	readonly readySteps: Set<Step>;
	/** The term, once the daemon leads and has read the journal. */
	term: number | undefined;
	/** Name of the daemon that leads. */
	holder: string;
	/** When the term began. */
	termBeganAt: number;
	/** What earlier leaders may still do to workers that this one does not reach. */
	readonly predecessor: Predecessor;
	plan: FleetPlan | undefined;
	readonly queues: Map<string, QueuePlan>;
	/** Every team that any plan has named; jobs of a removed team keep its cap. */
	readonly knownTeams: Map<string, TeamPlan>;
	/** Jobs accepted in batches that are not stored yet, in order. */
	readonly unstoredJobs: Job[];
	/** Ended jobs whose end callers do not see yet. */
	readonly unpublishedEndedJobs: Set<Job>;
	/** Jobs that have not ended. */
	openJobCount: number;
	/** Whether something has changed that may let a step start. */
	needsSchedulingPass: boolean;
	/** Applies an event that is already in the journal. */
	apply(event: JournalEvent, offset: number, now: number): void;
	/** Records events, applies them, and puts them into the next batch. */
	record(event: JournalEvent, now: number): void;
	/** Records who leads and how long leases may last that this leader extends. */
	recordTermBegin(now: number): void;
	/** Weight of all events recorded under this term and read before it. */
	journalWeight: number;
	/** Number of the batch that the next events get. */
	readonly nextBatch: number;
	/** Number of the last batch that the journal has stored. */
	lastStoredBatch: number;
	/** Orders something once the events recorded so far are stored. */
	emitWhenStored(effect: EngineEffect): void;
	/** Orders something at once. */
	emitNow(effect: EngineEffect): void;
	/** Rules of the job's queue now; those of its acceptance when the queue is gone. */
	queueTermsOf(job: AcceptedJob): QueuePolicy;
	/** Times that the steps of a queue's jobs are expected to take. */
	stepTimeEstimates(queue: string): StepTime;
	/** What is known by now of a job's times. */
	updatedJobTimes(job: Job): JobTiming;
	/** Takes what was recorded and ordered since the last call. */
	takeOutput(): {
		events: JournalEvent[];
		effectsWhenStored: EngineEffect[];
		immediateEffects: EngineEffect[];
		batch: number;
	};
}

/** Creates the shared parts of an engine without jobs and workers. */
export function createEngineContext(options: EngineOptions): EngineContext {
	let events: JournalEvent[] = [];
	let effectsWhenStored: EngineEffect[] = [];
	let immediateEffects: EngineEffect[] = [];
	let nextBatch = 1;
	const workers = createWorkerTable();
	const teamUsage = createTeamUsage();
	const durations = createDurationEstimator();
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
	): Pick<JobTiming, 'objectiveMs' | 'priority' | 'remainingPathsMs'> => {
		const { objectiveFactor, objectiveMs, priority } = queueTermsOf(job);
		const chains = remainingCriticalPaths(job.spec, stepTime);
		return {
			objectiveMs: objectiveFactor * criticalPathLength(chains) + objectiveMs,
			priority,
			remainingPathsMs: chains,
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

	/** The time of a step that has ended is known; a repeated job has a first repetition alone that counts. */
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

	const hosts = createHostRegistry();

	const apply = (event: JournalEvent, offset: number, now: number): void => {
		context.journalWeight += eventWeight(event);
		if (event.type === 'term' && context.term === undefined) {
			const { predecessor } = context;
			predecessor.leaseMs = Math.max(predecessor.leaseMs, event.leaseMs);
			predecessor.validMs = Math.max(predecessor.validMs, event.validMs);
			predecessor.isSettled = predecessor.isFirst;
			predecessor.isFirst = false;
		} else if (event.type === 'settled') {
			context.predecessor.isSettled = true;
		}
		if (event.type === 'learned' && context.term === undefined) {
			durations.restore(event.queues);
		}
		if (isHostEvent(event)) {
			hosts.apply(event, offset, now);
		} else {
			jobs.apply(event, offset, now);
		}
	};

	const context: EngineContext = {
		...options,
		jobs,
		workers,
		teamUsage,
		durations,
		startDelay: createStartDelay(),
		advice: createAdviceRegistry(),
		arrivingWork: createArrivalEstimator(),
		readySteps,
		term: undefined,
		holder: '',
		termBeganAt: 0,
		predecessor: { stoppedAt: undefined, isFirst: true, isSettled: true, leaseMs: 0, validMs: 0 },
		plan: undefined,
		queues,
		knownTeams: new Map(),
		unstoredJobs: [],
		unpublishedEndedJobs: new Set(),
		openJobCount: 0,
		needsSchedulingPass: false,
		hosts,
		apply,
		journalWeight: 0,
		record: (event, now) => {
			events.push(event);
			apply(event, 0, now);
		},
		recordTermBegin: now => {
			const { leaseMs, validMs } = options.settings;
			context.record({ type: 'term', term: context.term ?? 0, holder: context.holder, leaseMs, validMs }, now);
		},
		get nextBatch() {
			return nextBatch;
		},
		lastStoredBatch: 0,
		emitWhenStored: effect => effectsWhenStored.push(effect),
		emitNow: effect => immediateEffects.push(effect),
		queueTermsOf,
		stepTimeEstimates,
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
