import type { LogLimits } from '@chestnutwheel/ports/common/logService.js';
import type { EngineSettings } from '@chestnutwheel/engine/common/engineMessages.js';

/** IP address and port to listen on. */
export interface ListenAddress {
	readonly host: string;
	readonly port: number;
}

/** Validated settings of one daemon. Times are in milliseconds. */
export interface CoordinatorSettings {
	/** Name of the entry host, unique among the daemons. */
	readonly entryHost: string;
	readonly dataCentre: string;
	/** Address to which the other daemons connect. */
	readonly peerListen: ListenAddress;
	readonly engine: EngineSettings;
	readonly leadership: LeaderElectionSettings;
	/** Sizes that the store accepts. */
	readonly logLimits: LogLimits;
	/** Minimum interval between two appends to the journal. */
	readonly appendEveryMs: number;
	/** Long-poll time of a poll of a worker: the worker answers earlier when a run ends. */
	readonly lookWaitMs: number;
	/**
	 * Long-poll time while the worker executes runs other than service tasks. It is shorter, because a lost response delays
	 * the results of these runs by this time.
	 */
	readonly busyLookWaitMs: number;
	/** Number of followers from which on they make the calls of the leader to the workers. */
	readonly relayFromFollowers: number;
	/** Time from the termination signal until the process is killed. */
	readonly graceMs: number;
	/** Maximum number of decision lines written per second. Further lines are dropped and counted. */
	readonly logLinesPerSecond: number;
}

/** Intervals and timeouts of the leader election, in milliseconds. */
export interface LeaderElectionSettings {
	/** Interval between two heartbeats of the leader to its followers. */
	readonly aliveEveryMs: number;
	/** Time without contact after which a follower suspects that the leader has failed. */
	readonly silenceMs: number;
	/** Timeout of a query to a peer whether it has contact to the leader. */
	readonly askPeersMs: number;
	/** Interval between two renewals of the leader record in the store. */
	readonly beatEveryMs: number;
	/** Time without a renewed leader record after which a daemon that reaches no peer becomes a candidate. */
	readonly standstillMs: number;
	/** Time without confirmation of its term by the store after which a leader gives the term up. */
	readonly validMs: number;
	/** Delay before this daemon becomes a candidate; daemons with more processor time get a head start this way. */
	readonly standAfterMs: number;
	/** Candidacy delay when there was no leader before; it covers the spread in start-up time of the daemons. */
	readonly standFirstAfterMs: number;
}
