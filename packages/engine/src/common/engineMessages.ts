import type { JobSpec, JobState } from '@chestnutwheel/ports/common/jobSpec.js';
import type { WorkerAddress } from '@chestnutwheel/ports/common/workerService.js';
import type { HostAction, JournalEvent } from './jobs/journalEvent.js';

/** Time-outs (in milliseconds) and limits of the engine. Those that the platform enforces come from its settings. */
export interface EngineSettings {
	/** Duration of the lease that each poll of a worker renews. */
	readonly leaseMs: number;
	/** Longest lease that a worker grants to any leader. */
	readonly longestLeaseMs: number;
	/** Time within which a start order must reach the worker, measured on the worker's clock. */
	readonly startWindowMs: number;
	/** Time for which a leader may renew leases after its leadership was last confirmed. */
	readonly validMs: number;
	/** Longest time for which a run that was ordered to stop continues; specified by the platform. */
	readonly stopMs: number;
	/** Time within which two leaders must not both send orders for the same host; specified by the platform. */
	readonly hostLeaseMs: number;
	/** Retention period of the state of an ended job. */
	readonly stateKeptMs: number;
	/** Age after which the first record of an open job is rewritten, so that older records can be trimmed. */
	readonly rewriteAfterMs: number;
	/** Time after which a worker whose entry is missing is considered gone for good. */
	readonly goneAfterMs: number;
	/** Size of the largest record that the journal stores, in bytes. A job that does not fit into one is refused. */
	readonly recordBytes: number;
	/** Number of open jobs at which further jobs are refused. */
	readonly maximumOpenJobs: number;
	/**
	 * How many times as long a task takes away from the rack of its data, and a gang on more than one rack; specified by the
	 * platform.
	 */
	readonly farFactor: number;
}

/** An action that the runtime carries out for the engine, immediately or once the journal has stored a batch. */
export type EngineEffect =
	/** Poll the worker repeatedly until `unwatch`. */
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
	| {
			readonly type: 'stop';
			readonly workerKey: string;
			readonly task: string;
			readonly run: number;
			/** Whether an earlier order may have reached the worker, so that this one is sent only if the run may still be stopped. */
			readonly isRepeat: boolean;
	  }
	| {
			readonly type: 'pace';
			readonly workerKey: string;
			readonly task: string;
			readonly run: number;
			readonly percent: number;
	  }
	/** Ask the advice service which of the workers may run a step. */
	| { readonly type: 'advise'; readonly step: string; readonly workers: readonly string[] }
	/** Send an order for a host, only while leadership is confirmed. */
	| { readonly type: 'host-order'; readonly host: string; readonly action: HostAction }
	/** Read the list of hosts. */
	| { readonly type: 'list-hosts' }
	/** Report the progress of a wave to the operator. */
	| { readonly type: 'report-wave'; readonly wave: number; readonly state: 'running' | 'done' }
	/** Another daemon leads; no more orders may be sent. */
	| { readonly type: 'deposed'; readonly reason: string };

/** Events and effects that the engine has produced since its output was last taken. */
export interface EngineOutput {
	/** Events to append to the journal as one batch; empty when there is nothing to store. */
	readonly events: readonly JournalEvent[];
	/** Sequence number of the batch; increases by one with each output that contains events. */
	readonly batch: number;
	/** Effects to carry out once the journal has stored the batch. */
	readonly effectsWhenStored: readonly EngineEffect[];
	/** Effects to carry out without waiting for the journal. */
	readonly immediateEffects: readonly EngineEffect[];
}

/** A job as a caller submits it. */
export interface Submission {
	readonly id: string;
	readonly queue: string;
	readonly team: string | undefined;
	readonly spec: JobSpec;
	/** Version of the fleet plan by which the caller's daemon admitted the job. */
	readonly planVersion: number;
}

/** Reason why a job is refused. A refused job never runs unless it is submitted again. */
export type SubmitRefusal =
	'unknown-queue' | 'bad-request' | 'overloaded' | 'not-ready' | 'log-unavailable' | 'request-key-used';

/** Outcome of a submission. The caller may be answered only after `batch` is stored. */
export type SubmitDecision =
	| { readonly type: 'accepted'; readonly batch: number }
	| { readonly type: 'refused'; readonly kind: SubmitRefusal; readonly reason: string; readonly retryAfterMs: number };

/** Outcome of a cancellation. The caller may be answered only after `batch` is stored. */
export type CancelDecision =
	| { readonly type: 'cancelled'; readonly batch: number }
	/** No such job is known. A submission of it that arrives later is cancelled. */
	| { readonly type: 'unknown-job'; readonly batch: number };

/** State of a job as reported to callers. */
export type StateDecision = { readonly type: 'state'; readonly state: JobState } | { readonly type: 'unknown-job' };

/** Writes a line to the decision log: the name of a decision, and the facts that led to it. */
export type DecisionLogger = (decision: string, fields: Readonly<Record<string, unknown>>) => void;
