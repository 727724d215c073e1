/** States of a long job. */
export type JobState = 'waiting' | 'running' | 'finished' | 'failed' | 'cancelled' | 'outcome-unknown';

/** What a caller asks for with a long job. */
export interface JobRequest {
	readonly jobId: string;
	readonly team: string;
	readonly keyId: string;
	readonly queue: string;
	/** At most 64 KiB. */
	readonly payload: string;
	readonly repeatable: boolean;
}

/** A request that may not be repeated, as it is recorded before its start. */
export interface RequestStart {
	readonly team: string;
	readonly requestKey: string;
	readonly requestId: string;
	/** Time from the record until the key may be forgotten; becomes a deadline where it is folded. */
	readonly keepMs: number;
}

/** Records of a cell's work stream, `work-<cell>`. Every record carries the term of the leader that wrote it. */
export type WorkRecord = { readonly version: 1; readonly term: number } & (
	| { readonly type: 'term-opened'; readonly leader: string }
	| { readonly type: 'requests-started'; readonly starts: readonly RequestStart[] }
	| { readonly type: 'requests-ended'; readonly ends: readonly RequestEnd[] }
	| { readonly type: 'job-accepted'; readonly job: JobRequest }
	| { readonly type: 'job-started'; readonly jobId: string; readonly taskId: string; readonly host: string }
	| { readonly type: 'job-checkpointed'; readonly jobId: string; readonly taskId: string; readonly checkpoint: string }
	| { readonly type: 'job-finished'; readonly jobId: string; readonly taskId: string; readonly result: string }
	| {
			readonly type: 'job-attempt-failed';
			readonly jobId: string;
			readonly taskId: string;
			readonly host: string;
			readonly rack: string;
			readonly reason: string;
	  }
	| { readonly type: 'job-failed'; readonly jobId: string; readonly reason: string }
	| { readonly type: 'job-cancelled'; readonly jobId: string }
	| { readonly type: 'job-outcome-unknown'; readonly jobId: string; readonly reason: string }
);

/** What is known of a request that may not be repeated, once it has ended. */
export interface RequestEnd {
	readonly team: string;
	readonly requestKey: string;
	/** The request that ended; a delayed record must not end a later request with the same key. */
	readonly requestId: string;
	readonly outcome: 'ran' | 'not-run' | 'unknown';
}
