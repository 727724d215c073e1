import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type {
	JobStart,
	NotStartedReason,
	WorkerJobState,
	WorkerJobStatus,
} from '@chestnutwheel/platform/common/workerProtocol.js';
import { z } from 'zod';
import type { TaskEnd } from './workerLedger.js';
import type { WorkerTasks } from './workerTasks.js';

/** The jobs of one worker. Jobs that have ended are kept until they are deleted. */
export interface WorkerJobs {
	/** @returns why the job was not started; `undefined` when it was, now or by an earlier call */
	start(start: JobStart): NotStartedReason | undefined;
	status(taskId: string): WorkerJobStatus | undefined;
	checkpoint(taskId: string): WorkerJobStatus | undefined;
	throttle(taskId: string, fraction: number): WorkerJobStatus | undefined;
	stop(taskId: string): WorkerJobStatus | undefined;
	renew(taskId: string, leaseMs: number): WorkerJobStatus | undefined;
	/** @returns whether the job is gone now */
	delete(taskId: string): 'deleted' | 'unknown' | 'running';
	/** Forgets everything, as a reboot does. */
	clear(): void;
}

/** What the fake service understands of a payload. */
const payloadSchema = z.object({
	/** Time that the job takes at full speed. */
	workMs: z.number().min(0).default(0),
	result: z.string().default(''),
	fail: z.boolean().default(false),
	mark: z.string().optional(),
});

const checkpointSchema = z.object({ doneMs: z.number().min(0) });

/** Ended jobs kept; a worker with more refuses new jobs as `slots-full`. */
const MAXIMUM_KEPT_JOBS = 10_000;

/** A longer time would make the timer fire at once. */
const LONGEST_TIMER_MS = 2 ** 31 - 1;

type Payload = z.infer<typeof payloadSchema>;

interface Job {
	readonly payload: Payload;
	status: WorkerJobStatus;
	/** Work done up to `measuredAt`, in milliseconds at full speed. */
	doneMs: number;
	measuredAt: number;
	fraction: number;
	timer: NodeJS.Timeout | undefined;
}

const endOfTask: Readonly<Record<Exclude<WorkerJobState, 'running'>, TaskEnd>> = {
	finished: 'finished',
	failed: 'failed',
	stopped: 'stopped',
	'lease-lapsed': 'lease-lapsed',
};

function parse<Value>(schema: z.ZodType<Value>, text: string): Value | undefined {
	try {
		return schema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}

/** Creates an empty set of jobs. @param mustFail whether the worker fails everything now */
export function createWorkerJobs(tasks: WorkerTasks, clock: Clock, mustFail: () => boolean): WorkerJobs {
	const jobs = new Map<string, Job>();

	const end = (job: Job, state: Exclude<WorkerJobState, 'running'>, more: Partial<WorkerJobStatus> = {}): void => {
		clearTimeout(job.timer);
		job.status = { ...job.status, ...more, state };
		tasks.end(job.status.taskId, endOfTask[state]);
	};

	/** Brings `doneMs` up to now and sets the timer for the rest at the present speed. */
	const proceed = (job: Job): void => {
		const now = clock.now();
		job.doneMs += (now - job.measuredAt) * job.fraction;
		job.measuredAt = now;
		clearTimeout(job.timer);
		const remainingMs = Math.max(0, job.payload.workMs - job.doneMs) / job.fraction;
		job.timer = setTimeout(
			() => {
				if (remainingMs > LONGEST_TIMER_MS) {
					proceed(job);
				} else if (job.payload.fail || mustFail()) {
					end(job, 'failed', { error: 'the service failed the job' });
				} else {
					end(job, 'finished', { result: job.payload.result });
				}
			},
			Math.min(remainingMs, LONGEST_TIMER_MS),
		);
	};

	/** Runs an action on a job that runs; a job that has ended stays as it is. */
	const change = (taskId: string, action: (job: Job) => void): WorkerJobStatus | undefined => {
		const job = jobs.get(taskId);
		if (job?.status.state === 'running') {
			action(job);
		}
		return job?.status;
	};

	return {
		start: ({ permit, payload: payloadText, checkpoint }) => {
			const { taskId } = permit;
			if (jobs.has(taskId)) {
				return undefined;
			}
			if (jobs.size >= MAXIMUM_KEPT_JOBS) {
				return 'slots-full';
			}
			const payload = parse(payloadSchema, payloadText);
			const refused = tasks.start(permit, 'job', payload?.mark, false, how => {
				const job = jobs.get(taskId);
				clearTimeout(job?.timer);
				if (job !== undefined && how === 'lease-lapsed') {
					job.status = { ...job.status, state: 'lease-lapsed' };
				}
			});
			if (refused !== undefined) {
				// The identifier of a running request is never reused for a job.
				return refused === 'duplicate' ? 'slots-full' : refused;
			}
			const job: Job = {
				payload: payload ?? payloadSchema.parse({}),
				status: { taskId, state: 'running', checkpoint },
				doneMs: (checkpoint === undefined ? undefined : parse(checkpointSchema, checkpoint)?.doneMs) ?? 0,
				measuredAt: clock.now(),
				fraction: 1,
				timer: undefined,
			};
			jobs.set(taskId, job);
			if (payload === undefined) {
				end(job, 'failed', { error: 'the payload is not valid' });
			} else {
				proceed(job);
			}
			return undefined;
		},
		status: taskId => jobs.get(taskId)?.status,
		checkpoint: taskId =>
			change(taskId, job => {
				proceed(job);
				job.status = { ...job.status, checkpoint: JSON.stringify({ doneMs: Math.round(job.doneMs) }) };
			}),
		throttle: (taskId, fraction) =>
			change(taskId, job => {
				proceed(job);
				job.fraction = fraction;
				proceed(job);
			}),
		stop: taskId => change(taskId, job => end(job, 'stopped')),
		renew: (taskId, leaseMs) => change(taskId, job => void tasks.renew(job.status.taskId, leaseMs)),
		delete: taskId => {
			const state = jobs.get(taskId)?.status.state;
			if (state === undefined) {
				return 'unknown';
			}
			if (state === 'running') {
				return 'running';
			}
			jobs.delete(taskId);
			return 'deleted';
		},
		clear: () => {
			for (const job of jobs.values()) {
				clearTimeout(job.timer);
			}
			jobs.clear();
		},
	};
}
