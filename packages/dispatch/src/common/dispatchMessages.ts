import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { ListedHostState } from '@chestnutwheel/platform/common/hostList.js';
import type { StartPermit, WorkerStatus } from '@chestnutwheel/platform/common/workerProtocol.js';

/** Class of a piece of work, from the most to the least pressing. */
export type WorkClass = 'urgent' | 'normal' | 'research';

/** A short request, as an entry daemon asks the leader to place it. Asking again with the same id is idempotent. */
export interface PlacementRequest {
	readonly requestId: string;
	/** Entry host that holds the caller's connection. */
	readonly entryHost: string;
	readonly cell: string;
	/** The team whose key came with the request; `undefined` in an open queue. */
	readonly team: string | undefined;
	/** Identifier of the key, checked again before the grant; `undefined` in an open queue. */
	readonly keyId: string | undefined;
	readonly queue: string;
	readonly class: WorkClass;
	/** The request ends by this time; on the wire it is a remaining duration. */
	readonly deadline: number;
	/** Hosts and racks of earlier attempts, to be avoided where others are free. */
	readonly avoidHosts: readonly string[];
	/** A long job also names its task here; it runs under leases renewed by the leader. */
	readonly kind: 'request' | 'job';
}

/** The right to start one attempt on one worker. */
export interface Grant {
	/** Also the identifier of the task on the worker; new for every attempt. */
	readonly grantId: string;
	readonly requestId: string;
	readonly entryHost: string;
	readonly host: string;
	readonly address: string;
	readonly rack: string;
	readonly permit: StartPermit;
}

/** How an attempt ended, as the holder of the grant reports it. */
export type AttemptOutcome =
	/** The endpoint gave a whole answer without a server error. */
	| 'succeeded'
	/** The endpoint answered with a server error. */
	| 'failed'
	/** The worker or the transport proved that the task did not start. */
	| 'not-started'
	/** The task may still run; the slot is free when the worker says so or the task's lease has ended. */
	| 'unknown';

/** Messages to the dispatcher of one cell. Every time is on the leader's monotonic clock. */
export type DispatchMessage =
	| { readonly type: 'configuration'; readonly state: FleetState }
	/** The lease was gained (new term) or renewed. */
	| { readonly type: 'lease-held'; readonly term: number; readonly until: number }
	| { readonly type: 'lease-lost' }
	/** Every entry host has answered `work.held`, or its time-out has passed. */
	| {
			readonly type: 'entry-report';
			readonly entryHost: string;
			readonly term: number;
			readonly grants: readonly Grant[];
	  }
	| { readonly type: 'entry-silent'; readonly entryHost: string; readonly term: number }
	/** A worker answered `status` or `fence`; `requestedAt` is when the question was sent. */
	| {
			readonly type: 'worker-status';
			readonly host: string;
			readonly status: WorkerStatus;
			readonly requestedAt: number;
	  }
	| { readonly type: 'worker-unreachable'; readonly host: string }
	| { readonly type: 'host-list'; readonly hosts: Readonly<Record<string, ListedHostState>> }
	/** Hosts that a wave has claimed; they get no new work. */
	| { readonly type: 'drained-hosts'; readonly hosts: readonly string[] }
	| { readonly type: 'request'; readonly request: PlacementRequest }
	| { readonly type: 'cancel'; readonly requestId: string }
	| { readonly type: 'finished'; readonly grantId: string; readonly outcome: AttemptOutcome }
	/** A checkpointed job is off its worker. */
	| { readonly type: 'tick' };

/** What the dispatcher wants done. */
export type DispatchEffect =
	| { readonly type: 'granted'; readonly grant: Grant; readonly waitedMs: number }
	| {
			readonly type: 'refused';
			readonly requestId: string;
			readonly entryHost: string;
			readonly kind: ErrorKind;
			readonly reason: string;
	  }
	/** Ask the worker for a status now and raise its term. */
	| { readonly type: 'fence-worker'; readonly host: string; readonly address: string; readonly term: number }
	| { readonly type: 'ask-worker'; readonly host: string; readonly address: string }
	| { readonly type: 'ask-entry-host'; readonly entryHost: string; readonly term: number }
	/** Make room: checkpoint this job, stop it, and report `finished` with `not-started` when it is off the worker. */
	| { readonly type: 'checkpoint-job'; readonly grantId: string; readonly host: string; readonly reason: string }
	| { readonly type: 'stop-task'; readonly grantId: string; readonly host: string }
	| { readonly type: 'host-set-aside'; readonly host: string; readonly reason: string }
	| { readonly type: 'host-taken-back'; readonly host: string }
	/** The team's work has filled its pools for 60 s while this spare host was idle. */
	| {
			readonly type: 'move-host';
			readonly host: string;
			readonly from: string;
			readonly to: string;
			readonly reason: string;
	  }
	/** A decision with its reason, for `explain`. */
	| {
			readonly type: 'explained';
			readonly subject: string;
			readonly reason: string;
			readonly details: Readonly<Record<string, string | number>>;
	  };

/** What operators see of a cell. */
export interface DispatchOverview {
	readonly cell: string;
	readonly ready: boolean;
	readonly term: number;
	readonly waitingByQueue: Readonly<Record<string, number>>;
	readonly runningByTeam: Readonly<Record<string, number>>;
	/** Slot-milliseconds occupied by team since the dispatcher started. */
	readonly slotMsByTeam: Readonly<Record<string, number>>;
	readonly hosts: Readonly<Record<string, HostOverview>>;
}

/** Why a host gets work or not. */
export type HostDispatchState = 'open' | 'in-doubt' | 'leaving' | 'down' | 'draining' | 'set-aside' | 'unreachable';

/** What operators see of one host. */
export interface HostOverview {
	readonly state: HostDispatchState;
	readonly reason: string;
	readonly running: number;
	readonly slots: number;
}

/** The dispatcher of one cell: deterministic, without sockets, timers or a clock of its own. */
export interface Dispatcher {
	/** Takes one message and returns what has to be done, in order. @param now monotonic milliseconds */
	handle(message: DispatchMessage, now: number): readonly DispatchEffect[];
	/** The earliest time at which a `tick` changes anything; `undefined` when only a message can. */
	nextTickAt(): number | undefined;
	overview(now: number): DispatchOverview;
}
