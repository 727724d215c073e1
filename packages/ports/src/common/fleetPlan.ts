import type { Resources } from './resources.js';

/** Rules of an outside service that says which workers may run a step. */
export interface AdvicePlan {
	/** Time that the service takes for one question, in milliseconds. */
	readonly decideMs: number;
	/** Time that it takes for each worker named, in milliseconds. */
	readonly eachMs: number;
	/** How long a ticket is good, in milliseconds. */
	readonly validMs: number;
}

/** Where callers hand in jobs. */
export interface QueuePlan {
	readonly name: string;
	readonly host: string;
	readonly pathPrefix: string;
	/** The pool whose workers run the queue's tasks. */
	readonly pool: string;
	/** 0 comes first and may preempt the others. */
	readonly priority: number;
	/** Failed runs of one task after which its job fails. */
	readonly attempts: number;
	/** The objective of a job is this factor times its longest chain of work, and `objectiveMs` more. */
	readonly objectiveFactor: number;
	readonly objectiveMs: number;
	/** Open queues take jobs without a key. */
	readonly isOpen: boolean;
	readonly advice: AdvicePlan | undefined;
}

/** A set of hosts that run the same queues. */
export interface PoolPlan {
	readonly name: string;
	/** The hosts of a standby pool are switched off. */
	readonly isStandby: boolean;
	/** Whether the workers refuse what does not fit into their room. */
	readonly guardsRoom: boolean;
}

/** A customer's team. */
export interface TeamPlan {
	readonly name: string;
	readonly keys: readonly string[];
	/** Share of a full fleet, in proportion to the other weights. */
	readonly weight: number;
	/** What the team may have running over all workers; 0 in a dimension means no limit. */
	readonly cap: Resources;
}

/** Bounds of the callers' connections. */
export interface CallerLimits {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
}

/** What the operator wants of the fleet, in full. */
export interface FleetPlan {
	/** Rises with every change, in uneven steps. */
	readonly version: number;
	readonly queues: readonly QueuePlan[];
	readonly pools: readonly PoolPlan[];
	readonly teams: readonly TeamPlan[];
	readonly limits: CallerLimits;
}

/** A request of the operator that hosts be taken down for upkeep, each once. */
export interface MaintenanceWave {
	readonly wave: number;
	readonly hosts: readonly string[];
	/** Time in which the wave should be done, in milliseconds. */
	readonly durationMs: number;
	/** Most hosts of the wave that may be down at once. */
	readonly maximumDown: number;
}
