/** Identity of one daemon process on one entry host. */
export interface DaemonIdentity {
	readonly entryHost: string;
	/** Random identifier of one daemon process, new on every start. */
	readonly incarnation: string;
}

/** State of a daemon's view of the control stream, sent with every lease message. */
export interface ViewReport {
	/** Offset of the last record that the daemon has applied. */
	readonly configurationOffset: number;
	/** Time in milliseconds since this offset was last confirmed as the end of the stream. */
	readonly viewAgeMs: number;
	/** Whether the daemon's own last read of the log succeeded. */
	readonly logReadable: boolean;
}

/** Parameters of `lease.request`, which requests or renews a voter's promise. */
export interface LeaseRequest extends DaemonIdentity {
	readonly cell: string;
	readonly term: number;
	readonly entrySetOffset: number;
	readonly view: ViewReport;
}

/** Reason why a voter refused a promise. */
export type LeaseDenial =
	/** A promise to another holder is still valid. */
	| 'promised-to-other'
	/** The term is not above the highest that the voter has seen. */
	| 'term-too-low'
	/** A promise made by the voter's previous incarnation may still be valid. */
	| 'starting'
	/** The two daemons have applied different sets of entry hosts. */
	| 'other-entry-set';

/** Result of `lease.request`. */
export interface LeaseResponse {
	readonly cell: string;
	/** Entry host of the voter. */
	readonly voter: string;
	/** Term of the request. */
	readonly term: number;
	readonly promised: boolean;
	readonly denial?: LeaseDenial | undefined;
	/** Highest term that the voter has seen for the cell. */
	readonly highestTerm: number;
	/** Entry host that holds the voter's valid promise, if any. */
	readonly holder?: string | undefined;
	readonly view: ViewReport;
}

/** Parameters of `lease.release`, by which a holder or a candidate releases a voter's promise. */
export interface LeaseRelease extends DaemonIdentity {
	readonly cell: string;
	readonly term: number;
	/** Whether the term never reached a majority, in which case the voter discards the term. */
	readonly unused: boolean;
}

/** Duration of a promise, measured by the voter from its response and by the holder from its request. */
export const PROMISE_DURATION_MS = 1_500;

/** Fraction by which promise times are corrected, because two clocks may run at different rates. */
export const CLOCK_DRIFT_MARGIN = 0.02;

/** Interval between two lease renewals. */
export const RENEWAL_INTERVAL_MS = 500;

/** Upper bound of the random delay before a candidature, which makes simultaneous candidatures rare. */
export const MAX_CANDIDATE_DELAY_MS = 300;

/** Maximum age of a confirmed view at which a daemon still accepts new work. */
export const MAX_VIEW_AGE_MS = 4_000;

/** Time for which a peer's report remains valid. */
export const PEER_REPORT_VALIDITY_MS = 2_000;

/**
 * Grace period in which daemons keep accepting work after a log outage ends. The first daemon reads the log again up
 * to 1 s before the others retry. Together with the 2 s validity of a report and the 1 s retry, a record takes effect
 * within 4.5 s of becoming readable, which is below the limit of 5 s.
 */
export const LOG_RECOVERY_GRACE_MS = 1_500;
