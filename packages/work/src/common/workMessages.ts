import type { MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import type { JobRequest } from './workRecord.js';
import type { RequestKeyEntry } from './workLedger.js';

/** How an append ended: `failed` proves that the record was not appended. */
export type AppendResult = 'appended' | 'unknown' | 'failed';

/** Messages that the request recorder and the job controller share. */
export type SharedMessage =
	/** The lease of the cell was gained or renewed. */
	| { readonly type: 'lease-held'; readonly term: number; readonly until: MonotonicTime }
	| { readonly type: 'lease-lost' }
	| { readonly type: 'append-ended'; readonly appendId: string; readonly result: AppendResult }
	/** The ledger has folded more records. */
	| { readonly type: 'ledger-folded' }
	| { readonly type: 'tick' };

/** Asks for one record in the work stream of the cell; answered with `append-ended`. */
export interface AppendEffect {
	readonly type: 'append';
	readonly appendId: string;
	readonly value: string;
}

/** Messages to the request recorder. */
export type RecorderMessage =
	| SharedMessage
	/** A request that may not be repeated; asking again with the same id changes nothing. */
	| {
			readonly type: 'record-request';
			readonly requestId: string;
			readonly team: string;
			readonly requestKey: string;
			readonly deadline: MonotonicTime;
	  }
	/** The caller cancelled before the start was allowed, or the request was allowed to start and did not. */
	| { readonly type: 'withdraw-request'; readonly requestId: string }
	/** A request that was allowed to start has ended. `not-run` only with proof, and with no further attempt. */
	| { readonly type: 'request-ended'; readonly requestId: string; readonly outcome: 'ran' | 'not-run' | 'unknown' };

/** What the request recorder wants done. */
export type RecorderEffect =
	| AppendEffect
	/** The record of the request was read back under the present term; a grant may be given. */
	| { readonly type: 'may-start'; readonly requestId: string }
	/** The request was not allowed to start and never will be. */
	| {
			readonly type: 'refuse-request';
			readonly requestId: string;
			readonly kind: ErrorKind;
			readonly reason: string;
			/** What is known of the request that used the key before. */
			readonly known?: RequestKeyEntry['state'] | undefined;
	  };

/** A place for one attempt of a job, as the scheduler gives it. */
export interface JobPlacement {
	/** Identifier of the attempt's task; new for every placement. */
	readonly taskId: string;
	readonly host: string;
	readonly rack: string;
}

/**
 * State of a job's task as its worker reports it. `stopped` with a checkpoint means that the checkpoint was taken at the
 * stop, so that nothing ran after it.
 */
export type TaskState = 'running' | 'finished' | 'failed' | 'stopped' | 'lease-lapsed' | 'not-known';

/** Messages to the job controller. */
export type JobMessage =
	| SharedMessage
	/** Asking again with the same job id is answered the same. */
	| { readonly type: 'submit-job'; readonly job: JobRequest }
	| { readonly type: 'cancel-job'; readonly jobId: string }
	| { readonly type: 'job-placed'; readonly jobId: string; readonly placement: JobPlacement }
	| { readonly type: 'placement-refused'; readonly jobId: string; readonly reason: string }
	/** `not-started` only with the worker's proof. */
	| {
			readonly type: 'start-ended';
			readonly taskId: string;
			readonly result: 'started' | 'not-started' | 'unknown';
	  }
	/** Answer to `renew-task` or `stop-task`. */
	| {
			readonly type: 'task-status';
			readonly taskId: string;
			readonly state: TaskState;
			readonly checkpoint?: string | undefined;
			readonly result?: string | undefined;
			readonly error?: string | undefined;
	  }
	| { readonly type: 'task-unreachable'; readonly taskId: string }
	/** Job tasks that run on a worker, from its answer to the fence of this term or to a later poll. */
	| { readonly type: 'worker-tasks'; readonly host: string; readonly taskIds: readonly string[] }
	| { readonly type: 'snapshot-ended'; readonly result: AppendResult }
	/** The scheduler wants the slot: the task is to be checkpointed and stopped. */
	| { readonly type: 'preempt-task'; readonly taskId: string };

/** What the job controller wants done. */
export type JobEffect =
	| AppendEffect
	/** Answer to `submit-job`; `accepted` only after the record was read back. */
	| {
			readonly type: 'submit-answered';
			readonly jobId: string;
			readonly result: 'accepted' | { readonly kind: ErrorKind; readonly reason: string };
	  }
	| {
			readonly type: 'cancel-answered';
			readonly jobId: string;
			readonly result: 'cancelled' | { readonly kind: ErrorKind; readonly reason: string };
	  }
	| { readonly type: 'place-job'; readonly job: JobRequest; readonly avoidHosts: readonly string[] }
	| { readonly type: 'withdraw-placement'; readonly jobId: string }
	/**
	 * The placement is over. `stopped`: the task ended without a result and is off its worker, so that the slot is free.
	 * `unknown`: the worker was unreachable until the task's lease had lapsed.
	 */
	| {
			readonly type: 'end-placement';
			readonly jobId: string;
			readonly taskId: string;
			readonly outcome: 'succeeded' | 'failed' | 'not-started' | 'stopped' | 'unknown';
	  }
	| {
			readonly type: 'start-task';
			readonly taskId: string;
			readonly host: string;
			readonly job: JobRequest;
			readonly checkpoint: string | undefined;
			readonly leaseMs: number;
	  }
	| { readonly type: 'renew-task'; readonly taskId: string; readonly host: string; readonly leaseMs: number }
	| {
			readonly type: 'stop-task';
			readonly taskId: string;
			readonly host: string;
			/** Whether a checkpoint is to be taken before the stop. */
			readonly checkpoint: boolean;
	  }
	/** The end of the task is recorded; the worker may forget it. */
	| { readonly type: 'delete-task'; readonly taskId: string; readonly host: string }
	/** For the stream of work snapshots. */
	| { readonly type: 'append-snapshot'; readonly value: string };
