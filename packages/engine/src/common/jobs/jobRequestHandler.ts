import { dominantShare } from '@chestnutwheel/ports/common/resources.js';
import type { JobSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import type { QueuePlan } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { EngineContext } from '../engineContext.js';
import type { CancelDecision, StateDecision, SubmitDecision, Submission, SubmitRefusal } from '../engineMessages.js';
import { createAdmissionController } from '../scheduling/admissionController.js';
import { longestPath, remainingCriticalPaths } from '../scheduling/criticalPath.js';
import { effectiveDemand } from '../scheduling/placement.js';
import type { AdmissionForecast, Newcomer, PoolForecast } from '../scheduling/poolForecast.js';
import { checkJobSize, checkJobSpec } from './checkJobSpec.js';
import { EARLY_CANCEL_KEPT_MS } from './earlyCancels.js';
import { STALL_RETRY_MS } from './journalStall.js';
import type { RunTerminator } from './runTerminator.js';
import type { InternalJobState, Job } from './job.js';

/** Retry delay given to callers while the leader is not ready or has too many open jobs. */
const NOT_READY_RETRY_MS = 500;

/** Decides the requests of callers on the leader. */
export interface JobRequestHandler {
	/**
	 * Accepts or refuses a job. A repeated submission of an accepted job is accepted again. A job that its team has cancelled
	 * before is accepted and cancelled at once.
	 */
	submit(submission: Submission, now: number): SubmitDecision;
	/**
	 * Removes a job of which no record can have been stored, and which has therefore neither started nor been acknowledged.
	 * The caller must also withdraw its acceptance from the journal and its start orders.
	 */
	withdraw(id: string, now: number): void;
	/**
	 * Cancels an open job and stops its runs. The cancel of an unknown job is recorded for its submission, which may come later.
	 * @param team the caller's team; `undefined` for an open queue
	 */
	cancel(id: string, team: string | undefined, now: number): CancelDecision;
	/** Returns the state of a job as far as the journal has stored it. */
	state(id: string, team: string | undefined): StateDecision;
	/** Returns the number of open jobs of a queue without a started task. */
	pendingCount(queue: string): number;
}

/** The forecast of a submitted job with its times, in milliseconds. */
interface Assessment extends AdmissionForecast {
	readonly criticalPathMs: number;
	readonly objectiveMs: number;
	/** Time of its first attempt. */
	readonly askedAt: number;
}

/** Creates the handler of caller requests of an engine. */
export function createJobRequestHandler(
	context: EngineContext,
	runTerminator: RunTerminator,
	forecast: PoolForecast,
): JobRequestHandler {
	const { jobs, earlyCancels, workers, counters, settings, logDecision } = context;
	const admission = createAdmissionController(counters);

	const refuse = (submission: Submission, kind: SubmitRefusal, reason: string, retryAfterMs = 0): SubmitDecision => {
		counters.add('jobs_refused_total', { queue: submission.queue, kind });
		logDecision('job-refused', {
			job: submission.id,
			queue: submission.queue,
			kind,
			reason,
			retryAfterMs,
			term: context.term,
		});
		return { type: 'refused', kind, reason, retryAfterMs };
	};

	/** Describes the first step that is too large for every worker of the pool; `undefined` if all steps may fit. */
	const findUnplaceableStep = (spec: JobSpec, { pool }: QueuePlan): string | undefined => {
		const capacities = [...workers.current()].flatMap(state =>
			state.entry?.pool === pool && workers.isCertain(state) ? [state.entry.resources] : [],
		);
		// A new leader has reached only some of the workers before it has read the list of hosts.
		if (capacities.length === 0 || context.hosts.listRequestedAt === undefined) {
			return undefined;
		}
		// Hosts of other pools may be moved to this pool.
		capacities.push(...[...context.hosts.hosts.values()].map(({ resources }) => resources));
		const step = spec.steps.findIndex(candidate =>
			capacities.every(resources => dominantShare(effectiveDemand(candidate), resources) > 1),
		);
		return step < 0 ? undefined : `step ${step} demands more resources than any worker of the pool has`;
	};

	const recordArrival = (pool: string, queue: string, spec: JobSpec, now: number): void => {
		const expectedMs = (estimateMs: number): number =>
			context.startDelay.averageMs + context.durations.expectedMs(queue, estimateMs);
		context.arrivingWork.recordJob(
			pool,
			spec,
			expectedMs,
			longestPath(remainingCriticalPaths(spec, context.stepTimeEstimates(queue))).lengthMs,
			now,
		);
	};

	/** Returns what would become of a job with a deadline; `undefined` for others, and while the room of its pool is unknown. */
	const forecastOf = ({ id, spec, team }: Submission, queue: QueuePlan, now: number): Assessment | undefined => {
		if (spec.repeats > 0 || spec.steps.some(({ isLasting }) => isLasting)) {
			return undefined;
		}
		const remainingPaths = remainingCriticalPaths(spec, context.stepTimeEstimates(queue.name));
		const { lengthMs: criticalPathMs } = longestPath(remainingPaths);
		const objectiveMs = queue.objectiveFactor * criticalPathMs + queue.objectiveMs;
		const askedAt = admission.firstAskedAt(id, { criticalPathMs, objectiveMs }, now);
		const newcomer: Newcomer = {
			queue: queue.name,
			team,
			rank: queue.priority,
			spec,
			timing: { acceptedAt: askedAt, objectiveMs, remainingPaths },
			exceedsTeamShare: context.exceedsTeamShare(team),
		};
		const expected = forecast.assess(queue.pool, newcomer, now);
		return expected === undefined ? undefined : { ...expected, criticalPathMs, objectiveMs, askedAt };
	};

	const findJob = (id: string, team: string | undefined): Job | undefined => {
		const job = jobs.get(id);
		return job === undefined || job.accepted.team !== team ? undefined : job;
	};

	const cancelJob = (job: Job, now: number): void => {
		const { id, queue } = job.accepted;
		context.record({ type: 'cancelled', job: id }, now);
		counters.add('jobs_cancelled_total', { queue });
		logDecision('job-cancelled', { job: id, term: context.term });
		runTerminator.stopJob(job, 'cancelled');
	};

	return {
		submit: (submission, now) => {
			const { id, queue: name, team, spec } = submission;
			if (context.term === undefined || context.plan === undefined) {
				return refuse(
					submission,
					'not-ready',
					'the leader has not finished reading the journal or the fleet plan',
					NOT_READY_RETRY_MS,
				);
			}
			const existing = jobs.get(id);
			if (existing !== undefined) {
				return existing.accepted.team === team
					? { type: 'accepted', batch: existing.acceptedBatch }
					: refuse(submission, 'request-key-used', 'the request key is in use by a job of another team');
			}
			const queue = context.queues.get(name);
			if (queue === undefined) {
				return refuse(
					submission,
					'unknown-queue',
					`queue ${name} is not in fleet plan version ${context.plan.version}`,
				);
			}
			const { pool, priority, attempts, objectiveFactor, objectiveMs } = queue;
			const terms = { pool, priority, attempts, objectiveFactor, objectiveMs };
			const accepted = { id, queue: name, team, terms, acceptedAt: Math.round(context.wallNow()), spec };
			const problem =
				checkJobSpec(spec) ?? checkJobSize(accepted, settings.recordBytes) ?? findUnplaceableStep(spec, queue);
			if (problem !== undefined) {
				return refuse(submission, 'bad-request', problem);
			}
			const isCancelled = earlyCancels.has(id, team, now);
			if (!isCancelled && context.openJobCount >= settings.maximumOpenJobs) {
				return refuse(
					submission,
					'overloaded',
					`${context.openJobCount} jobs are open, which reaches the limit`,
					NOT_READY_RETRY_MS,
				);
			}
			const stalledSince = context.journalStalledSince;
			if (stalledSince !== undefined) {
				return refuse(
					submission,
					'log-unavailable',
					`the journal has stored nothing for ${Math.round(now - stalledSince)} ms`,
					STALL_RETRY_MS,
				);
			}
			const assessment = isCancelled ? undefined : forecastOf(submission, queue, now);
			const retryAfterMs =
				assessment === undefined
					? undefined
					: admission.retryAfter(
							queue.pool,
							{
								...assessment,
								job: id,
								team: team ?? '',
								backlogMs: assessment.aheadMs,
								serviceTimeMs: assessment.workMs,
							},
							now,
						);
			if (retryAfterMs !== undefined) {
				return refuse(
					submission,
					'overloaded',
					`the work that runs before the job takes ${Math.round(assessment?.aheadMs ?? 0)} ms, too long to complete it in time`,
					retryAfterMs,
				);
			}
			context.record({ type: 'accepted', job: accepted }, now);
			const job = jobs.get(id);
			if (job !== undefined) {
				job.acceptedBatch = context.nextBatch;
				context.unstoredJobs.push(job);
				if (assessment !== undefined) {
					// The objective of a job that was refused before counts from its first attempt.
					job.timing = { ...job.timing, acceptedAt: Math.min(job.timing.acceptedAt, assessment.askedAt) };
					forecast.admit(job, now);
					counters.add('jobs_admitted_total', { queue: name, outcome: assessment.isTimely ? 'timely' : 'late' });
				}
			}
			counters.add('jobs_accepted_total', { queue: name });
			logDecision('job-accepted', { job: id, queue: name, team, steps: spec.steps.length, plan: context.plan.version });
			if (!isCancelled) {
				recordArrival(pool, name, spec, now);
			} else if (job !== undefined) {
				cancelJob(job, now);
			}
			return { type: 'accepted', batch: context.nextBatch };
		},
		withdraw: (id, now) => {
			const job = jobs.get(id);
			if (job === undefined) {
				return;
			}
			counters.add('jobs_withdrawn_total', { queue: job.accepted.queue });
			logDecision('job-withdrawn', {
				job: id,
				queue: job.accepted.queue,
				reason: 'the journal stalled before it was stored',
			});
			for (const occurrence of job.occurrences.values()) {
				for (const step of occurrence.steps) {
					step.tasks.flatMap(task => [...task.runs]).forEach(run => runTerminator.discard(run, 'withdrawn', now));
				}
			}
			context.record({ type: 'cancelled', job: id }, now);
			runTerminator.stopJob(job, 'cancelled');
			context.record({ type: 'forgotten', jobs: [id] }, now);
			context.unpublishedEndedJobs.delete(job);
			context.unstoredJobs.splice(0, Infinity, ...context.unstoredJobs.filter(unstored => unstored !== job));
		},
		cancel: (id, team, now) => {
			const job = findJob(id, team);
			// A job whose acceptance is not stored may still be withdrawn, and then be submitted again.
			if (job === undefined || job.acceptedBatch > context.lastStoredBatch) {
				context.record({ type: 'cancelled-early', cancels: [[id, team ?? '', EARLY_CANCEL_KEPT_MS]] }, now);
			}
			if (job === undefined) {
				logDecision('cancel-of-unknown-job', { job: id, term: context.term });
				return { type: 'unknown-job', batch: context.nextBatch };
			}
			if (job.state === 'open') {
				cancelJob(job, now);
			}
			return { type: 'cancelled', batch: Math.max(job.acceptedBatch, job.stateBatch) };
		},
		state: (id, team) => {
			const job = findJob(id, team);
			if (job === undefined || job.acceptedBatch > context.lastStoredBatch) {
				return { type: 'unknown-job' };
			}
			return { type: 'state', state: toJobState[job.visibleState](job) };
		},
		pendingCount: queue => {
			let count = 0;
			for (const job of jobs.all()) {
				if (job.accepted.queue === queue && job.state === 'open' && !job.hasStarted) {
					count++;
				}
			}
			return count;
		},
	};
}

const toJobState: Record<InternalJobState, (job: Job) => 'queued' | 'running' | 'done' | 'failed' | 'cancelled'> = {
	open: job => (job.hasStarted ? 'running' : 'queued'),
	done: () => 'done',
	failed: () => 'failed',
	cancelled: () => 'cancelled',
};
