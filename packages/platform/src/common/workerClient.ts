import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import type {
	JobStart,
	NotStartedReason,
	StartPermit,
	WorkerJobStatus,
	WorkerStatus,
	WorkerUsage,
} from './workerProtocol.js';

/** Error kinds of an attempt of which bytes were sent and whose end is not known. */
export type UnknownAttemptKind = Extract<
	ErrorKind,
	| 'endpoint-failed'
	| 'endpoint-silent'
	| 'answer-truncated'
	| 'answer-mismatched'
	| 'answer-too-large'
	| 'cancelled-running'
	| 'deadline-exceeded'
>;

/** Proof that an attempt did not start: the worker's own reason, or that no byte was sent. */
export interface NotStarted {
	readonly type: 'not-started';
	readonly reason: NotStartedReason | 'not-sent';
	/** What the transport reported, when no byte was sent. */
	readonly message?: string | undefined;
}

/** The attempt may have run, in whole or in part. */
export interface UnknownAttempt {
	readonly type: 'unknown';
	readonly kind: UnknownAttemptKind;
	readonly message: string;
}

/** The whole answer of an endpoint, with the right task identifier. */
export interface EndpointAnswer {
	readonly type: 'answer';
	readonly status: number;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
}

/** How one attempt of a request ended. */
export type RequestAttempt = EndpointAnswer | NotStarted | UnknownAttempt;

/** How the start of a job ended. */
export type JobStartAttempt = { readonly type: 'started' } | NotStarted | UnknownAttempt;

/** Options of {@link WorkerClient.runRequest}. */
export interface RunRequestOptions {
	readonly contentType: string;
	/** Milliseconds that remain until the deadline of the request. */
	readonly deadline: number;
	readonly signal?: AbortSignal | undefined;
}

/** A renewal of a job's lease by the leader that holds `term`. */
export interface JobRenewal {
	readonly cell: string;
	readonly term: number;
	/** New length of the lease, counted by the worker from the arrival of the renewal. */
	readonly leaseMs: number;
}

/**
 * Client of the workers. Every call names the address of the worker, as `http://IP:port`, and ends by its own deadline.
 * All calls but `runRequest` and `startJob` throw `platform-unreachable` when no usable answer came.
 */
export interface WorkerClient {
	status(address: string, signal?: AbortSignal): Promise<WorkerStatus>;
	/** Raises the worker's term of a cell. The answer holds the highest term, which may be another leader's. */
	fence(address: string, cell: string, term: number, signal?: AbortSignal): Promise<WorkerStatus>;
	/** Runs one attempt of a request. Never throws. */
	runRequest(
		address: string,
		permit: StartPermit,
		body: Uint8Array,
		options: RunRequestOptions,
	): Promise<RequestAttempt>;
	/** Starts a job. Never throws. A second start of a job that the worker knows answers `started`. */
	startJob(address: string, start: JobStart, signal?: AbortSignal): Promise<JobStartAttempt>;
	/**
	 * Renews the lease of a running job.
	 * @returns the job's state; `undefined` when the worker does not know the job or refused the term
	 */
	renewJob(
		address: string,
		taskId: string,
		renewal: JobRenewal,
		signal?: AbortSignal,
	): Promise<WorkerJobStatus | undefined>;
	/** @returns `undefined` when the worker does not know the job */
	jobStatus(address: string, taskId: string, signal?: AbortSignal): Promise<WorkerJobStatus | undefined>;
	/** Takes a checkpoint, which the returned status carries; the job goes on. */
	checkpointJob(address: string, taskId: string, signal?: AbortSignal): Promise<WorkerJobStatus | undefined>;
	/** Sets the speed of a job. @param fraction of full speed, above 0 and up to 1 */
	throttleJob(
		address: string,
		taskId: string,
		fraction: number,
		signal?: AbortSignal,
	): Promise<WorkerJobStatus | undefined>;
	/** Stops a job; the slot is free when the returned state is not `running`. */
	stopJob(address: string, taskId: string, signal?: AbortSignal): Promise<WorkerJobStatus | undefined>;
	/** Lets the worker forget a job that has ended, once its result is recorded. */
	deleteJob(address: string, taskId: string, signal?: AbortSignal): Promise<void>;
	/** Makes the worker refuse new starts. @param boot the boot that is meant; another one is refused */
	drain(address: string, boot: string, signal?: AbortSignal): Promise<WorkerCommandAnswer>;
	/** Ends a drain. */
	resume(address: string, boot: string, signal?: AbortSignal): Promise<WorkerCommandAnswer>;
	/** Reboots the host, which drops everything that runs there. */
	reboot(address: string, boot: string, signal?: AbortSignal): Promise<WorkerCommandAnswer>;
	usage(address: string, signal?: AbortSignal): Promise<WorkerUsage>;
	/** Closes all connections. */
	close(): Promise<void>;
}

/** `wrong-boot` means that the worker has restarted since, and that the command changed nothing. */
export type WorkerCommandAnswer =
	| { readonly type: 'done'; readonly status: WorkerStatus }
	| { readonly type: 'refused'; readonly reason: 'wrong-boot' };
