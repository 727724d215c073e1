import type { ErrorKind, ExecutionOutcome } from '@chestnutwheel/base/common/errorKinds.js';
import type { ReleaseNote } from './controlRecord.js';
import type { NoteVerdict } from './fleetState.js';

/** Body of every answer that is an error. */
export interface OperatorErrorBody {
	readonly error: { readonly kind: ErrorKind; readonly message: string; readonly outcome: ExecutionOutcome };
}

/** Answer of `POST /operator/notes`. A refused note is an error with the kind of its refusal. */
export interface SubmitAnswer {
	readonly verdict: NoteVerdict;
}

/** Answer of `GET /operator/notes`, oldest first. */
export interface NotesAnswer {
	readonly verdicts: readonly NoteVerdict[];
}

/** Answer of `GET /operator/notes/{id}`. */
export interface NoteAnswer {
	readonly note: ReleaseNote;
	readonly verdict: NoteVerdict;
}

/** How far one entry host has applied the control stream. */
export interface EntryHostProgress {
	readonly name: string;
	/** Offset of the last record applied; -1 when the host has not answered. */
	readonly offset: number;
	readonly reachable: boolean;
}

/** Answer of `GET /operator/in-force?offset=N`. */
export interface InForceAnswer {
	readonly entryHosts: readonly EntryHostProgress[];
}

/** One host as the leader of its cell sees it. */
export interface HostStatus {
	readonly state: string;
	readonly reason: string;
	readonly running: number;
	readonly slots: number;
}

/** One cell as its leader sees it; the same fields as `DispatchOverview`. */
export interface CellStatus {
	readonly cell: string;
	readonly ready: boolean;
	readonly term: number;
	readonly waitingByQueue: Readonly<Record<string, number>>;
	readonly runningByTeam: Readonly<Record<string, number>>;
	readonly slotMsByTeam: Readonly<Record<string, number>>;
	readonly hosts: Readonly<Record<string, HostStatus>>;
}

/** Answer of `GET /operator/status`. */
export interface StatusAnswer {
	/** Name of the entry host that answers. */
	readonly daemon: string;
	readonly ready: boolean;
	/** Why the daemon is not ready. */
	readonly reason?: string | undefined;
	readonly offset: number;
	readonly viewAgeMs: number;
	readonly logReadable: boolean;
	/** By cell; a cell without a known leader has none. */
	readonly leaders: Readonly<Record<string, { readonly entryHost?: string | undefined; readonly term: number }>>;
	/** By cell; a cell whose leader did not answer is missing. */
	readonly cells: Readonly<Record<string, CellStatus>>;
}

/** One long job. */
export interface JobStatus {
	readonly id: string;
	readonly cell: string;
	readonly team: string;
	readonly queue: string;
	readonly state: string;
	readonly attempts: number;
	readonly host?: string | undefined;
	readonly reason?: string | undefined;
}

/** Answer of `GET /operator/jobs`. */
export interface JobsAnswer {
	readonly jobs: readonly JobStatus[];
}

/** Kinds of things that can be explained. */
export const explainKinds = ['job', 'request', 'host', 'wave', 'note'] as const;

/** One decision about a thing. */
export interface ExplainEntry {
	/** Wall clock of the daemon that decided, in milliseconds since 1970; for display only. */
	readonly at: number;
	readonly subject: string;
	readonly reason: string;
	readonly details: Readonly<Record<string, string | number>>;
}

/** Answer of `GET /operator/explain/{kind}/{name}`, oldest first. */
export interface ExplainAnswer {
	readonly entries: readonly ExplainEntry[];
}
