import type { MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import type { RecordBody } from './jobDriver.js';
import { createJobDrivers, type JobDrivers } from './jobDrivers.js';
import { createRecordWriter, type PendingRecord, type RecordWriter } from './recordWriter.js';
import { hasEnded, MAXIMUM_JOBS, MAXIMUM_JOB_BYTES, type WorkLedger } from './workLedger.js';
import type { JobEffect, JobMessage } from './workMessages.js';
import type { WorkRecord } from './workRecord.js';
import { MAXIMUM_JOB_TEXT_BYTES } from './workRecordSchema.js';

/** A submission or cancellation that was not read back after this time is answered as `append-unknown`. */
const ANSWER_WITHIN_MS = 5_000;
/** Least time between two looks at all drivers, so that a burst of messages costs little. */
const TICK_EVERY_MS = 50;
/** Live jobs that appeared in the ledger without a driver are looked for this often. */
const SCAN_EVERY_MS = 5_000;
const SNAPSHOT_AFTER_RECORDS = 500;
const SNAPSHOT_RETRY_MS = 5_000;
/** Copies of tasks whose job ended this recently are deleted again by a new leader. */
const DELETE_AGAIN_MS = 60_000;

/** Options of {@link createJobController}. */
export interface JobControllerOptions {
	readonly ledger: WorkLedger;
	/** Entry host of this daemon, for `term-opened`. */
	readonly leader: string;
	/** How long the log keeps records; the state is written again before half of it has passed. */
	readonly retentionMs: number;
	/** Rack of a host by the accepted configuration. */
	readonly rackOf: (host: string) => string;
}

/** Drives the long jobs of one cell while a lease is held. Deterministic. */
export interface JobController {
	handle(message: JobMessage, now: MonotonicTime): readonly JobEffect[];
	/** The earliest time at which a `tick` changes anything. */
	nextTickAt(): MonotonicTime | undefined;
	/** Whether the own `term-opened` was read back, so that the ledger shows all that earlier leaders did. */
	readonly isOpen: boolean;
}

interface Answer {
	readonly pending: PendingRecord;
	readonly bytes: number;
	readonly answerBy: MonotonicTime;
}

interface Tenure {
	readonly term: number;
	until: MonotonicTime;
	readonly writer: RecordWriter;
	readonly drivers: JobDrivers;
	readonly submits: Map<string, Answer>;
	readonly cancels: Map<string, Answer>;
	isOpen: boolean;
	scanAt: MonotonicTime;
	snapshotAt: MonotonicTime;
	snapshotOffset: number;
}

type Handlers = {
	readonly [Type in JobMessage['type']]: (
		message: Extract<JobMessage, { type: Type }>,
		now: MonotonicTime,
		tenure: Tenure | undefined,
	) => void;
};

/** Creates the controller of one cell. */
export function createJobController({ ledger, leader, retentionMs, rackOf }: JobControllerOptions): JobController {
	let tenure: Tenure | undefined;
	let effects: JobEffect[] = [];
	let tickAt: MonotonicTime = Infinity;
	const emit = (effect: JobEffect): void => void effects.push(effect);

	const answerSubmit = (jobId: string, kind: ErrorKind, reason: string): void =>
		emit({ type: 'submit-answered', jobId, result: { kind, reason } });
	const answerCancel = (jobId: string, kind: ErrorKind, reason: string): void =>
		emit({ type: 'cancel-answered', jobId, result: { kind, reason } });

	const loseLease = (): void => {
		const lost = tenure;
		tenure = undefined;
		for (const [jobId, { pending }] of lost?.submits ?? []) {
			const landed = lost?.writer.mayHaveLanded(pending) === true;
			answerSubmit(jobId, landed ? 'append-unknown' : 'no-leader', 'the lease of the cell was lost');
		}
		for (const jobId of lost?.cancels.keys() ?? []) {
			answerCancel(jobId, 'append-unknown', 'the lease of the cell was lost');
		}
	};

	const recordFor = ({ term }: { readonly term: number }, body: RecordBody): WorkRecord => ({
		...body,
		version: 1,
		term,
	});

	const open = (held: Tenure, now: MonotonicTime): void => {
		held.isOpen = true;
		held.snapshotAt = now;
		held.scanAt = now + SCAN_EVERY_MS;
		held.drivers.driveAll(now);
		for (const { endedAt, taskId, host } of ledger.jobs()) {
			if (endedAt !== undefined && now - endedAt < DELETE_AGAIN_MS && taskId !== undefined && host !== undefined) {
				emit({ type: 'delete-task', taskId, host });
			}
		}
	};

	const takeOver = (term: number, until: MonotonicTime): void => {
		const writer = createRecordWriter();
		const recordOf = (body: RecordBody): WorkRecord => recordFor({ term }, body);
		const held: Tenure = {
			term,
			until,
			writer,
			drivers: createJobDrivers({ ledger, writer, recordOf, rackOf, emit }),
			submits: new Map(),
			cancels: new Map(),
			isOpen: false,
			scanAt: Infinity,
			snapshotAt: Infinity,
			snapshotOffset: -1,
		};
		tenure = held;
		writer.write({
			record: recordFor(held, { type: 'term-opened', leader }),
			isSeen: () => ledger.term === term && ledger.leader === leader,
			whenSeen: now => open(held, now),
		});
	};

	const submit = (held: Tenure, job: Extract<JobMessage, { type: 'submit-job' }>['job'], now: MonotonicTime): void => {
		const { jobId } = job;
		const bytes = new TextEncoder().encode(job.payload).length;
		const pendingBytes = [...held.submits.values()].reduce((sum, answer) => sum + answer.bytes, 0);
		if (bytes > MAXIMUM_JOB_TEXT_BYTES) {
			answerSubmit(jobId, 'body-too-large', 'a payload has at most 64 KiB');
			return;
		}
		if (ledger.jobCount + held.submits.size >= MAXIMUM_JOBS) {
			answerSubmit(jobId, 'job-limit-reached', `the cell has ${MAXIMUM_JOBS} jobs`);
			return;
		}
		if (ledger.jobBytes + pendingBytes + bytes > MAXIMUM_JOB_BYTES) {
			answerSubmit(jobId, 'job-limit-reached', 'the payloads and results of the cell have reached their bound');
			return;
		}
		const pending: PendingRecord = {
			record: recordFor(held, { type: 'job-accepted', job }),
			isSeen: () => ledger.job(jobId) !== undefined,
			whenSeen: at => {
				emit({ type: 'submit-answered', jobId, result: 'accepted' });
				held.submits.delete(jobId);
				held.drivers.drive(jobId, at);
			},
			mayRetry: result => {
				if (result === 'failed') {
					held.submits.delete(jobId);
					answerSubmit(jobId, 'log-unavailable', 'the record could not be appended');
				}
				return result !== 'failed';
			},
		};
		held.submits.set(jobId, { pending, bytes, answerBy: now + ANSWER_WITHIN_MS });
		held.writer.write(pending);
	};

	const cancel = (held: Tenure, jobId: string, now: MonotonicTime): void => {
		const answerEnded = (): void => {
			const state = ledger.job(jobId)?.state;
			if (state === 'cancelled') {
				emit({ type: 'cancel-answered', jobId, result: 'cancelled' });
			} else {
				answerCancel(jobId, 'unknown-job', `the job has ended as ${state ?? 'forgotten'}`);
			}
		};
		const job = ledger.job(jobId);
		if (job === undefined) {
			answerCancel(jobId, 'unknown-job', 'the cell has no job of this name');
			return;
		}
		if (hasEnded(job.state)) {
			answerEnded();
			return;
		}
		const pending: PendingRecord = {
			record: recordFor(held, { type: 'job-cancelled', jobId }),
			isSeen: () => hasEnded(ledger.job(jobId)?.state ?? 'cancelled'),
			whenSeen: at => {
				held.cancels.delete(jobId);
				answerEnded();
				held.drivers.ofJob(jobId)?.advance(at);
			},
			mayRetry: result => {
				if (result === 'failed') {
					held.cancels.delete(jobId);
					answerCancel(jobId, 'platform-unreachable', 'the record could not be appended');
				}
				return result !== 'failed';
			},
		};
		held.cancels.set(jobId, { pending, bytes: 0, answerBy: now + ANSWER_WITHIN_MS });
		held.writer.write(pending);
	};

	/** Stops waiting for records that are not read back; they are not appended again. */
	const answerOverdue = (held: Tenure, now: MonotonicTime): void => {
		for (const [answers, answer] of [[held.submits, answerSubmit] as const, [held.cancels, answerCancel] as const]) {
			for (const [jobId, overdue] of answers) {
				if (now >= overdue.answerBy) {
					held.writer.drop(overdue.pending);
					answers.delete(jobId);
					answer(jobId, 'append-unknown', 'the record was not read back in time');
				}
			}
		}
	};

	const snapshotIfDue = (held: Tenure, now: MonotonicTime): void => {
		// A snapshot costs as much as the state is large, so that a large state is written less often.
		const records = Math.max(SNAPSHOT_AFTER_RECORDS, (ledger.jobCount + ledger.requestKeyCount) / 4);
		const isDue = ledger.offset - held.snapshotOffset >= records || now >= held.snapshotAt;
		if (isDue && ledger.offset >= 0) {
			held.snapshotAt = now + retentionMs / 2;
			held.snapshotOffset = ledger.offset;
			emit({ type: 'append-snapshot', value: ledger.serialize(now) });
		}
	};

	const advance = (held: Tenure, now: MonotonicTime, isTick: boolean): void => {
		if (ledger.term > held.term) {
			loseLease();
			return;
		}
		effects.push(...held.writer.advance(now));
		answerOverdue(held, now);
		if (held.isOpen && isTick) {
			if (now >= held.scanAt) {
				held.scanAt = now + SCAN_EVERY_MS;
				held.drivers.driveAll(now);
			}
			held.drivers.advance(now);
			snapshotIfDue(held, now);
			effects.push(...held.writer.advance(now));
		}
	};

	const handlers: Handlers = {
		'lease-held': ({ term, until }, _now, held) => {
			if (held?.term === term) {
				held.until = until;
				return;
			}
			loseLease();
			takeOver(term, until);
		},
		'lease-lost': loseLease,
		'append-ended': ({ appendId, result }, now, held) => held?.writer.appendEnded(appendId, result, now),
		'ledger-folded': () => undefined,
		tick: () => undefined,
		'submit-job': ({ job }, now, held) => {
			if (ledger.job(job.jobId) !== undefined) {
				emit({ type: 'submit-answered', jobId: job.jobId, result: 'accepted' });
			} else if (held?.isOpen !== true) {
				answerSubmit(job.jobId, 'no-leader', 'this daemon does not lead the cell, or has not read its work stream');
			} else if (!held.submits.has(job.jobId)) {
				submit(held, job, now);
			}
		},
		'cancel-job': ({ jobId }, now, held) => {
			if (held?.isOpen !== true) {
				answerCancel(jobId, 'platform-unreachable', 'this daemon does not lead the cell');
			} else if (!held.cancels.has(jobId)) {
				cancel(held, jobId, now);
			}
		},
		'job-placed': ({ jobId, placement }, _now, held) => {
			const driver = held?.drivers.ofJob(jobId);
			if (driver === undefined) {
				emit({ type: 'end-placement', jobId, taskId: placement.taskId, outcome: 'not-started' });
			}
			held?.drivers.addTask(placement.taskId, jobId);
			driver?.placed(placement);
		},
		'placement-refused': ({ jobId }, now, held) => held?.drivers.ofJob(jobId)?.placementRefused(now),
		'start-ended': ({ taskId, result }, now, held) => held?.drivers.ofTask(taskId)?.startEnded(result, now),
		'task-status': (message, now, held) => held?.drivers.ofTask(message.taskId)?.status(message, now),
		'task-unreachable': ({ taskId }, now, held) => held?.drivers.ofTask(taskId)?.unreachable(now),
		'worker-tasks': ({ host, taskIds }, _now, held) => {
			// A task that no job in the ledger knows was started by a leader whose record was ignored.
			for (const taskId of held?.isOpen === true ? taskIds : []) {
				if (held?.drivers.ofTask(taskId) === undefined) {
					emit({ type: 'stop-task', taskId, host, checkpoint: false });
				}
			}
		},
		'snapshot-ended': ({ result }, now, held) => {
			if (held !== undefined && result !== 'appended') {
				held.snapshotAt = now + SNAPSHOT_RETRY_MS;
			}
		},
		'preempt-task': ({ taskId }, _now, held) => held?.drivers.ofTask(taskId)?.preempt(),
	};

	const dueAt = (now: MonotonicTime): MonotonicTime => {
		if (tenure === undefined) {
			return Infinity;
		}
		const { scanAt, snapshotAt, writer, drivers, submits, cancels } = tenure;
		let earliest = Math.min(scanAt, snapshotAt, writer.nextTickAt(), drivers.nextTickAt());
		submits.forEach(answer => (earliest = Math.min(earliest, answer.answerBy)));
		cancels.forEach(answer => (earliest = Math.min(earliest, answer.answerBy)));
		return Math.max(earliest, now + TICK_EVERY_MS);
	};

	return {
		handle: (message, now) => {
			effects = [];
			// A daemon that was paused beyond its lease must not act on what it believed before.
			if (tenure !== undefined && now >= tenure.until && message.type !== 'lease-held') {
				loseLease();
			}
			(handlers[message.type] as (handled: JobMessage, at: MonotonicTime, held: Tenure | undefined) => void)(
				message,
				now,
				tenure,
			);
			if (tenure !== undefined && now < tenure.until) {
				advance(tenure, now, message.type === 'tick');
			}
			for (const effect of effects) {
				if (effect.type === 'end-placement') {
					tenure?.drivers.removeTask(effect.taskId);
				}
			}
			tickAt = message.type === 'tick' ? dueAt(now) : Math.min(tickAt, now + TICK_EVERY_MS);
			return effects;
		},
		nextTickAt: () => (tenure === undefined ? undefined : Math.min(tickAt, tenure.until)),
		get isOpen() {
			return tenure?.isOpen === true;
		},
	};
}
