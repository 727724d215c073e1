import type {
	CancelDecision,
	StateDecision,
	SubmitDecision,
	Submission,
} from '@chestnutwheel/engine/common/engineMessages.js';
import type { FeedOutcome } from '@chestnutwheel/ports/common/feeds.js';
import type { FleetPlan, MaintenanceWave } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { AppendConditions, AppendOutcome, LogTopic } from '@chestnutwheel/ports/common/logService.js';
import type { WorkerEntry } from '@chestnutwheel/ports/common/workerService.js';
import type { EvacuationRecord } from './evacuationRequests.js';
import type { EncodedNewestOutcome, EncodedReadOutcome } from './relayCodec.js';
import type { NumberedCall, NumberedOutcome } from './workerCalls.js';

/** Identity of the leader, as daemons exchange it. */
export interface LeaderIdentity {
	/** Term of the leader: the offset of the record that began it, plus one. */
	readonly term: number;
	readonly entryHost: string;
	/** Address for peer connections, as `IP:port`. */
	readonly address: string;
}

/** Leader that decided a call, and how recently the store had confirmed its term when it answered. */
export interface DecidingLeader {
	readonly leader: string;
	readonly term: number;
	/** Time since the newest confirmation of the term by the store, in milliseconds. */
	readonly proofAgeMs: number;
}

/** Part of the response of a leader that identifies it. */
export interface Decided {
	/** Earlier versions do not send it. */
	readonly decidedBy?: DecidingLeader | undefined;
}

/** Response of a daemon that does not lead, or does not lead yet. */
export interface NotLeader {
	readonly type: 'not-leading';
	readonly leader: LeaderIdentity | undefined;
	/** Time for which the store has not served the takeover of the journal by this daemon, in milliseconds, if it does not. */
	readonly takeoverBlockedMs?: number | undefined;
	/** Whether an earlier leader may have stored the job that was submitted. The journal will show it. */
	readonly mayBeStored?: boolean | undefined;
}

/** Parameters of `job.submit`. */
export interface SubmitParameters extends Submission {
	/** Whether an earlier call of this submission got no answer, so that the job may be stored already. */
	readonly mayBeStored?: boolean | undefined;
	/**
	 * Term of the leader for which the call is meant. The same daemon may read it late, when it leads again in a later term, and
	 * another leader may have refused the job between. Earlier versions do not send it.
	 */
	readonly leaderTerm?: number | undefined;
}

/** Response of a leader whose fleet plan is older than that of the caller. The caller then sends its own plan. */
export interface StalePlan {
	readonly type: 'plan-behind';
	readonly version: number;
}

/** What a leader needs to know of a follower to choose its successor. */
export interface FollowerStatus {
	readonly entryHost: string;
	/** Whether the follower has the processor time to lead and is not about to stop. */
	readonly canLead: boolean;
	/** Time since the process of the follower started, in milliseconds. */
	readonly uptimeMs: number;
	/** Whether the follower makes calls to workers for the leader. Earlier versions do not, and say nothing. */
	readonly relaysWorkerCalls?: boolean | undefined;
	/** Monotonic clock of the follower's process, which the leader returns with calls. Earlier versions do not send it. */
	readonly clockMs?: number | undefined;
}

/** Methods of the peer protocol: JSON-RPC 2.0 in both directions of one TCP connection. */
export interface PeerMethods {
	/** Opens a session. `leader` is set only if the answering daemon leads itself. */
	'peer.hello': {
		readonly parameters: { readonly entryHost: string };
		readonly result: { readonly entryHost: string; readonly leader: LeaderIdentity | undefined };
	};
	/** Returns the leader that the peer knows and the time since its last contact to it. */
	'leader.heard': {
		readonly parameters: Record<string, never>;
		readonly result: { readonly leader: LeaderIdentity | undefined; readonly silentForMs: number };
	};
	/** Heartbeat of the leader. It also announces a new leader, and the resignation of one. */
	'leader.alive': {
		readonly parameters: {
			readonly leader: LeaderIdentity;
			readonly planVersion: number;
			readonly isResigning: boolean;
			/** End offset of the leader topic on a voluntary resignation, so that a successor need not read the store first. */
			readonly topicEnd?: number | undefined;
			/** Entry host that the resigning leader has chosen as its successor. The other daemons stand only after it. */
			readonly successor?: string | undefined;
		};
		readonly result: {
			readonly planVersion: number;
			readonly newestWave: number;
			/** Highest offset of a request for an evacuation that the follower knows. Earlier versions do not send it. */
			readonly newestEvacuation?: number | undefined;
		} & FollowerStatus;
	};
	/** Submits a job. A refusal identifies the leader. */
	'job.submit': {
		readonly parameters: SubmitParameters;
		readonly result: (SubmitDecision & Decided) | NotLeader | StalePlan;
	};
	/** Cancels a job. The response identifies the leader. */
	'job.cancel': {
		readonly parameters: { readonly id: string; readonly team: string | undefined };
		readonly result: (CancelDecision & Decided) | NotLeader;
	};
	/** Returns the state of a job. The response identifies the leader if it does not know the job. */
	'job.state': {
		readonly parameters: { readonly id: string; readonly team: string | undefined };
		readonly result: (StateDecision & Decided) | NotLeader;
	};
	'queue.pending': {
		readonly parameters: { readonly queue: string };
		readonly result: { readonly type: 'pending'; readonly pending: number } | NotLeader;
	};
	'plan.get': {
		readonly parameters: Record<string, never>;
		readonly result: {
			readonly plan: FleetPlan | undefined;
			readonly waves: readonly MaintenanceWave[];
			/** Earlier versions do not send them. */
			readonly evacuations?: readonly EvacuationRecord[] | undefined;
		};
	};
	'plan.offer': { readonly parameters: { readonly plan: FleetPlan }; readonly result: { readonly version: number } };
	/** Appends to a topic of the store for a leader that the store does not serve. */
	'store.append': {
		readonly parameters: {
			readonly topic: LogTopic;
			/** Records in base64. */
			readonly records: readonly string[];
			readonly conditions: AppendConditions;
		};
		readonly result: { readonly outcome: AppendOutcome };
	};
	/** Reads a topic of the store for a leader that the store does not serve. */
	'store.read': {
		readonly parameters: { readonly topic: LogTopic; readonly from: number; readonly waitMs: number };
		readonly result: { readonly outcome: EncodedReadOutcome };
	};
	/** Reads the newest records of a keyed topic for a leader that the store does not serve. */
	'store.newest': {
		readonly parameters: { readonly topic: LogTopic };
		readonly result: { readonly outcome: EncodedNewestOutcome };
	};
	/** Reads worker entries for a leader that the store does not serve. Without `from`, all entries are read. */
	'feed.workers': {
		readonly parameters: { readonly from?: number | undefined };
		readonly result: { readonly outcome: FeedOutcome<WorkerEntry> };
	};
	/** Has the peer call workers. It sends the outcomes with `workers.answered`. */
	'workers.call': {
		readonly parameters: {
			readonly calls: readonly NumberedCall[];
			/** Newest clock of the peer's process that the sender had when it created the calls. Earlier versions do not send it. */
			readonly heardClockMs?: number | undefined;
		};
		readonly result: undefined;
	};
	/** Outcomes of calls to workers. */
	'workers.answered': {
		readonly parameters: { readonly outcomes: readonly NumberedOutcome[] };
		readonly result: undefined;
	};
	/** Returns whether the store currently serves the peer. */
	'store.reachable': { readonly parameters: Record<string, never>; readonly result: { readonly reachable: boolean } };
}

/** Name of a method of the peer protocol. */
export type PeerMethod = keyof PeerMethods;

/** Handlers of the methods that peers call on this daemon. */
export type PeerHandlers = {
	readonly [Method in PeerMethod]: (
		parameters: PeerMethods[Method]['parameters'],
		session: PeerSession,
	) => Promise<PeerMethods[Method]['result']> | PeerMethods[Method]['result'];
};

/** Method that is called without an answer. */
export type PeerNotification = 'workers.call' | 'workers.answered';

/** The peer at the other end of a connection. */
export interface PeerCaller {
	/** Calls a method that has no answer. The message is lost if the connection closes before it is read. */
	notify<Method extends PeerNotification>(method: Method, parameters: PeerMethods[Method]['parameters']): void;
	/** Signal that is aborted when the connection is closed. */
	readonly closed: AbortSignal;
}

/** State of the connection on which a call was received. */
export interface PeerSession {
	/** Entry host of the peer; `undefined` until the hello exchange. */
	peerName: string | undefined;
	/** The peer; `undefined` for calls of this daemon itself. */
	readonly peer: PeerCaller | undefined;
}
