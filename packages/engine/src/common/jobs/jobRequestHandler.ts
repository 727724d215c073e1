import {
	addResources,
	dominantShare,
	noResources,
	scaleResources,
	type Resources,
} from '@chestnutwheel/ports/common/resources.js';
import type { JobSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import type { QueuePlan } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { EngineContext } from '../engineContext.js';
import type { CancelDecision, StateDecision, SubmitDecision, Submission, SubmitRefusal } from '../engineMessages.js';
import { workOf } from '../pools/poolDemand.js';
import { standbyPools } from '../pools/standbyPools.js';
import { createAdmissionController } from '../scheduling/admissionController.js';
import { remainingCriticalPaths, criticalPathLength } from '../scheduling/criticalPath.js';
import { effectiveDemand } from '../scheduling/placement.js';
import { checkJobSpec } from './checkJobSpec.js';
import type { RunTerminator } from './runTerminator.js';
import type { InternalJobState, Job } from './job.js';

/** Time after which a caller may come back to a daemon that is not ready, in milliseconds. */
const NOT_READY_RETRY_MS = 500;

/** Calls of callers, as the leader decides them. */
export interface JobRequestHandler {
	submit(submission: Submission, now: number): SubmitDecision;
	/** @param team the caller's team; `undefined` in an open queue */
	cancel(id: string, team: string | undefined, now: number): CancelDecision;
	state(id: string, team: string | undefined): StateDecision;
	/** Accepted jobs of a queue of which no task has started. */
	pendingCount(queue: string): number;
}

/** Creates the part of the engine that answers callers. */
export function createJobRequestHandler(context: EngineContext, runTerminator: RunTerminator): JobRequestHandler {
	const { jobs, workers, counters, settings, note } = context;
	const admission = createAdmissionController();

	const refuse = (submission: Submission, kind: SubmitRefusal, reason: string, retryAfterMs = 0): SubmitDecision => {
		counters.add('jobs_refused_total', { queue: submission.queue, kind });
		note('job-refused', { job: submission.id, queue: submission.queue, kind, reason, retryAfterMs });
		return { type: 'refused', kind, reason, retryAfterMs };
	};

	/** Why no worker of the pool could ever run a task; `undefined` when one may. */
	const findUnplaceableStep = (spec: JobSpec, { pool }: QueuePlan): string | undefined => {
		const capacities = [...workers.current()].flatMap(({ entry }) => (entry?.pool === pool ? [entry.resources] : []));
		if (capacities.length === 0) {
			return undefined;
		}
		// Hosts of other pools may be moved to this one.
		capacities.push(...[...context.hosts.hosts.values()].map(({ resources: room }) => room));
		const step = spec.steps.findIndex(candidate =>
			capacities.every(room => dominantShare(effectiveDemand(candidate), room) > 1),
		);
		return step < 0 ? undefined : `step ${step} asks for more than any worker of the pool has`;
	};

	const recordArrival = (pool: string, queue: string, spec: JobSpec, now: number): void => {
		const expect = (estimateMs: number): number =>
			context.startDelay.averageMs + context.durations.expectedMs(queue, estimateMs);
		context.arrivingWork.accepted(
			pool,
			spec,
			expect,
			criticalPathLength(remainingCriticalPaths(spec, context.stepTimes(queue))),
			now,
		);
	};

	/** Rooms of the hosts that serve a pool or may be moved there. */
	const poolCapacity = (pool: string): Resources => {
		const standby = standbyPools(context.plan);
		let capacity = noResources;
		for (const { entry, isListed, isOver, contact } of workers.current()) {
			if (entry?.pool === pool && isListed && !isOver && !entry.isDraining && contact !== 'silent') {
				capacity = addResources(capacity, entry.resources);
			}
		}
		for (const host of context.hosts.hosts.values()) {
			if (standby.has(host.pool) && host.state === 'up') {
				capacity = addResources(capacity, host.resources);
			}
		}
		return capacity;
	};

	/** Work of the pool that waits: room times milliseconds. */
	const poolBacklog = (pool: string): Resources => {
		let work = noResources;
		for (const step of context.readySteps) {
			const { accepted, state } = step.occurrence.job;
			if (state === 'open' && !step.spec.isLasting && context.termsOf(accepted).pool === pool) {
				const expected = context.durations.expectedMs(accepted.queue, step.spec.estimateMs);
				work = addResources(work, scaleResources(effectiveDemand(step.spec), step.waitingCount * expected));
			}
		}
		return work;
	};

	/** How long a caller should stay away whose job would end too late for any use; `undefined` when it may not. */
	const admissionRetryDelay = ({ spec }: Submission, queue: QueuePlan, now: number): number | undefined => {
		const capacity = poolCapacity(queue.pool);
		const hasNoDeadline = spec.repeats > 0 || spec.steps.some(({ isLasting }) => isLasting);
		// Without any worker the load says nothing; workers may come back.
		if (hasNoDeadline || capacity.milliCores <= 0) {
			return undefined;
		}
		const expect = (estimateMs: number): number => context.durations.expectedMs(queue.name, estimateMs);
		const criticalPathMs = criticalPathLength(remainingCriticalPaths(spec, context.stepTimes(queue.name)));
		const estimate = {
			backlogMs: dominantShare(poolBacklog(queue.pool), capacity),
			serviceTimeMs: dominantShare(workOf(spec, expect), capacity),
			criticalPathMs: criticalPathMs,
			objectiveMs: queue.objectiveFactor * criticalPathMs + queue.objectiveMs,
		};
		return admission.retryAfter(queue.pool, estimate, now);
	};

	const findJob = (id: string, team: string | undefined): Job | undefined => {
		const job = jobs.get(id);
		return job === undefined || job.accepted.team !== team ? undefined : job;
	};

	return {
		submit: (submission, now) => {
			const { id, queue: name, team, spec } = submission;
			if (context.term === undefined || context.plan === undefined) {
				return refuse(submission, 'not-ready', 'the leader is still reading its state', NOT_READY_RETRY_MS);
			}
			const existing = jobs.get(id);
			if (existing !== undefined) {
				return existing.accepted.team === team
					? { type: 'accepted', batch: existing.acceptedBatch }
					: refuse(submission, 'request-key-used', 'the id names a job of another team');
			}
			const queue = context.queues.get(name);
			if (queue === undefined) {
				return refuse(submission, 'unknown-queue', `the queue ${name} is not in plan ${context.plan.version}`);
			}
			const problem = checkJobSpec(spec) ?? findUnplaceableStep(spec, queue);
			if (problem !== undefined) {
				return refuse(submission, 'bad-request', problem);
			}
			if (context.openJobs >= settings.maximumOpenJobs) {
				return refuse(submission, 'overloaded', `${context.openJobs} jobs are open`, NOT_READY_RETRY_MS);
			}
			const retryAfterMs = admissionRetryDelay(submission, queue, now);
			if (retryAfterMs !== undefined) {
				return refuse(submission, 'overloaded', 'the pool cannot end the job in time', retryAfterMs);
			}
			const { pool, priority, attempts, objectiveFactor, objectiveMs } = queue;
			const terms = { pool, priority, attempts, objectiveFactor, objectiveMs };
			context.record(
				{ type: 'accepted', job: { id, queue: name, team, terms, acceptedAt: Math.round(context.wallNow()), spec } },
				now,
			);
			const job = jobs.get(id);
			if (job !== undefined) {
				job.acceptedBatch = context.nextBatch;
				context.acceptedJobs.push(job);
			}
			recordArrival(pool, name, spec, now);
			counters.add('jobs_accepted_total', { queue: name });
			note('job-accepted', { job: id, queue: name, team, steps: spec.steps.length, plan: context.plan.version });
			return { type: 'accepted', batch: context.nextBatch };
		},
		cancel: (id, team, now) => {
			const job = findJob(id, team);
			if (job === undefined) {
				return { type: 'unknown-job' };
			}
			if (job.state === 'open') {
				context.record({ type: 'cancelled', job: id }, now);
				counters.add('jobs_cancelled_total', { queue: job.accepted.queue });
				note('job-cancelled', { job: id });
				runTerminator.stopJob(job, 'cancelled');
			}
			return { type: 'cancelled', batch: Math.max(job.acceptedBatch, job.stateBatch) };
		},
		state: (id, team) => {
			const job = findJob(id, team);
			if (job === undefined || job.acceptedBatch > context.storedBatch) {
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
