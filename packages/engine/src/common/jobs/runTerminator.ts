import type { RunEnd } from '@chestnutwheel/ports/common/workerService.js';
import type { EngineContext } from '../engineContext.js';
import type { Job, Step, StopReason, Task, TaskRun } from './job.js';
import type { EndedRun } from './journalEvent.js';

/** A task that failed is started again after this time, doubled with each further failure, so that a pool of workers is not kept busy by it. */
const INITIAL_RETRY_DELAY_MS = 50;
const MAXIMUM_RETRY_DELAY_MS = 1_000;

/** Failures of a task that are remembered to choose another worker. */
const MAXIMUM_FAILED_WORKERS = 4;

/** Ends runs and jobs, and stops what need not go on. */
export interface RunTerminator {
	/** Records ends that a worker has listed. @param worker the worker's name */
	recordEnds(ends: readonly EndedRun[], worker: string, now: number): void;
	/** Takes runs away of which it is proved that they are not at work and never will be, without a recorded end. */
	discard(run: TaskRun, reason: string, now: number): void;
	/** Orders a run to stop; its room is free once its end is listed. */
	stop(run: TaskRun, reason: StopReason): void;
	/** Stops everything of a job that has ended. */
	stopJob(job: Job, reason: StopReason): void;
}

/** Creates the part of the engine that ends runs. */
export function createRunTerminator(context: EngineContext): RunTerminator {
	const { jobs, note, counters } = context;

	const stop = (run: TaskRun, reason: StopReason): void => {
		if (run.phase === 'stopping') {
			return;
		}
		run.phase = 'stopping';
		run.stopReason = reason;
		counters.add('runs_stopped_total', { reason });
		context.afterBatch({ type: 'stop', workerKey: run.workerKey, task: run.task.name, run: run.run });
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

	const endHandlers: Record<RunEnd, (task: Task, worker: string, now: number) => void> = {
		done: task => {
			const remainingRuns = task.step.spec.isGang ? [] : [...task.runs];
			remainingRuns.forEach(run => stop(run, 'copy-ended'));
		},
		failed: (task, worker, now) => backOffAfterFailure(task, worker, now),
		stopped: () => undefined,
		lapsed: () => undefined,
		broken: () => undefined,
		alone: () => undefined,
	};

	const completeOrFailJob = (job: Job, now: number): void => {
		if (job.state === 'done') {
			note('job-done', {
				job: job.accepted.id,
				queue: job.accepted.queue,
				tookMs: Math.round(now - job.timing.acceptedAt),
				objectiveMs: Math.round(job.timing.objectiveMs),
			});
		}
		if (job.state !== 'open') {
			stopJob(job, job.state === 'cancelled' ? 'cancelled' : 'gang-broken');
			return;
		}
		const { attempts } = context.termsOf(job.accepted);
		const isOutOfAttempts = [...job.occurrences.values()].some(occurrence =>
			occurrence.steps.some(
				step => !step.spec.isLasting && step.tasks.some(task => task.state !== 'done' && task.failures >= attempts),
			),
		);
		if (isOutOfAttempts) {
			context.record({ type: 'failed', job: job.accepted.id }, now);
			counters.add('jobs_failed_total', { queue: job.accepted.queue });
			note('job-failed', { job: job.accepted.id, attempts });
			stopJob(job, 'gang-broken');
		}
	};

	/** Learns from a step that has ended how long such steps take, and what time the rest of its job has. */
	const recordStepDurations = (step: Step): void => {
		if (step.doneCount !== step.tasks.length || step.hasRecordedDurations) {
			return;
		}
		step.hasRecordedDurations = true;
		const { job } = step.occurrence;
		context.durations.record(job.accepted.queue, step.spec.estimateMs, step.runTimesMs);
		job.timing = context.refreshTimes(job);
	};

	return {
		recordEnds: (ends, worker, now) => {
			context.record({ type: 'ended', runs: ends }, now);
			const steps = new Set<Step>();
			const affectedJobs = new Set<Job>();
			for (const [name, run, end] of ends) {
				if (end === 'failed' || end === 'lapsed') {
					note('run-failed', { task: name, run, worker, end });
				}
				const task = jobs.task(name);
				if (task !== undefined) {
					endHandlers[end](task, worker, now);
					steps.add(task.step);
					affectedJobs.add(task.step.occurrence.job);
				}
			}
			steps.forEach(recordStepDurations);
			affectedJobs.forEach(job => completeOrFailJob(job, now));
		},
		discard: (run, reason, now) => {
			counters.add('runs_lost_total', { reason });
			note('run-lost', { task: run.task.name, run: run.run, worker: run.workerKey, phase: run.phase, reason });
			context.record({ type: 'dropped', runs: [[run.task.name, run.run]] }, now);
		},
		stop,
		stopJob,
	};
}
