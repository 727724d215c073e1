import type { WorkerStatus } from '@chestnutwheel/platform/common/workerProtocol.js';
import type {
	FinishedAttempt,
	JobResponse,
	JobView,
	OnlyOnce,
	WorkRequest,
	WorkResponse,
} from '../../common/peerProtocol.js';
import type { JobRequest } from '@chestnutwheel/work/common/workRecord.js';
import type { DispatchTask } from './dispatchTask.js';

/** Owns the work stream of one cell: request keys and long jobs. */
export interface WorkTask {
	leading(term: number): void;
	notLeading(): void;
	/** Records the start of a request that may not be repeated. @returns `undefined` when it may start now */
	recordStart(
		request: WorkRequest,
		onlyOnce: OnlyOnce,
		deadline: number,
		waitUntil: number,
	): Promise<WorkResponse | undefined>;
	/** The placement was refused and nothing was started. */
	startRefused(request: WorkRequest, onlyOnce: OnlyOnce): void;
	requestEnded(attempt: FinishedAttempt): void;
	submit(job: JobRequest, deadline: number): Promise<JobResponse>;
	get(team: string, jobId: string): JobResponse;
	cancel(team: string, jobId: string): Promise<JobResponse>;
	jobs(): readonly JobView[];
	workerAnswered(host: string, status: WorkerStatus): void;
	checkpoint(grantId: string, reason: string): void;
	stop(grantId: string, host: string): void;
}

/** What the task needs. */
export interface WorkTaskOptions {
	readonly cell: string;
	readonly dispatch: DispatchTask;
}

const unavailable = { kind: 'log-unavailable', reason: 'the work stream is not written by this version' } as const;

/** Creates the task. */
export function createWorkTask(options: WorkTaskOptions, signal: AbortSignal): WorkTask {
	signal.throwIfAborted();
	const { cell } = options;
	return {
		leading: () => undefined,
		notLeading: () => undefined,
		recordStart: () => Promise.resolve({ state: 'refused', ...unavailable }),
		startRefused: () => undefined,
		requestEnded: () => undefined,
		submit: () => Promise.resolve({ ok: false, ...unavailable }),
		get: () => ({ ok: false, kind: 'unknown-job', reason: `no such job in ${cell}` }),
		cancel: () => Promise.resolve({ ok: false, kind: 'unknown-job', reason: `no such job in ${cell}` }),
		jobs: () => [],
		workerAnswered: () => undefined,
		checkpoint: () => undefined,
		stop: () => undefined,
	};
}
