import type { Resources } from './resources.js';

/** Parameters of the external advice service, which decides which workers may run a step. */
export interface AdvicePlan {
	/** Fixed time that the service takes for one request, in milliseconds. */
	readonly decideMs: number;
	/** Additional time for each worker in the request, in milliseconds. */
	readonly eachMs: number;
	/** Validity of a ticket, in milliseconds. */
	readonly validMs: number;
}

/** A queue to which callers submit jobs. */
export interface QueuePlan {
	readonly name: string;
	readonly host: string;
	readonly pathPrefix: string;
	/** The pool whose workers run the queue's tasks. */
	readonly pool: string;
	/** Scheduling priority. 0 is the highest and may preempt the others. */
	readonly priority: number;
	/** Number of failed runs of one task after which its job fails. */
	readonly attempts: number;
	/** The completion time objective of a job is this factor times its critical path, plus `objectiveMs`. */
	readonly objectiveFactor: number;
	readonly objectiveMs: number;
	/** Whether the queue accepts jobs without an API key. */
	readonly isOpen: boolean;
	readonly advice: AdvicePlan | undefined;
}

/** A set of hosts that run the same queues. */
export interface PoolPlan {
	readonly name: string;
	/** Whether the hosts of the pool are switched off. */
	readonly isStandby: boolean;
	/** Whether the workers refuse tasks that exceed their free resources. */
	readonly guardsRoom: boolean;
}

/** A team of a customer, with its API keys and its share of the fleet. */
export interface TeamPlan {
	readonly name: string;
	readonly keys: readonly string[];
	/** Share of a fully loaded fleet, in proportion to the weights of the other teams. */
	readonly weight: number;
	/** Most resources that running tasks of the team may use over all workers; 0 in a dimension means no limit. */
	readonly cap: Resources;
}

/** Size and time limits of connections from callers. */
export interface CallerLimits {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
}

/** Complete desired state of the fleet, as set by the operator. */
export interface FleetPlan {
	/** Version number; it increases with every change, not necessarily by one. */
	readonly version: number;
	readonly queues: readonly QueuePlan[];
	readonly pools: readonly PoolPlan[];
	readonly teams: readonly TeamPlan[];
	readonly limits: CallerLimits;
}

/** A maintenance wave: the operator requests that each of these hosts is taken down for maintenance once. */
export interface MaintenanceWave {
	readonly wave: number;
	readonly hosts: readonly string[];
	/** Time within which the wave should complete, in milliseconds. */
	readonly durationMs: number;
	/** Most hosts of the wave that may be down at the same time. */
	readonly maximumDown: number;
}

/** The operator asks for the evacuation of a data centre, or takes it back: no task may start there while it is asked for. */
export interface EvacuationRequest {
	readonly dataCentre: string;
	/** Whether the evacuation is asked for; `false` once the operator has taken it back. */
	readonly isRequested: boolean;
}
