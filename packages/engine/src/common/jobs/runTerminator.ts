import type { RunEnd } from '@chestnutwheel/ports/common/workerService.js';
import type { EngineContext } from '../engineContext.js';
import type { Job, Step, StopReason, Task, TaskRun } from './job.js';
import { isGivenUp, type CrashEvidence } from '../workers/crashEvidence.js';
import type { DroppedRun, EndedRun } from './journalEvent.js';
import { createQueueOutcomes } from './queueOutcomes.js';
import { describeTimeline } from './stepTimeline.js';

/**
 * Delay before a failed task is retried; it doubles with each failure, so that a failing task does not occupy a pool.
 */
const INITIAL_RETRY_DELAY_MS = 50;
const MAXIMUM_RETRY_DELAY_MS = 1_000;

/** Delay before a task is restarted after its second lost worker; it doubles with each further one. */
const INITIAL_RESTART_DELAY_MS = 250;

/** Longest such delay of a service task, which has no limit of attempts. The platform demands a restart within some seconds. */
const MAXIMUM_RESTART_DELAY_MS = 4_000;

/** Number of recent failures of a task whose workers placement avoids. */
const MAXIMUM_FAILED_WORKERS = 4;

/** Records the ends of runs, completes or fails their jobs, and stops runs that are no longer needed. */
export interface RunTerminator {
	/** Records the ends of runs that a worker has listed. @param worker name of the worker */
	recordEnds(ends: readonly EndedRun[], worker: string, now: number): void;
	/**
	 * Removes a run that is proven not to execute now or later and whose end is unknown. Fails its job if the task is given
	 * up because it crashes its workers.
	 */
	discard(run: TaskRun, reason: string, now: number): void;
	/** Records that the worker of a run that was discarded has crashed, which was not known then. */
	proveCrash(run: TaskRun, now: number): void;
	/** Orders a run to stop; its resources are released once the worker lists its end. */
	stop(run: TaskRun, reason: StopReason): void;
	/** Stops all runs of a job that has ended and withdraws its ready steps. */
	stopJob(job: Job, reason: StopReason): void;
	/** Writes the log lines about late jobs that are due. */
	tick(now: number): void;
}

/** Creates the run terminator of an engine. */
export function createRunTerminator(context: EngineContext): RunTerminator {
	const { jobs, logDecision, counters } = context;
	const queueOutcomes = createQueueOutcomes(logDecision);

	const stop = (run: TaskRun, reason: StopReason): void => {
		if (run.phase === 'stopping') {
			return;
		}
		run.phase = 'stopping';
		run.stopReason = reason;
		run.isStopOrderPending = true;
		counters.add('runs_stopped_total', { reason });
		const effect = {
			type: 'stop',
			workerKey: run.workerKey,
			task: run.task.name,
			run: run.run,
			isRepeat: false,
		} as const;
		// Whether a run may leave its host depends on the other runs of its step now; they may be lost while the journal stalls.
		if (reason === 'host-leaves') {
			context.emitNow(effect);
		} else {
			context.emitWhenStored(effect);
		}
	};

	const stopJob = (job: Job, reason: StopReason): void => {
		for (const occurrence of job.occurrences.values()) {
			for (const step of occurrence.steps) {
				context.readySteps.delete(step);
				step.tasks.forEach(task => [...task.runs].forEach(run => stop(run, reason)));
			}
		}
	};

	const backOffAfterFailure = (task: Task, worker: string, now: number): void => {
		const retryDelayMs = Math.min(MAXIMUM_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** Math.max(0, task.failures - 1));
		task.notBefore = now + retryDelayMs;
		task.failedWorkers.push(worker);
		if (task.failedWorkers.length > MAXIMUM_FAILED_WORKERS) {
			task.failedWorkers.shift();
		}
	};

	/** The first loss is taken for an accident. */
	const backOffAfterLoss = (task: Task, now: number): void => {
		if (task.crashes < 2) {
			return;
		}
		const maximumMs = task.step.spec.isLasting ? MAXIMUM_RESTART_DELAY_MS : MAXIMUM_RETRY_DELAY_MS;
		task.notBefore = now + Math.min(maximumMs, INITIAL_RESTART_DELAY_MS * 2 ** (task.crashes - 2));
	};

	const workersOfPool = (pool: string | undefined): number =>
		[...context.workers.current()].filter(({ entry, hasEnded }) => entry?.pool === pool && !hasEnded).length;

	const endHandlers: Record<RunEnd, (task: Task, worker: string, now: number) => void> = {
		done: (task, _worker, now) => {
			if (task.step.spec.isLasting) {
				task.notBefore = now + INITIAL_RETRY_DELAY_MS;
				return;
			}
			const remainingRuns = task.step.spec.isGang ? [] : [...task.runs];
			remainingRuns.forEach(run => stop(run, 'copy-ended'));
		},
		failed: (task, worker, now) => backOffAfterFailure(task, worker, now),
		stopped: () => undefined,
		lapsed: () => undefined,
		broken: () => undefined,
		alone: () => undefined,
	};

	/** Logs the end of a job; for one that is late, also when its tasks could start, were started and ended. */
	const logDone = (job: Job, now: number): void => {
		const { accepted, timing, occurrences } = job;
		queueOutcomes.recordDone(job, now);
		const { acceptedAt, objectiveMs } = timing;
		const tookMs = Math.round(now - acceptedAt);
		const steps = tookMs <= objectiveMs ? undefined : occurrences.get(0)?.steps;
		logDecision('job-done', {
			job: accepted.id,
			queue: accepted.queue,
			tookMs,
			objectiveMs: Math.round(objectiveMs),
			steps: steps?.map(({ timeline }) => describeTimeline(timeline, acceptedAt)),
		});
	};

	const completeOrFailJob = (job: Job, now: number): void => {
		if (job.state === 'done') {
			logDone(job, now);
		}
		if (job.state !== 'open') {
			stopJob(job, job.state === 'cancelled' ? 'cancelled' : 'gang-broken');
			return;
		}
		const { attempts } = context.queueTermsOf(job.accepted);
		const isOutOfAttempts = [...job.occurrences.values()].some(occurrence =>
			occurrence.steps.some(
				step => !step.spec.isLasting && step.tasks.some(task => task.state !== 'done' && task.failures >= attempts),
			),
		);
		if (isOutOfAttempts) {
			failJob(job, { attempts }, now);
		}
	};

	/** Records that a run is lost, or what became known of it later, and fails its job if the task is given up. */
	const recordLoss = ({ task, run, workerKey }: TaskRun, crash: CrashEvidence | undefined, now: number): void => {
		const dropped: DroppedRun =
			crash === undefined ? [task.name, run] : [task.name, run, crash.phase, crash.isProven ? 1 : 0];
		context.record({ type: 'dropped', runs: [dropped] }, now);
		const { job } = task.step.occurrence;
		if (crash === undefined || job.state !== 'open' || task.state === 'done') {
			return;
		}
		const entry = context.workers.get(workerKey)?.entry;
		if (crash.isProven) {
			task.crashHosts.push(entry?.host ?? workerKey);
		}
		const chance = context.crashRate.chanceDuringStart(task.name, entry?.pool ?? '', workersOfPool(entry?.pool), now);
		if (isGivenUp(task, crash, chance)) {
			failJob(job, { task: task.name, lostWorkers: task.crashes, crashedWorkers: task.provenCrashes, chance }, now);
			return;
		}
		backOffAfterLoss(task, now);
	};

	/** @param cause fields of the decision line that tell why */
	const failJob = (job: Job, cause: Readonly<Record<string, unknown>>, now: number): void => {
		context.record({ type: 'failed', job: job.accepted.id }, now);
		counters.add('jobs_failed_total', { queue: job.accepted.queue });
		logDecision('job-failed', { job: job.accepted.id, ...cause });
		stopJob(job, 'gang-broken');
	};

	/** Adds a completed step to the duration statistics and updates the timing of its job, once per step. */
	const recordStepDurations = (step: Step, now: number): void => {
		if (step.doneCount !== step.tasks.length || step.hasRecordedDurations) {
			return;
		}
		step.hasRecordedDurations = true;
		step.timeline.doneAt = now;
		const { job } = step.occurrence;
		context.durations.record(job.accepted.queue, step.spec.estimateMs, step.runTimesMs);
		job.timing = context.updatedJobTimes(job);
	};

	return {
		recordEnds: (ends, worker, now) => {
			context.record({ type: 'ended', runs: ends }, now);
			const steps = new Set<Step>();
			const affectedJobs = new Set<Job>();
			for (const [name, run, end] of ends) {
				if (end === 'failed' || end === 'lapsed') {
					logDecision('run-failed', { task: name, run, worker, end });
				}
				const task = jobs.task(name);
				if (task !== undefined) {
					task.step.timeline.unsuccessfulRuns += end === 'done' ? 0 : 1;
					endHandlers[end](task, worker, now);
					steps.add(task.step);
					affectedJobs.add(task.step.occurrence.job);
				}
			}
			steps.forEach(step => recordStepDurations(step, now));
			affectedJobs.forEach(job => completeOrFailJob(job, now));
		},
		discard: (run, reason, now) => {
			const { task, crash } = run;
			task.step.timeline.unsuccessfulRuns++;
			counters.add('runs_lost_total', { reason });
			logDecision('run-lost', {
				task: task.name,
				run: run.run,
				worker: run.workerKey,
				phase: run.phase,
				reason,
				crash,
			});
			recordLoss(run, crash, now);
		},
		proveCrash: (run, now) => {
			const host = context.workers.get(run.workerKey)?.entry?.host ?? run.workerKey;
			if (run.crash?.isProven === false && run.crash.phase === 'start' && !run.task.crashHosts.includes(host)) {
				run.crash = { ...run.crash, isProven: true };
				recordLoss(run, run.crash, now);
			}
		},
		stop,
		stopJob,
		tick: now => queueOutcomes.tick(now),
	};
}
