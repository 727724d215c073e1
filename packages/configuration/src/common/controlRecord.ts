import type { EntryHost, Host, Pool, Queue, Team, TeamKey } from './fleetState.js';

/** A wave as an operator writes it. At least one of `pools` and `hosts` names something. */
export interface WaveRequest {
	readonly name: string;
	readonly pools?: readonly string[] | undefined;
	readonly hosts?: readonly string[] | undefined;
	/** Time that a claimed host has for its return; 600,000 when left out. */
	readonly returnWithinMs?: number | undefined;
}

/** Items by kind; each item is whole, so that a change replaces it. */
export interface NoteItems {
	readonly pools?: readonly Pool[] | undefined;
	readonly hosts?: readonly Host[] | undefined;
	readonly queues?: readonly Queue[] | undefined;
	readonly teams?: readonly Team[] | undefined;
	readonly keys?: readonly TeamKey[] | undefined;
	readonly entryHosts?: readonly EntryHost[] | undefined;
	readonly waves?: readonly WaveRequest[] | undefined;
}

/** Names by kind; keys go by their id. */
export type NoteNames = Readonly<Partial<Record<keyof NoteItems, readonly string[] | undefined>>>;

/** A release note: what is added, changed and withdrawn. */
export interface ReleaseNote {
	/** Chosen by the author; a second note with the same id is a copy of the first. */
	readonly id: string;
	readonly author: string;
	/** `noteOffset` of the state that the author saw. */
	readonly writtenAgainst: number;
	readonly comment?: string | undefined;
	readonly added?: NoteItems | undefined;
	/** `changed.waves` resumes a stopped wave. */
	readonly changed?: NoteItems | undefined;
	readonly withdrawn?: NoteNames | undefined;
}

/** Records of the control stream, told apart by `type`. */
export type ControlRecord =
	| { readonly type: 'note'; readonly version: 1; readonly note: ReleaseNote }
	| {
			readonly type: 'wave-claim';
			readonly version: 1;
			readonly claimId: string;
			readonly wave: string;
			readonly host: string;
			/** Hosts that the claimant sees as down, leaving or set aside, besides the claimed ones. */
			readonly unavailable: readonly string[];
	  }
	| { readonly type: 'host-returned'; readonly version: 1; readonly wave: string; readonly host: string }
	| { readonly type: 'wave-stopped'; readonly version: 1; readonly wave: string; readonly reason: string }
	| { readonly type: 'wave-resumed'; readonly version: 1; readonly wave: string; readonly reason: string }
	| {
			readonly type: 'host-moved';
			readonly version: 1;
			readonly moveId: string;
			readonly host: string;
			readonly from: string;
			readonly to: string;
	  }
	| {
			readonly type: 'entry-acknowledged';
			readonly version: 1;
			readonly entryHost: string;
			readonly entrySetOffset: number;
	  };

/** What the fold decided about one record. */
export interface RecordVerdict {
	readonly offset: number;
	readonly type: ControlRecord['type'] | 'corrupt';
	readonly accepted: boolean;
	readonly reason?: string | undefined;
}
