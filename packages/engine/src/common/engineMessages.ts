import type { JobSpec, JobState } from '@chestnutwheel/ports/common/jobSpec.js';
import type { WorkerAddress } from '@chestnutwheel/ports/common/workerService.js';
import type { HostAction, JournalEvent } from './jobs/journalEvent.js';

/** Times and bounds of the engine, in milliseconds. The platform's settings give the ones that it enforces. */
export interface EngineSettings {
	/** Lease that each look at a worker extends. */
	readonly leaseMs: number;
	/** Longest lease that a worker grants to anybody. */
	readonly longestLeaseMs: number;
	/** Time that a start has to arrive, on the worker's clock. */
	readonly startWindowMs: number;
	/** How long a leader may extend leases after it was last sure to lead. */
	readonly validMs: number;
	/** Time within which two leaders must not both order the same host about; stated by the platform. */
	readonly hostLeaseMs: number;
	/** How long the state of an ended job is answered. */
	readonly stateKeptMs: number;
	/** Age after which the first record of an open job is written again. */
	readonly rewriteAfterMs: number;
	/** How long a worker's entry may be missing before nobody expects it back. */
	readonly goneAfterMs: number;
	/** Open jobs beyond this are refused. */
	readonly maximumOpenJobs: number;
}

/** Asks the runtime for something. Those with a batch wait until the journal has stored it. */
export type EngineEffect =
	/** Look at the worker again and again, until `unwatch`. */
	| { readonly type: 'watch'; readonly workerKey: string; readonly address: WorkerAddress }
	| { readonly type: 'unwatch'; readonly workerKey: string; readonly address: string | undefined }
	| {
			readonly type: 'start';
			readonly workerKey: string;
			readonly task: string;
			readonly run: number;
			readonly payload: string;
			readonly checkpoint: string;
			readonly ticket: string | undefined;
	  }
	| { readonly type: 'stop'; readonly workerKey: string; readonly task: string; readonly run: number }
	| {
			readonly type: 'pace';
			readonly workerKey: string;
			readonly task: string;
			readonly run: number;
			readonly percent: number;
	  }
	/** Ask the advice service which of the workers may run a step. */
	| { readonly type: 'advise'; readonly step: string; readonly workers: readonly string[] }
	/** Order a host about; only while the daemon is sure to lead. */
	| { readonly type: 'host-order'; readonly host: string; readonly action: HostAction }
	/** Read the list of hosts. */
	| { readonly type: 'list-hosts' }
	/** Tell the operator how far a wave is. */
	| { readonly type: 'report-wave'; readonly wave: number; readonly state: 'running' | 'done' }
	/** Another daemon leads; nothing may be ordered any more. */
	| { readonly type: 'deposed'; readonly reason: string };

/** What the engine wants done since it was asked last. */
export interface EngineOutput {
	/** Events for the journal, as one batch; empty when nothing has to be kept. */
	readonly events: readonly JournalEvent[];
	/** Number of the batch; rises by one with each output that has events. */
	readonly batch: number;
	/** Effects that wait until the batch is stored. */
	readonly effectsWhenStored: readonly EngineEffect[];
	readonly immediateEffects: readonly EngineEffect[];
}

/** A job as a caller hands it in. */
export interface Submission {
	readonly id: string;
	readonly queue: string;
	readonly team: string | undefined;
	readonly spec: JobSpec;
	/** Version of the plan by which the caller's daemon let it in. */
	readonly planVersion: number;
}

/** Why a job is refused. None of these jobs ever runs, unless it is handed in again. */
export type SubmitRefusal = 'unknown-queue' | 'bad-request' | 'overloaded' | 'not-ready' | 'request-key-used';

/** What becomes of a submission; `batch` must be stored before the caller hears of it. */
export type SubmitDecision =
	| { readonly type: 'accepted'; readonly batch: number }
	| { readonly type: 'refused'; readonly kind: SubmitRefusal; readonly reason: string; readonly retryAfterMs: number };

/** What becomes of a cancellation. */
export type CancelDecision = { readonly type: 'cancelled'; readonly batch: number } | { readonly type: 'unknown-job' };

/** What callers learn about a job. */
export type StateDecision = { readonly type: 'state'; readonly state: JobState } | { readonly type: 'unknown-job' };

/** Where the engine writes why it decided something. */
export type DecisionLogger = (decision: string, fields: Readonly<Record<string, unknown>>) => void;
