import type {
	ListedEnd,
	ListedRun,
	PollOutcome,
	PollRequest,
	StartOrder,
	StartOutcome,
	WorkerAddress,
	WorkerListing,
} from '@chestnutwheel/ports/common/workerService.js';

/** A call to a worker that a follower makes for the leader. */
export type WorkerCall =
	| { readonly type: 'poll'; readonly target: WorkerAddress; readonly request: PollRequest }
	| { readonly type: 'start'; readonly target: WorkerAddress; readonly order: StartOrder };

/** Outcome of a call, by its type. */
export interface WorkerCallOutcomes {
	readonly poll: PollOutcome;
	readonly start: StartOutcome;
}

/** A call with the number by which the leader knows it. */
export type NumberedCall = readonly [number: number, call: WorkerCall];

/** Row of a run in progress on the wire. */
type RunRow = readonly [task: string, run: number, checkpoint: string, percent: number, load: number | null];

/** Row of an ended run on the wire. */
type EndRow = readonly [index: number, task: string, run: number, end: ListedEnd['end'], checkpoint: string];

/** A listing on the wire: rows in place of objects, since it is sent for each run that ends. */
interface EncodedListing {
	readonly incarnation: number;
	readonly clockMs: number;
	readonly running: readonly RunRow[];
	readonly ended: readonly EndRow[];
	/** Daemons of earlier versions do not send it. */
	readonly mayHaveMoreEnds?: boolean | undefined;
}

/** An outcome on the wire. */
export type EncodedOutcome =
	| { readonly type: 'listed'; readonly listing: EncodedListing }
	| Exclude<PollOutcome, { type: 'listed' }>
	| StartOutcome;

/** Outcome of a call with its number. */
export type NumberedOutcome = readonly [number: number, outcome: EncodedOutcome];

/** Encodes the outcome of a call. */
export function encodeOutcome(outcome: PollOutcome | StartOutcome): EncodedOutcome {
	if (outcome.type !== 'listed') {
		return outcome;
	}
	const { incarnation, clockMs, running, ended, mayHaveMoreEnds } = outcome.listing;
	return {
		type: 'listed',
		listing: {
			incarnation,
			clockMs,
			running: running.map(({ task, run, checkpoint, percent, load }) => [
				task,
				run,
				checkpoint,
				percent,
				load ?? null,
			]),
			ended: ended.map(({ index, task, run, end, checkpoint }) => [index, task, run, end, checkpoint]),
			mayHaveMoreEnds,
		},
	};
}

function decodeListing(listing: unknown): WorkerListing | undefined {
	const { incarnation, clockMs, running, ended, mayHaveMoreEnds } = (listing ?? {}) as Partial<EncodedListing>;
	if (
		typeof incarnation !== 'number' ||
		typeof clockMs !== 'number' ||
		!Array.isArray(running) ||
		!Array.isArray(ended) ||
		!running.every(row => Array.isArray(row) && typeof row[0] === 'string' && typeof row[1] === 'number') ||
		!ended.every(row => Array.isArray(row) && typeof row[0] === 'number' && typeof row[1] === 'string')
	) {
		return undefined;
	}
	return {
		incarnation,
		clockMs,
		running: (running as readonly RunRow[]).map(([task, run, checkpoint, percent, load]): ListedRun => ({
			task,
			run,
			checkpoint,
			percent,
			load: load ?? undefined,
		})),
		ended: (ended as readonly EndRow[]).map(([index, task, run, end, checkpoint]): ListedEnd => ({
			index,
			task,
			run,
			end,
			checkpoint,
		})),
		mayHaveMoreEnds: mayHaveMoreEnds ?? ended.length > 0,
	};
}

const outcomeTypes: Readonly<Record<WorkerCall['type'], ReadonlySet<unknown>>> = {
	poll: new Set(['listed', 'refused', 'other-worker', 'silent']),
	start: new Set(['started', 'not-started', 'other-worker', 'silent']),
};

/** Decodes the outcome of a call. @returns `undefined` if it is none of the call's type */
export function decodeOutcome<Type extends WorkerCall['type']>(
	type: Type,
	encoded: unknown,
): WorkerCallOutcomes[Type] | undefined {
	const outcome = (encoded ?? {}) as { readonly type?: unknown; readonly listing?: unknown };
	if (!outcomeTypes[type].has(outcome.type)) {
		return undefined;
	}
	if (outcome.type !== 'listed') {
		return outcome as WorkerCallOutcomes[Type];
	}
	const listing = decodeListing(outcome.listing);
	return listing === undefined ? undefined : ({ type: 'listed', listing } as WorkerCallOutcomes[Type]);
}
