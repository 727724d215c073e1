import type { RunEnd } from '@chestnutwheel/ports/common/workerService.js';
import type { EngineContext } from '../engineContext.js';
import type { Job, Step, StopReason, Task, TaskRun } from './job.js';
import type { EndedRun } from './journalEvent.js';

/** A task that failed is started again after this time, doubled with each further failure, so that a pool of workers is not kept busy by it. */
const RETRY_FAILED_MS = 50;
const LONGEST_RETRY_MS = 1_000;

/** Failures of a task that are remembered to choose another worker. */
const REMEMBERED_FAILURES = 4;

/** Ends runs and jobs, and stops what need not go on. */
export interface EndRuns {
	/** Records ends that a worker has listed. @param worker the worker's name */
	ended(ends: readonly EndedRun[], worker: string, now: number): void;
	/** Takes runs away of which it is proved that they are not at work and never will be, without a recorded end. */
	lost(run: TaskRun, reason: string, now: number): void;
	/** Orders a run to stop; its room is free once its end is listed. */
	stop(run: TaskRun, reason: StopReason): void;
	/** Stops everything of a job that has ended. */
	stopJob(job: Job, reason: StopReason): void;
}

/** Creates the part of the engine that ends runs. */
export function createEndRuns(context: EngineContext): EndRuns {
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

	const waitAfterFailure = (task: Task, worker: string, now: number): void => {
		const wait = Math.min(LONGEST_RETRY_MS, RETRY_FAILED_MS * 2 ** Math.max(0, task.failures - 1));
		task.notBefore = now + wait;
		task.failedOn.push(worker);
		if (task.failedOn.length > REMEMBERED_FAILURES) {
			task.failedOn.shift();
		}
	};

	const afterEnd: Record<RunEnd, (task: Task, worker: string, now: number) => void> = {
		done: task => {
			const members = task.step.spec.isGang ? [] : [...task.runs];
			members.forEach(run => stop(run, 'copy-ended'));
		},
		failed: (task, worker, now) => waitAfterFailure(task, worker, now),
		stopped: () => undefined,
		lapsed: () => undefined,
		broken: () => undefined,
		alone: () => undefined,
	};

	const settleJob = (job: Job, now: number): void => {
		if (job.state === 'done') {
			note('job-done', {
				job: job.accepted.id,
				queue: job.accepted.queue,
				tookMs: Math.round(now - job.times.acceptedAt),
				objectiveMs: Math.round(job.times.objectiveMs),
			});
		}
		if (job.state !== 'open') {
			stopJob(job, job.state === 'cancelled' ? 'cancelled' : 'gang-broken');
			return;
		}
		const { attempts } = context.termsOf(job.accepted);
		const hasFailed = [...job.occurrences.values()].some(occurrence =>
			occurrence.steps.some(
				step => !step.spec.isLasting && step.tasks.some(task => task.state !== 'done' && task.failures >= attempts),
			),
		);
		if (hasFailed) {
			context.record({ type: 'failed', job: job.accepted.id }, now);
			counters.add('jobs_failed_total', { queue: job.accepted.queue });
			note('job-failed', { job: job.accepted.id, attempts });
			stopJob(job, 'gang-broken');
		}
	};

	/** Learns from a step that has ended how long such steps take, and what time the rest of its job has. */
	const learnStep = (step: Step): void => {
		if (step.done !== step.tasks.length || step.isLearned) {
			return;
		}
		step.isLearned = true;
		const { job } = step.occurrence;
		context.durations.record(job.accepted.queue, step.spec.estimateMs, step.tookMs);
		job.times = context.refreshTimes(job);
	};

	return {
		ended: (ends, worker, now) => {
			context.record({ type: 'ended', runs: ends }, now);
			const steps = new Set<Step>();
			const settled = new Set<Job>();
			for (const [name, run, end] of ends) {
				if (end === 'failed' || end === 'lapsed') {
					note('run-failed', { task: name, run, worker, end });
				}
				const task = jobs.task(name);
				if (task !== undefined) {
					afterEnd[end](task, worker, now);
					steps.add(task.step);
					settled.add(task.step.occurrence.job);
				}
			}
			steps.forEach(learnStep);
			settled.forEach(job => settleJob(job, now));
		},
		lost: (run, reason, now) => {
			counters.add('runs_lost_total', { reason });
			note('run-lost', { task: run.task.name, run: run.run, worker: run.workerKey, phase: run.phase, reason });
			context.record({ type: 'dropped', runs: [[run.task.name, run.run]] }, now);
		},
		stop,
		stopJob,
	};
}
