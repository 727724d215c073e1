/** Tunable rules of the dispatcher. The experiment switches each of them off in turn. */
export interface DispatchPolicy {
	/** Fraction of the slots of a pool that research leaves free. */
	readonly headroomFraction: number;
	/** Whether research jobs are checkpointed for urgent requests. */
	readonly checkpoints: boolean;
	/** Whether queues may use the spare pools that they list. */
	readonly lending: boolean;
	/** Load that a failure rate of 1 adds to a worker, in slots. */
	readonly failureLoad: number;
	/** Whether failing workers are set aside. */
	readonly setAside: boolean;
	/** Whether idle spare hosts are moved to pools that stay full. */
	readonly hostMoves: boolean;
	/** Credit of a team that starts to compete, in milliseconds of its share. */
	readonly creditMs: number;
	/** Largest lead of a competing team over the least one that is remembered, in milliseconds of its share. */
	readonly debtMs: number;
	/** Time for which running work is charged ahead when teams are compared. */
	readonly projectionMs: number;
	/** Lead up to which urgent work goes before other classes, in milliseconds of the team's share. */
	readonly urgentAdvanceMs: number;
	/** Whose lead that is: the lead of all work of the team, or of its urgent work alone. */
	readonly urgentBound: 'team-lead' | 'urgent-lead';
}

/** The rules in force; docs/scheduling.md has the measurements behind them. */
export const defaultDispatchPolicy: DispatchPolicy = {
	headroomFraction: 0,
	checkpoints: true,
	lending: true,
	failureLoad: 8,
	setAside: true,
	hostMoves: true,
	creditMs: 1_000,
	debtMs: 10_000,
	projectionMs: 2_000,
	urgentAdvanceMs: 2_000,
	urgentBound: 'urgent-lead',
};

/** Longest time that a short request may run, and so the longest time that a worker stays in doubt. */
export const LONGEST_REQUEST_MS = 60_000;

/** Lease of a job on its worker; the leader renews it every 5 s. */
export const JOB_LEASE_MS = 15_000;

/** Largest difference between the rates of two monotonic clocks. */
export const CLOCK_RATE_MARGIN = 0.001;

/** Time between the grant and the latest start; a shorter window frees lost grants sooner. */
export const START_WINDOW_MS = 1_000;

/** A permit with less time than this to reach the worker is not worth sending. */
export const SHORTEST_START_WINDOW_MS = 20;

/** Added to the computed end of a task before its slot counts as free. */
export const END_MARGIN_MS = 250;
