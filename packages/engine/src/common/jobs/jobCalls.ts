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
import { createAdmission } from '../scheduling/admission.js';
import { chainsFrom, longestChain } from '../scheduling/chains.js';
import { demandOf } from '../scheduling/place.js';
import { checkJobSpec } from './checkJobSpec.js';
import type { EndRuns } from './endRuns.js';
import type { InnerJobState, Job } from './job.js';

/** Time after which a caller may come back to a daemon that is not ready, in milliseconds. */
const NOT_READY_RETRY_MS = 500;

/** Calls of callers, as the leader decides them. */
export interface JobCalls {
	submit(submission: Submission, now: number): SubmitDecision;
	/** @param team the caller's team; `undefined` in an open queue */
	cancel(id: string, team: string | undefined, now: number): CancelDecision;
	state(id: string, team: string | undefined): StateDecision;
	/** Accepted jobs of a queue of which no task has started. */
	pending(queue: string): number;
}

/** Creates the part of the engine that answers callers. */
export function createJobCalls(context: EngineContext, endRuns: EndRuns): JobCalls {
	const { jobs, workers, counters, settings, note } = context;
	const admission = createAdmission();

	const refuse = (submission: Submission, kind: SubmitRefusal, reason: string, retryAfterMs = 0): SubmitDecision => {
		counters.add('jobs_refused_total', { queue: submission.queue, kind });
		note('job-refused', { job: submission.id, queue: submission.queue, kind, reason, retryAfterMs });
		return { type: 'refused', kind, reason, retryAfterMs };
	};

	/** Why no worker of the pool could ever run a task; `undefined` when one may. */
	const neverFits = (spec: JobSpec, { pool }: QueuePlan): string | undefined => {
		const rooms = [...workers.current()].flatMap(({ entry }) => (entry?.pool === pool ? [entry.resources] : []));
		if (rooms.length === 0) {
			return undefined;
		}
		// Hosts of other pools may be moved to this one.
		rooms.push(...[...context.hosts.hosts.values()].map(({ resources: room }) => room));
		const step = spec.steps.findIndex(each => rooms.every(room => dominantShare(demandOf(each), room) > 1));
		return step < 0 ? undefined : `step ${step} asks for more than any worker of the pool has`;
	};

	const noteArrival = (pool: string, queue: string, spec: JobSpec, now: number): void => {
		const expect = (estimateMs: number): number =>
			context.startDelay.milliseconds + context.durations.expect(queue, estimateMs);
		context.arrivingWork.accepted(pool, spec, expect, longestChain(chainsFrom(spec, context.stepTimes(queue))), now);
	};

	/** Rooms of the hosts that serve a pool or may be moved there. */
	const roomFor = (pool: string): Resources => {
		const standby = standbyPools(context.plan);
		let room = noResources;
		for (const { entry, isListed, isOver, contact } of workers.current()) {
			if (entry?.pool === pool && isListed && !isOver && !entry.isDraining && contact !== 'silent') {
				room = addResources(room, entry.resources);
			}
		}
		for (const host of context.hosts.hosts.values()) {
			if (standby.has(host.pool) && host.state === 'up') {
				room = addResources(room, host.resources);
			}
		}
		return room;
	};

	/** Work of the pool that waits: room times milliseconds. */
	const backlogOf = (pool: string): Resources => {
		let work = noResources;
		for (const step of context.readySteps) {
			const { accepted, state } = step.occurrence.job;
			if (state === 'open' && !step.spec.isLasting && context.termsOf(accepted).pool === pool) {
				const expected = context.durations.expect(accepted.queue, step.spec.estimateMs);
				work = addResources(work, scaleResources(demandOf(step.spec), step.waiting * expected));
			}
		}
		return work;
	};

	/** How long a caller should stay away whose job would end too late for any use; `undefined` when it may not. */
	const hopelessFor = ({ spec }: Submission, queue: QueuePlan, now: number): number | undefined => {
		const room = roomFor(queue.pool);
		const isPatient = spec.repeats > 0 || spec.steps.some(({ isLasting }) => isLasting);
		// Without any worker the load says nothing; workers may come back.
		if (isPatient || room.milliCores <= 0) {
			return undefined;
		}
		const expect = (estimateMs: number): number => context.durations.expect(queue.name, estimateMs);
		const chainMs = longestChain(chainsFrom(spec, context.stepTimes(queue.name)));
		const facts = {
			backlogMs: dominantShare(backlogOf(queue.pool), room),
			ownMs: dominantShare(workOf(spec, expect), room),
			chainMs,
			objectiveMs: queue.objectiveFactor * chainMs + queue.objectiveMs,
		};
		return admission.retryAfter(queue.pool, facts, now);
	};

	const known = (id: string, team: string | undefined): Job | undefined => {
		const job = jobs.get(id);
		return job === undefined || job.accepted.team !== team ? undefined : job;
	};

	return {
		submit: (submission, now) => {
			const { id, queue: name, team, spec } = submission;
			if (context.term === undefined || context.plan === undefined) {
				return refuse(submission, 'not-ready', 'the leader is still reading its state', NOT_READY_RETRY_MS);
			}
			const former = jobs.get(id);
			if (former !== undefined) {
				return former.accepted.team === team
					? { type: 'accepted', batch: former.acceptedBatch }
					: refuse(submission, 'request-key-used', 'the id names a job of another team');
			}
			const queue = context.queues.get(name);
			if (queue === undefined) {
				return refuse(submission, 'unknown-queue', `the queue ${name} is not in plan ${context.plan.version}`);
			}
			const problem = checkJobSpec(spec) ?? neverFits(spec, queue);
			if (problem !== undefined) {
				return refuse(submission, 'bad-request', problem);
			}
			if (context.openJobs >= settings.maximumOpenJobs) {
				return refuse(submission, 'overloaded', `${context.openJobs} jobs are open`, NOT_READY_RETRY_MS);
			}
			const retryAfterMs = hopelessFor(submission, queue, now);
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
			noteArrival(pool, name, spec, now);
			counters.add('jobs_accepted_total', { queue: name });
			note('job-accepted', { job: id, queue: name, team, steps: spec.steps.length, plan: context.plan.version });
			return { type: 'accepted', batch: context.nextBatch };
		},
		cancel: (id, team, now) => {
			const job = known(id, team);
			if (job === undefined) {
				return { type: 'unknown-job' };
			}
			if (job.state === 'open') {
				context.record({ type: 'cancelled', job: id }, now);
				counters.add('jobs_cancelled_total', { queue: job.accepted.queue });
				note('job-cancelled', { job: id });
				endRuns.stopJob(job, 'cancelled');
			}
			return { type: 'cancelled', batch: Math.max(job.acceptedBatch, job.stateBatch) };
		},
		state: (id, team) => {
			const job = known(id, team);
			if (job === undefined || job.acceptedBatch > context.storedBatch) {
				return { type: 'unknown-job' };
			}
			return { type: 'state', state: shownState[job.shownState](job) };
		},
		pending: queue => {
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

const shownState: Record<InnerJobState, (job: Job) => 'queued' | 'running' | 'done' | 'failed' | 'cancelled'> = {
	open: job => (job.hasStarted ? 'running' : 'queued'),
	done: () => 'done',
	failed: () => 'failed',
	cancelled: () => 'cancelled',
};
