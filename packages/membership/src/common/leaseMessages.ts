/** Identity of one daemon process on one entry host. */
export interface DaemonIdentity {
	readonly entryHost: string;
	/** Random text that changes with every start of the daemon. */
	readonly incarnation: string;
}

/** What a daemon tells about its view of the control stream; travels with every lease message. */
export interface ViewReport {
	/** Offset of the last record folded. */
	readonly configurationOffset: number;
	/** Age of the last confirmation that this offset was the end of the stream. */
	readonly viewAgeMs: number;
	/** Whether the daemon's own last read of the log worked. */
	readonly logReadable: boolean;
}

/** Parameters of `lease.request`: asks a voter for a promise, and renews one. */
export interface LeaseRequest extends DaemonIdentity {
	readonly cell: string;
	readonly term: number;
	readonly entrySetOffset: number;
	readonly view: ViewReport;
}

/** Why a voter did not promise. */
export type LeaseDenial =
	/** Promised to another holder until later. */
	| 'promised-to-other'
	/** The term is not above the highest that the voter has seen. */
	| 'term-too-low'
	/** The voter has started too recently to know what its predecessor promised. */
	| 'starting'
	/** The two daemons have folded different sets of entry hosts. */
	| 'other-entry-set';

/** Result of `lease.request`. */
export interface LeaseResponse {
	readonly cell: string;
	/** Entry host of the voter. */
	readonly voter: string;
	/** The term that was asked for. */
	readonly term: number;
	readonly promised: boolean;
	readonly denial?: LeaseDenial | undefined;
	/** Highest term that the voter has seen for the cell. */
	readonly highestTerm: number;
	/** Entry host that holds the voter's promise, if any. */
	readonly holder?: string | undefined;
	readonly view: ViewReport;
}

/** Parameters of `lease.release`: the holder gives the lease up. */
export interface LeaseRelease extends DaemonIdentity {
	readonly cell: string;
	readonly term: number;
	/** The term never had a majority, so that the voter may forget it. */
	readonly unused: boolean;
}

/** Length of a promise, counted by the voter from its answer and by the holder from its request. */
export const PROMISE_DURATION_MS = 1_500;

/** Part of a promise that the holder gives up, since two clocks may run at different rates. */
export const CLOCK_DRIFT_MARGIN = 0.02;

/** Time between two renewals. */
export const RENEWAL_INTERVAL_MS = 500;

/** Upper bound of the random delay before a candidate asks, so that candidates rarely collide. */
export const MAX_CANDIDATE_DELAY_MS = 300;

/** New work is taken only while the view is confirmed and not older than this. */
export const MAX_VIEW_AGE_MS = 4_000;

/** A report of a peer counts for this long. */
export const PEER_REPORT_VALIDITY_MS = 2_000;

/**
 * After an outage of the log one daemon reads it first, and the others need up to a second for their next try. They
 * serve for this long without a refusal. With the 2 s of a report and the second of a retry a record is obeyed 4.5 s
 * after it became readable, which is within the bound of 5 s.
 */
export const LOG_RECOVERY_GRACE_MS = 1_500;
