import type {
	CancelDecision,
	StateDecision,
	SubmitDecision,
	Submission,
} from '@chestnutwheel/engine/common/engineMessages.js';
import type { FleetPlan } from '@chestnutwheel/ports/common/fleetPlan.js';

/** Who leads, as daemons tell each other. */
export interface LeaderIdentity {
	/** Term; the offset of the leader's record in the store plus one. */
	readonly term: number;
	readonly entryHost: string;
	/** `IP:port` for other daemons. */
	readonly address: string;
}

/** A daemon answers so when it does not lead, or does not lead yet. */
export interface NotLeader {
	readonly type: 'not-leading';
	readonly leader: LeaderIdentity | undefined;
}

/** The daemon's plan is older than the caller's; the caller sends its own. */
export interface StalePlan {
	readonly type: 'plan-behind';
	readonly version: number;
}

/** Methods that daemons call on each other, JSON-RPC 2.0 over one TCP connection. */
export interface PeerMethods {
	/** Opens a connection; the answer says who leads as far as the other daemon knows. */
	'peer.hello': {
		readonly parameters: { readonly entryHost: string };
		readonly result: { readonly entryHost: string; readonly leader: LeaderIdentity | undefined };
	};
	/** Whether the other daemon hears the leader. */
	'leader.heard': {
		readonly parameters: Record<string, never>;
		readonly result: { readonly leader: LeaderIdentity | undefined; readonly silentForMs: number };
	};
	/** Sign of life of the leader; also tells of a new one, and of one that steps down. */
	'leader.alive': {
		readonly parameters: {
			readonly leader: LeaderIdentity;
			readonly planVersion: number;
			readonly isResigning: boolean;
			/** Where the leader's topic ends, if it steps down by itself: a successor need not read the store first. */
			readonly topicEnd?: number | undefined;
		};
		readonly result: { readonly planVersion: number };
	};
	'job.submit': { readonly parameters: Submission; readonly result: SubmitDecision | NotLeader | StalePlan };
	'job.cancel': {
		readonly parameters: { readonly id: string; readonly team: string | undefined };
		readonly result: CancelDecision | NotLeader;
	};
	'job.state': {
		readonly parameters: { readonly id: string; readonly team: string | undefined };
		readonly result: StateDecision | NotLeader;
	};
	'queue.pending': {
		readonly parameters: { readonly queue: string };
		readonly result: { readonly type: 'pending'; readonly pending: number } | NotLeader;
	};
	'plan.get': { readonly parameters: Record<string, never>; readonly result: { readonly plan: FleetPlan | undefined } };
	'plan.offer': { readonly parameters: { readonly plan: FleetPlan }; readonly result: { readonly version: number } };
	/** Whether the store serves the other daemon now. */
	'store.reachable': { readonly parameters: Record<string, never>; readonly result: { readonly reachable: boolean } };
}

/** Name of a method between daemons. */
export type PeerMethod = keyof PeerMethods;

/** Handlers of the methods that other daemons call. */
export type PeerHandlers = {
	readonly [Method in PeerMethod]: (
		parameters: PeerMethods[Method]['parameters'],
		session: PeerSession,
	) => Promise<PeerMethods[Method]['result']> | PeerMethods[Method]['result'];
};

/** The connection on which a call has come. */
export interface PeerSession {
	/** Name of the other daemon, once it has said it. */
	peerName: string | undefined;
}
