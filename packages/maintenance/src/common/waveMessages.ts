import type { ControlRecord } from '@chestnutwheel/configuration/common/controlRecord.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { ListedHostState } from '@chestnutwheel/platform/common/hostList.js';

/** What a host said when it was last asked. */
export interface HostStatus {
	readonly host: string;
	/** Whether the host answered. The other fields are those of the last answer, or empty, when it did not. */
	readonly reachable: boolean;
	/** Boot identifier of the worker. */
	readonly boot: string;
	/** Number of tasks that run on the host. */
	readonly running: number;
	readonly draining: boolean;
	/**
	 * When the question was sent: an answer that a paused daemon reads late is as old as its question. The time of the
	 * message counts when this is left out.
	 */
	readonly requestedAt?: number | undefined;
}

/** Messages to the wave driver of one cell. Every time is on the leader's monotonic clock. */
export type WaveMessage =
	/** The state after each record that the daemon has folded. */
	| { readonly type: 'configuration'; readonly state: FleetState }
	/**
	 * The lease of the cell was gained, with its term, or renewed under the same term. Nothing is decided after `until`;
	 * without it, only `not-leading` ends the lead.
	 */
	| { readonly type: 'leading'; readonly term: number; readonly until?: number | undefined }
	| { readonly type: 'not-leading' }
	| { readonly type: 'host-list'; readonly hosts: Readonly<Record<string, ListedHostState>> }
	| { readonly type: 'host-set-aside'; readonly host: string }
	| { readonly type: 'host-taken-back'; readonly host: string }
	| { readonly type: 'host-status'; readonly status: HostStatus }
	/** What the fold decided about a claim. The state alone is enough; the verdict only shortens the wait. */
	| {
			readonly type: 'claim-verdict';
			readonly claimId: string;
			readonly accepted: boolean;
			readonly reason?: string | undefined;
	  }
	/** An append failed or its answer was lost, so the record may be in the stream. */
	| { readonly type: 'append-failed'; readonly recordType: ControlRecord['type'] }
	/** A request on the host ended. */
	| { readonly type: 'host-result'; readonly host: string; readonly succeeded: boolean }
	| { readonly type: 'tick' };

/**
 * A command to one host. The host refuses a command for another boot, so a late command cannot reboot a host that has
 * returned meanwhile.
 */
export interface HostCommand {
	readonly host: string;
	readonly address: string;
	readonly boot: string;
	/** The sender checks right before it sends that it still leads with this term. */
	readonly term: number;
}

/** What the wave driver wants done. */
export type WaveEffect =
	/** Append one record to the control stream, without a retry of the caller's own. */
	| { readonly type: 'append'; readonly record: ControlRecord }
	/** All hosts that get no new work because of a wave; replaces the list before. */
	| { readonly type: 'stop-work-on'; readonly hosts: readonly string[] }
	| ({ readonly type: 'drain-host' } & HostCommand)
	| ({ readonly type: 'reboot-host' } & HostCommand)
	/** End the drain of a host that has rebooted. */
	| ({ readonly type: 'resume-host' } & HostCommand)
	/** A decision with its reason, for `explain`. */
	| {
			readonly type: 'explained';
			readonly subject: string;
			readonly reason: string;
			readonly details: Readonly<Record<string, string | number>>;
	  };
