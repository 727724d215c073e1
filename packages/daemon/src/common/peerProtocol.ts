import type { BurnPart } from '@chestnutwheel/burn/common/burnRecorder.js';
import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import type { CellStatus, ExplainAnswer, JobStatus } from '@chestnutwheel/configuration/common/operatorProtocol.js';
import type { AttemptOutcome, Grant, WorkClass } from '@chestnutwheel/dispatch/common/dispatchMessages.js';
import type {
	LeaseRelease,
	LeaseRequest,
	LeaseResponse,
	ViewReport,
} from '@chestnutwheel/membership/common/leaseMessages.js';
import type { LogRecord } from '@chestnutwheel/platform/common/logProtocol.js';
import type { JobRequest, JobState } from '@chestnutwheel/work/common/workRecord.js';

/** Marks a request that may not be repeated. */
export interface OnlyOnce {
	/** Chosen by the caller. */
	readonly requestKey: string;
	/** The same for all placements of one caller's request, so that they share one record. */
	readonly callerRequestId: string;
}

/** Asks the leader of a cell to place a request. Asking again with the same id is idempotent. */
export interface WorkRequest {
	readonly requestId: string;
	readonly entryHost: string;
	readonly cell: string;
	readonly team?: string | undefined;
	readonly keyId?: string | undefined;
	readonly queue: string;
	readonly class: WorkClass;
	/** Present when the request may not be repeated. */
	readonly onlyOnce?: OnlyOnce | undefined;
	/** Time left until the request's deadline. */
	readonly remainingMs: number;
	readonly avoidHosts: readonly string[];
}

/** Answer to a {@link WorkRequest}, given within {@link WAIT_SLICE_MS}. */
export type WorkResponse =
	| { readonly state: 'waiting' }
	| { readonly state: 'granted'; readonly grant: Grant }
	| { readonly state: 'refused'; readonly kind: ErrorKind; readonly reason: string };

/** The end of one attempt. */
export interface FinishedAttempt {
	readonly grantId: string;
	/** Host on which the attempt ran. */
	readonly host: string;
	readonly outcome: AttemptOutcome;
	/** Present when the request may not be repeated. */
	readonly onlyOnce?: OnlyOnce | undefined;
	readonly team?: string | undefined;
	/** Whether this attempt ends the request as a whole. */
	readonly final: boolean;
}

/** A long job as peers and callers see it. */
export interface JobView {
	readonly jobId: string;
	readonly team: string;
	readonly queue: string;
	readonly state: JobState;
	readonly reason?: string | undefined;
	readonly result?: string | undefined;
}

/** Outcome of a job call: the job, or an error of the closed list. */
export type JobResponse =
	| { readonly ok: true; readonly job: JobView }
	| { readonly ok: false; readonly kind: ErrorKind; readonly reason: string };

/** Methods between daemons, with their parameters and results. */
export interface PeerMethods {
	'lease.request': { parameters: LeaseRequest; result: LeaseResponse };
	'lease.release': { parameters: LeaseRelease; result: object };
	'control.status': { parameters: object; result: PeerStatus };
	'control.read': { parameters: { from: number }; result: { records: readonly LogRecord[] } };
	'control.snapshot': { parameters: object; result: { snapshot?: string | undefined } };
	'work.request': { parameters: WorkRequest; result: WorkResponse };
	'work.cancel': {
		parameters: { cell: string; requestId: string; onlyOnce?: OnlyOnce | undefined };
		result: object;
	};
	'work.finish': {
		parameters: { cell: string; attempts: readonly FinishedAttempt[] };
		result: { acknowledged: readonly string[] };
	};
	'work.held': { parameters: { cell: string; term: number }; result: { grants: readonly Grant[] } };
	'job.submit': { parameters: { cell: string; job: JobRequest; remainingMs: number }; result: JobResponse };
	'job.get': { parameters: { cell: string; team: string; jobId: string }; result: JobResponse };
	'job.cancel': { parameters: { cell: string; team: string; jobId: string }; result: JobResponse };
	'operator.cell': {
		parameters: { cell: string };
		result: { overview?: CellStatus | undefined; jobs: readonly JobStatus[] };
	};
	'operator.explain': { parameters: { subject: string }; result: ExplainAnswer };
	'operator.burn': { parameters: object; result: { part: BurnPart } };
}

/** Names of the methods between daemons. */
export type PeerMethod = keyof PeerMethods;

/** What a daemon says about itself. */
export interface PeerStatus {
	readonly entryHost: string;
	readonly ready: boolean;
	readonly view: ViewReport;
}

/** The leader answers a placement request within this time, so that a silent connection shows. */
export const WAIT_SLICE_MS = 800;

/** A call between daemons that is unanswered for this long has lost its connection. */
export const PEER_CALL_TIMEOUT_MS = 1_500;
