import type { EngineSettings } from '@chestnutwheel/engine/common/engineMessages.js';

/** `IP:port` to listen on. */
export interface ListenAddress {
	readonly host: string;
	readonly port: number;
}

/** Checked settings of one daemon. Times are in milliseconds. */
export interface CoordinatorSettings {
	/** Name of the entry host; unique among the daemons. */
	readonly entryHost: string;
	readonly dataCentre: string;
	/** Where the other daemons connect to. */
	readonly peerListen: ListenAddress;
	readonly engine: EngineSettings;
	readonly leadership: LeaderElectionSettings;
	/** Least time between two appends to the journal. */
	readonly appendEveryMs: number;
	/** Longest time that a look at a worker waits for an end. */
	readonly lookWaitMs: number;
	/** The same while tasks that end are at work there: an answer that is lost hides their ends for this long. */
	readonly busyLookWaitMs: number;
	/** Time from the signal to stop until the process is killed. */
	readonly graceMs: number;
	/** Decision lines written per second; the others are counted. */
	readonly logLinesPerSecond: number;
}

/** Times of the leader's election. */
export interface LeaderElectionSettings {
	/** Time between two signs of life of the leader to its followers. */
	readonly aliveEveryMs: number;
	/** Silence after which a follower doubts that the leader lives. */
	readonly silenceMs: number;
	/** Time that another daemon has to say whether it hears the leader. */
	readonly askPeersMs: number;
	/** Time between two records of the leader in the store. */
	readonly beatEveryMs: number;
	/** Standstill of these records after which a daemon that reaches no other one stands. */
	readonly standstillMs: number;
	/** Time without proof that the term still holds after which a leader gives it up. */
	readonly validMs: number;
	/** Time that this daemon leaves others to take a term that has no leader, since they have more processor time. */
	readonly standAfterMs: number;
	/** The same when there was no leader before; daemons that start together do not start at one moment. */
	readonly standFirstAfterMs: number;
}
