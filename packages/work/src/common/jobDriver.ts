import type { MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import type { PendingRecord, RecordWriter } from './recordWriter.js';
import { hasEnded, type LedgerJob, type WorkLedger } from './workLedger.js';
import type { JobEffect, JobMessage, JobPlacement } from './workMessages.js';
import type { WorkRecord } from './workRecord.js';
import { MAXIMUM_JOB_TEXT_BYTES } from './workRecordSchema.js';

/** Length of a job's lease on its worker. */
export const JOB_LEASE_MS = 15_000;
/** Time between two renewals of a job's lease. */
export const RENEW_JOB_EVERY_MS = 5_000;
/** The worker's clock may run slower, so that a lease counts as lapsed only after this. */
const LEASE_SURELY_LAPSED_MS = JOB_LEASE_MS * 1.02;
/** Later than this no start that was sent can begin, since it is bounded by the leader's lease of 1.5 s. */
const START_SETTLED_MS = 2_000;
const ASK_AGAIN_MS = 1_000;
const PLACE_AGAIN_MS = 200;
const PLACEMENT_REFUSED_MS = 1_000;
/** A job that failed on this many workers in this many racks cannot run. */
const FAILED_WORKERS = 3;
const FAILED_RACKS = 2;
/** Bound of the attempts where all workers are in one rack. */
const MAXIMUM_ATTEMPTS = 10;

type Phase = 'waiting' | 'placing' | 'recording-start' | 'starting' | 'running' | 'recording-end' | 'stopping' | 'done';
type TaskStatus = Extract<JobMessage, { type: 'task-status' }>;
type EndOutcome = Extract<JobEffect, { type: 'end-placement' }>['outcome'];

/** A record without the fields that all records share. */
export type RecordBody = WorkRecord extends infer Each
	? Each extends WorkRecord
		? Omit<Each, 'version' | 'term'>
		: never
	: never;

/** Options of {@link createJobDriver}. */
export interface JobDriverOptions {
	readonly jobId: string;
	readonly ledger: WorkLedger;
	readonly writer: RecordWriter;
	/** Adds the version and the term of the leader. */
	readonly recordOf: (body: RecordBody) => WorkRecord;
	readonly rackOf: (host: string) => string;
	readonly emit: (effect: JobEffect) => void;
	readonly now: MonotonicTime;
}

/** What is known of a task that ended without a result. */
interface LapsedTask {
	readonly checkpoint?: string | undefined;
	/** Whether nothing ran after the checkpoint. */
	readonly isClean?: boolean;
	readonly outcome?: EndOutcome;
}

/** Drives one job to its end under one term. */
export interface JobDriver {
	readonly phase: Phase;
	readonly team: string;
	/** The task that is placed now. */
	readonly taskId: string | undefined;
	placed(placement: JobPlacement): void;
	placementRefused(now: MonotonicTime): void;
	startEnded(result: 'started' | 'not-started' | 'unknown', now: MonotonicTime): void;
	status(status: TaskStatus, now: MonotonicTime): void;
	unreachable(now: MonotonicTime): void;
	preempt(): void;
	/** Does what is due. */
	advance(now: MonotonicTime): void;
	nextTickAt(): MonotonicTime;
}

/** Why a job that waits must not be started again. */
function reasonNotToRun({ attempts, request }: LedgerJob): string | undefined {
	const last = attempts.at(-1);
	if (last === undefined) {
		return undefined;
	}
	const workers = new Set(attempts.map(({ host }) => host)).size;
	const racks = new Set(attempts.map(({ rack }) => rack)).size;
	if ((workers >= FAILED_WORKERS && racks >= FAILED_RACKS) || attempts.length >= MAXIMUM_ATTEMPTS) {
		return `job-cannot-run: ${last.reason}`;
	}
	return request.repeatable ? undefined : last.reason;
}

/** Creates a driver; a job that already runs is adopted, and its worker asked at once. */
export function createJobDriver(options: JobDriverOptions): JobDriver {
	const { jobId, ledger, writer, recordOf, rackOf, emit } = options;
	let phase: Phase = 'waiting';
	let placement: JobPlacement | undefined;
	let dueAt = options.now;
	let lapsesAt = Infinity;
	let settledAt = -Infinity;
	/** Taken at a clean stop that this driver saw; newer than what the ledger may show. */
	let stopCheckpoint: string | undefined;
	let checkpointRecord: PendingRecord | undefined;

	const jobOf = (): LedgerJob | undefined => ledger.job(jobId);
	const isOver = (): boolean => {
		const job = jobOf();
		return job === undefined || hasEnded(job.state);
	};

	const write = (body: RecordBody, isSeen: () => boolean, whenSeen: (now: MonotonicTime) => void): PendingRecord => {
		const pending = { record: recordOf(body), isSeen, whenSeen };
		writer.write(pending);
		return pending;
	};

	/** A checkpoint of a task that has ended would never be folded, and would be appended again for ever. */
	const dropCheckpoint = (): void => {
		if (checkpointRecord !== undefined) {
			writer.drop(checkpointRecord);
			checkpointRecord = undefined;
		}
	};

	const endPlacement = (outcome: EndOutcome, deleteCopy: boolean): void => {
		if (placement !== undefined) {
			const { taskId, host } = placement;
			if (deleteCopy) {
				emit({ type: 'delete-task', taskId, host });
			}
			emit({ type: 'end-placement', jobId, taskId, outcome });
		}
		placement = undefined;
		lapsesAt = Infinity;
	};

	const wait = (until: MonotonicTime): void => {
		phase = 'waiting';
		dueAt = until;
	};

	const recordEnd = (body: RecordBody, outcome: EndOutcome): void => {
		dropCheckpoint();
		phase = 'recording-end';
		write(body, isOver, () => {
			endPlacement(outcome, true);
			phase = 'done';
		});
	};

	const recordFailure = ({ taskId, host }: JobPlacement, error: string): void => {
		dropCheckpoint();
		phase = 'recording-end';
		const reason = error.slice(0, 1_000);
		write(
			{ type: 'job-attempt-failed', jobId, taskId, host, rack: rackOf(host), reason },
			() => isOver() || jobOf()?.attempts.some(attempt => attempt.taskId === taskId) === true,
			now => {
				endPlacement('failed', true);
				wait(now + PLACE_AGAIN_MS);
			},
		);
	};

	/** The task ended without a result and is surely off its worker. */
	const lapse = (
		reason: string,
		now: MonotonicTime,
		{ checkpoint, isClean = false, outcome = 'stopped' }: LapsedTask = {},
	): void => {
		dropCheckpoint();
		const task = placement;
		if (jobOf()?.request.repeatable !== true && !(isClean && checkpoint !== undefined)) {
			recordEnd({ type: 'job-outcome-unknown', jobId, reason }, outcome);
			return;
		}
		stopCheckpoint = checkpoint;
		const goOn = (at: MonotonicTime): void => {
			endPlacement(outcome, true);
			wait(at + PLACE_AGAIN_MS);
		};
		if (checkpoint === undefined || task === undefined || jobOf()?.checkpoint === checkpoint) {
			goOn(now);
			return;
		}
		phase = 'recording-end';
		const body: RecordBody = { type: 'job-checkpointed', jobId, taskId: task.taskId, checkpoint };
		write(body, () => isOver() || jobOf()?.checkpoint === checkpoint, goOn);
	};

	const recordCheckpoint = (taskId: string, checkpoint: string): void => {
		if (checkpointRecord === undefined && jobOf()?.checkpoint !== checkpoint) {
			stopCheckpoint = undefined;
			checkpointRecord = write(
				{ type: 'job-checkpointed', jobId, taskId, checkpoint },
				() => isOver() || jobOf()?.checkpoint === checkpoint,
				() => {
					checkpointRecord = undefined;
				},
			);
		}
	};

	const start = (now: MonotonicTime): void => {
		const job = jobOf();
		if (job === undefined || placement === undefined || isOver()) {
			endPlacement('not-started', false);
			phase = 'done';
			return;
		}
		phase = 'starting';
		settledAt = now + START_SETTLED_MS;
		lapsesAt = settledAt + LEASE_SURELY_LAPSED_MS;
		dueAt = settledAt;
		const { taskId, host } = placement;
		const checkpoint = stopCheckpoint ?? job.checkpoint;
		emit({ type: 'start-task', taskId, host, job: job.request, checkpoint, leaseMs: JOB_LEASE_MS });
	};

	const renewed = (now: MonotonicTime): void => {
		phase = 'running';
		lapsesAt = Math.max(lapsesAt === Infinity ? -Infinity : lapsesAt, now + LEASE_SURELY_LAPSED_MS);
		dueAt = now + RENEW_JOB_EVERY_MS;
	};

	const whenRunning = (status: TaskStatus, task: JobPlacement, now: MonotonicTime): void => {
		const handlers: Readonly<Record<TaskStatus['state'], () => void>> = {
			running: () => {
				renewed(now);
				if (status.checkpoint !== undefined) {
					recordCheckpoint(task.taskId, status.checkpoint);
				}
			},
			finished: () => {
				const result = status.result ?? '';
				if (new TextEncoder().encode(result).length > MAXIMUM_JOB_TEXT_BYTES) {
					recordEnd({ type: 'job-failed', jobId, reason: 'the result is longer than 64 KiB' }, 'failed');
				} else {
					recordEnd({ type: 'job-finished', jobId, taskId: task.taskId, result }, 'succeeded');
				}
			},
			failed: () => recordFailure(task, status.error ?? 'no reason given'),
			stopped: () => lapse('the task was stopped', now, { checkpoint: status.checkpoint, isClean: true }),
			'lease-lapsed': () => lapse('the lease of the task lapsed', now, { checkpoint: status.checkpoint }),
			'not-known': () => {
				// A start that is still under way may begin until it is settled.
				if (now >= settledAt) {
					lapse('the worker does not know the task', now);
				} else {
					dueAt = settledAt;
				}
			},
		};
		handlers[status.state]();
	};

	/** Judged before each placement, since an earlier leader may have recorded the failures alone. */
	const place = (): void => {
		const job = jobOf();
		if (job === undefined) {
			return;
		}
		const reason = reasonNotToRun(job);
		if (reason !== undefined) {
			recordEnd({ type: 'job-failed', jobId, reason }, 'failed');
			return;
		}
		phase = 'placing';
		emit({ type: 'place-job', job: job.request, avoidHosts: [...new Set(job.attempts.map(({ host }) => host))] });
	};

	const whenDue: Readonly<Partial<Record<Phase, (now: MonotonicTime) => void>>> = {
		waiting: place,
		starting: now => askWorker(now),
		running: now => askWorker(now),
		stopping: now => {
			dueAt = now + ASK_AGAIN_MS;
			if (placement !== undefined) {
				emit({ type: 'stop-task', taskId: placement.taskId, host: placement.host, checkpoint: false });
			}
		},
	};

	const askWorker = (now: MonotonicTime): void => {
		dueAt = now + RENEW_JOB_EVERY_MS;
		if (placement !== undefined) {
			const { taskId, host } = placement;
			emit({ type: 'renew-task', taskId, host, leaseMs: JOB_LEASE_MS });
		}
	};

	/** The job was ended by a record other than this driver's, such as a cancellation. */
	const whenOver: Readonly<Partial<Record<Phase, () => void>>> = {
		waiting: () => {
			phase = 'done';
		},
		placing: () => {
			emit({ type: 'withdraw-placement', jobId });
			phase = 'done';
		},
		starting: () => beginStop(),
		running: () => beginStop(),
	};

	const beginStop = (): void => {
		phase = 'stopping';
		dueAt = -Infinity;
	};

	const adopted = jobOf();
	if (adopted?.state === 'running' && adopted.taskId !== undefined && adopted.host !== undefined) {
		placement = { taskId: adopted.taskId, host: adopted.host, rack: rackOf(adopted.host) };
		phase = 'running';
		settledAt = options.now + START_SETTLED_MS;
		lapsesAt = settledAt + LEASE_SURELY_LAPSED_MS;
	}

	return {
		get phase() {
			return phase;
		},
		team: adopted?.request.team ?? '',
		get taskId() {
			return placement?.taskId;
		},
		placed: given => {
			if (phase !== 'placing') {
				emit({ type: 'end-placement', jobId, taskId: given.taskId, outcome: 'not-started' });
				return;
			}
			placement = given;
			phase = 'recording-start';
			const body: RecordBody = { type: 'job-started', jobId, taskId: given.taskId, host: given.host };
			write(body, () => isOver() || jobOf()?.taskId === given.taskId, start);
		},
		placementRefused: now => {
			if (phase === 'placing') {
				wait(now + PLACEMENT_REFUSED_MS);
			}
		},
		startEnded: (result, now) => {
			if (phase === 'stopping' && result === 'not-started') {
				endPlacement('not-started', false);
				phase = 'done';
			} else if (phase === 'starting') {
				if (result === 'not-started') {
					endPlacement('not-started', false);
					wait(now + PLACE_AGAIN_MS);
				} else if (result === 'started') {
					renewed(now);
				} else {
					dueAt = settledAt;
				}
			}
		},
		status: (status, now) => {
			if (placement === undefined) {
				return;
			}
			if (phase === 'running' || phase === 'starting') {
				whenRunning(status, placement, now);
			} else if (
				phase === 'stopping' &&
				status.state !== 'running' &&
				(status.state !== 'not-known' || now >= settledAt)
			) {
				endPlacement(status.state === 'finished' ? 'succeeded' : 'stopped', true);
				phase = 'done';
			}
		},
		unreachable: now => {
			dueAt = Math.min(dueAt, now + ASK_AGAIN_MS);
		},
		preempt: () => {
			if (phase === 'running' && placement !== undefined) {
				emit({ type: 'stop-task', taskId: placement.taskId, host: placement.host, checkpoint: true });
			}
		},
		advance: now => {
			if (isOver()) {
				whenOver[phase]?.();
			}
			if (now >= lapsesAt && (phase === 'running' || phase === 'starting')) {
				lapse('the worker was unreachable until the lease lapsed', now, { outcome: 'unknown' });
			} else if (now >= lapsesAt && phase === 'stopping') {
				endPlacement('unknown', true);
				phase = 'done';
			} else if (now >= dueAt) {
				whenDue[phase]?.(now);
			}
		},
		nextTickAt: () => (whenDue[phase] === undefined ? Infinity : Math.min(dueAt, lapsesAt)),
	};
}
