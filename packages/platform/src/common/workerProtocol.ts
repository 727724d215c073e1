/** Why a worker refused to start a task. Each value proves that the task did not start. */
export type NotStartedReason =
	'stale-term' | 'wrong-boot' | 'start-by-passed' | 'slots-full' | 'connections-full' | 'draining' | 'unknown-queue';

/** What a worker says about one task that runs on it. */
export interface RunningTask {
	readonly taskId: string;
	readonly team: string;
	readonly queue: string;
	readonly kind: 'request' | 'job';
	/** Term of the leader that granted the task. */
	readonly term: number;
}

/** Answer of `GET /worker/status` and `POST /worker/fence`. */
export interface WorkerStatus {
	readonly host: string;
	/** Changes with every start of the worker. */
	readonly boot: string;
	/** The worker's monotonic clock, in milliseconds. */
	readonly clockMs: number;
	readonly slots: number;
	readonly draining: boolean;
	/** The highest term that the worker has been fenced with or has seen in a start, by cell. */
	readonly terms: Readonly<Record<string, number>>;
	readonly running: readonly RunningTask[];
}

/** What every start carries; the worker refuses a start that does not fit. */
export interface StartPermit {
	readonly taskId: string;
	readonly cell: string;
	readonly team: string;
	readonly queue: string;
	readonly term: number;
	readonly boot: string;
	/** Reading of the worker's own monotonic clock after which the task may not start. */
	readonly startByMs: number;
	/** How long the task may run; counted by the worker from the start. */
	readonly leaseMs: number;
}

/** States of a long task on a worker. */
export type WorkerJobState = 'running' | 'finished' | 'failed' | 'stopped' | 'lease-lapsed';

/** Answer of `GET /worker/jobs/{taskId}`. */
export interface WorkerJobStatus {
	readonly taskId: string;
	readonly state: WorkerJobState;
	/** Result of a finished job. */
	readonly result?: string | undefined;
	/** Error text of a failed job. */
	readonly error?: string | undefined;
	/** Last checkpoint taken, opaque to the system. */
	readonly checkpoint?: string | undefined;
}

/** Body of `POST /worker/jobs`. */
export interface JobStart {
	readonly permit: StartPermit;
	readonly payload: string;
	/** Checkpoint to go on from. */
	readonly checkpoint?: string | undefined;
}

/** Names of the headers of a request to an endpoint (`POST /endpoint/{queue}`) and of its answer. */
export const endpointHeaders = {
	taskId: 'x-task-id',
	cell: 'x-cell',
	team: 'x-team',
	term: 'x-term',
	boot: 'x-boot',
	startBy: 'x-start-by',
	lease: 'x-lease-ms',
	/** In a refusal with status 409: the {@link NotStartedReason}. */
	notStarted: 'x-not-started',
} as const;

/** One usage report of a worker, `GET /worker/usage`; it lags. */
export interface WorkerUsage {
	readonly host: string;
	/** Slot-milliseconds used by team since the boot, as of some time ago. */
	readonly slotMsByTeam: Readonly<Record<string, number>>;
	readonly lagMs: number;
}
