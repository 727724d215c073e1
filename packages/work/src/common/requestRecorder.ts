import type { MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import { MAXIMUM_REQUEST_KEYS, type RequestKeyEntry, type WorkLedger } from './workLedger.js';
import type { RecorderEffect, RecorderMessage } from './workMessages.js';
import type { RequestEnd, WorkRecord } from './workRecord.js';

/** Least time between two appends of starts, so that a cell makes at most 50 a second. */
export const BATCH_EVERY_MS = 20;
/** Keys are remembered for this long after the deadline of their request. */
export const KEEP_KEY_MS = 10 * 60 * 1_000;
/** After a failed append, requests are refused for this long before the next one tries again. */
const LOG_RETRY_MS = 1_000;
/** Starts or ends in one record. */
const MAXIMUM_BATCH = 500;
/** Requests that wait for their record; more are refused as `overloaded`. */
const MAXIMUM_WAITING = 10_000;
/** Requests that were allowed to start and have not ended; more are refused as `overloaded`. */
const MAXIMUM_STARTED = 50_000;
/** Ids of requests that ended here and must not be recorded again; the oldest is forgotten beyond. */
const MAXIMUM_SPENT = 20_000;
/** Ends that wait for their append; the oldest is dropped beyond, and its key stays `started`. */
const MAXIMUM_ENDS = 50_000;

/** Options of {@link createRequestRecorder}. */
export interface RequestRecorderOptions {
	readonly ledger: WorkLedger;
	/** At least 20; more when many cells share the log. */
	readonly batchEveryMs?: number;
}

/** Records requests that may not be repeated before they start. Deterministic. */
export interface RequestRecorder {
	handle(message: RecorderMessage, now: MonotonicTime): readonly RecorderEffect[];
	/** The earliest time at which a `tick` changes anything. */
	nextTickAt(): MonotonicTime | undefined;
	/** Requests that wait for their record. */
	readonly waitingCount: number;
	/** Ends that were dropped because too many waited. */
	readonly droppedEnds: number;
}

interface WaitingRequest {
	readonly requestId: string;
	readonly team: string;
	readonly requestKey: string;
	readonly deadline: MonotonicTime;
	/** The append that carries the record; `undefined` before it was sent. */
	appendId: string | undefined;
}

type Handlers = {
	readonly [Type in RecorderMessage['type']]: (
		message: Extract<RecorderMessage, { type: Type }>,
		now: MonotonicTime,
	) => void;
};

/** Creates the recorder of one cell. It acts only while a lease is held. */
export function createRequestRecorder({
	ledger,
	batchEveryMs = BATCH_EVERY_MS,
}: RequestRecorderOptions): RequestRecorder {
	let lease: { term: number; until: MonotonicTime } | undefined;
	let batchAt = -Infinity;
	let refuseUntil = -Infinity;
	let endsAt = -Infinity;
	let readOffset = -Infinity;
	let appendCount = 0;
	let droppedEnds = 0;
	let effects: RecorderEffect[] = [];
	const waiting = new Map<string, WaitingRequest>();
	const waitingByKey = new Map<string, string>();
	const unsent = new Set<WaitingRequest>();
	const started = new Map<string, WaitingRequest>();
	const spent = new Set<string>();
	const ends: RequestEnd[] = [];
	/** Ends by append, until the append has ended. */
	const sentEnds = new Map<string, readonly RequestEnd[]>();

	const keyOf = ({ team, requestKey }: WaitingRequest): string => JSON.stringify([team, requestKey]);

	const remove = (request: WaitingRequest): void => {
		waiting.delete(request.requestId);
		waitingByKey.delete(keyOf(request));
		unsent.delete(request);
	};

	const refuse = (requestId: string, kind: ErrorKind, reason: string, known?: RequestKeyEntry['state']): void => {
		effects.push({ type: 'refuse-request', requestId, kind, reason, known });
	};

	const addEnd = ({ team, requestKey, requestId }: WaitingRequest, outcome: RequestEnd['outcome']): void => {
		if (ends.length >= MAXIMUM_ENDS) {
			ends.shift();
			droppedEnds++;
		}
		ends.push({ team, requestKey, requestId, outcome });
		// A delayed copy of this end would free the key of a second start under the same id.
		spent.add(requestId);
		const oldest = spent.size > MAXIMUM_SPENT ? spent.values().next().value : undefined;
		if (oldest !== undefined) {
			spent.delete(oldest);
		}
	};

	const refuseWaiting = (request: WaitingRequest, kind: ErrorKind, reason: string): void => {
		remove(request);
		if (request.appendId !== undefined) {
			// The record may be in the stream; the key is free again once the end is there too.
			addEnd(request, 'not-run');
		}
		refuse(request.requestId, kind, reason);
	};

	const loseLease = (): void => {
		lease = undefined;
		[...waiting.values()].forEach(request => {
			remove(request);
			refuse(request.requestId, 'no-leader', 'the lease of the cell was lost');
		});
		started.clear();
		ends.length = 0;
		sentEnds.clear();
	};

	/** Compares the waiting requests with the ledger, which is where the first record of a key wins. */
	const readBack = (term: number, now: MonotonicTime): void => {
		if (ledger.term > term) {
			loseLease();
			return;
		}
		for (const request of [...waiting.values()]) {
			const entry = ledger.requestKey(request.team, request.requestKey, now);
			if (now >= request.deadline) {
				refuseWaiting(request, 'deadline-passed', 'the record was not read back in time');
			} else if (entry?.requestId === request.requestId && entry.term === term && entry.state === 'started') {
				remove(request);
				started.set(request.requestId, request);
				effects.push({ type: 'may-start', requestId: request.requestId });
			} else if (entry !== undefined && entry.state !== 'not-run') {
				remove(request);
				refuse(request.requestId, 'request-key-used', 'the request key was used before', entry.state);
			}
		}
	};

	const append = (record: WorkRecord): string => {
		const appendId = `starts-${appendCount++}`;
		effects.push({ type: 'append', appendId, value: JSON.stringify(record) });
		return appendId;
	};

	const flush = (term: number, now: MonotonicTime): void => {
		if (now < batchAt || (unsent.size === 0 && ends.length === 0)) {
			return;
		}
		batchAt = now + batchEveryMs;
		const batch = [...unsent].slice(0, MAXIMUM_BATCH);
		if (batch.length > 0) {
			const appendId = append({
				version: 1,
				term,
				type: 'requests-started',
				starts: batch.map(({ team, requestKey, requestId, deadline }) => ({
					team,
					requestKey,
					requestId,
					keepMs: deadline - now + KEEP_KEY_MS,
				})),
			});
			for (const request of batch) {
				request.appendId = appendId;
				unsent.delete(request);
			}
		} else if (now >= endsAt) {
			// Ends take the turns that starts leave over.
			const batchOfEnds = ends.splice(0, MAXIMUM_BATCH);
			sentEnds.set(append({ version: 1, term, type: 'requests-ended', ends: batchOfEnds }), batchOfEnds);
		}
	};

	const refusalOf = (
		message: Extract<RecorderMessage, { type: 'record-request' }>,
		now: MonotonicTime,
	): readonly [ErrorKind, string, (RequestKeyEntry['state'] | undefined)?] | undefined => {
		const entry = ledger.requestKey(message.team, message.requestKey, now);
		const holder = waitingByKey.get(JSON.stringify([message.team, message.requestKey]));
		if (lease === undefined) {
			return ['no-leader', 'this daemon does not lead the cell'];
		}
		if (entry !== undefined && entry.state !== 'not-run') {
			return ['request-key-used', 'the request key was used before', entry.state];
		}
		if (holder !== undefined) {
			return ['request-key-used', 'a request with this key waits for its record', 'started'];
		}
		if (spent.has(message.requestId)) {
			return ['request-key-used', 'the request has ended', entry?.state];
		}
		if (now >= message.deadline) {
			return ['deadline-passed', 'the deadline has passed'];
		}
		if (now < refuseUntil) {
			return ['log-unavailable', 'the last append to the work stream failed'];
		}
		if (ledger.requestKeyCount + waiting.size >= MAXIMUM_REQUEST_KEYS) {
			return ['overloaded', 'the table of request keys is full'];
		}
		if (waiting.size >= MAXIMUM_WAITING || started.size >= MAXIMUM_STARTED) {
			return ['overloaded', 'too many requests wait for their records'];
		}
		return undefined;
	};

	const handlers: Handlers = {
		'lease-held': message => {
			if (lease !== undefined && lease.term !== message.term) {
				loseLease();
			}
			lease = { term: message.term, until: message.until };
		},
		'lease-lost': loseLease,
		'record-request': (message, now) => {
			if (waiting.has(message.requestId) || started.has(message.requestId)) {
				return;
			}
			const refusal = refusalOf(message, now);
			if (refusal !== undefined) {
				refuse(message.requestId, ...refusal);
				return;
			}
			const { requestId, team, requestKey, deadline } = message;
			const request: WaitingRequest = { requestId, team, requestKey, deadline, appendId: undefined };
			waiting.set(requestId, request);
			waitingByKey.set(keyOf(request), requestId);
			unsent.add(request);
		},
		'withdraw-request': ({ requestId }) => {
			const request = waiting.get(requestId);
			if (request !== undefined) {
				refuseWaiting(request, 'cancelled', 'the request was cancelled before its start');
			}
		},
		'request-ended': ({ requestId, outcome }) => {
			const request = started.get(requestId);
			if (request !== undefined) {
				started.delete(requestId);
				addEnd(request, outcome);
			}
		},
		'append-ended': ({ appendId, result }, now) => {
			const endsOfAppend = sentEnds.get(appendId);
			sentEnds.delete(appendId);
			if (result === 'appended') {
				refuseUntil = -Infinity;
				return;
			}
			// A second copy of an end changes nothing.
			ends.unshift(...(endsOfAppend ?? []));
			endsAt = now + LOG_RETRY_MS;
			if (result === 'unknown') {
				// The requests wait until their record is seen or their deadline has passed.
				return;
			}
			refuseUntil = now + LOG_RETRY_MS;
			for (const request of [...waiting.values()].filter(candidate => candidate.appendId === appendId)) {
				remove(request);
				refuse(request.requestId, 'log-unavailable', 'the record could not be appended');
			}
		},
		'ledger-folded': () => undefined,
		tick: () => undefined,
	};

	return {
		handle: (message, now) => {
			effects = [];
			// A daemon that was paused beyond its lease must not act on what it believed before.
			if (lease !== undefined && now >= lease.until && message.type !== 'lease-held') {
				loseLease();
			}
			(handlers[message.type] as (handled: RecorderMessage, at: MonotonicTime) => void)(message, now);
			if (lease !== undefined && now < lease.until && (message.type === 'tick' || ledger.offset !== readOffset)) {
				readOffset = ledger.offset;
				readBack(lease.term, now);
			}
			if (lease !== undefined && now < lease.until) {
				flush(lease.term, now);
			}
			return effects;
		},
		nextTickAt: () => {
			if (lease === undefined) {
				return undefined;
			}
			const deadlines = [...waiting.values()].map(request => request.deadline);
			const flushAt = unsent.size > 0 ? batchAt : ends.length > 0 ? Math.max(batchAt, endsAt) : Infinity;
			return Math.min(lease.until, flushAt, ...deadlines);
		},
		get waitingCount() {
			return waiting.size;
		},
		get droppedEnds() {
			return droppedEnds;
		},
	};
}
