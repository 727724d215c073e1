import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { RecorderEffect, RecorderMessage } from '@chestnutwheel/work/common/workMessages.js';
import { createRequestRecorder } from '@chestnutwheel/work/common/requestRecorder.js';
import type { WorkLedger } from '@chestnutwheel/work/common/workLedger.js';
import type { OnlyOnce, WorkResponse } from '../../../common/peerProtocol.js';
import { createPendingAnswers } from './pendingAnswers.js';
import type { WorkStream } from './workStream.js';

/** Records the starts of requests that may not be repeated. */
export interface StartRecords {
	send(message: RecorderMessage): void;
	/**
	 * Records a start, or finds the record of an earlier placement of the same request.
	 * @returns `undefined` when the request may start now
	 */
	record(team: string, onlyOnce: OnlyOnce, deadline: number, waitUntil: number): Promise<WorkResponse | undefined>;
	/** The entry host gave the request up before it used any grant. */
	withdraw(onlyOnce: OnlyOnce): void;
	/** The request has ended; `not-run` only with proof. */
	ended(onlyOnce: OnlyOnce, outcome: 'ran' | 'not-run' | 'unknown'): void;
}

/** What the records need. */
export interface StartRecordsOptions {
	readonly cell: string;
	readonly ledger: WorkLedger;
	readonly stream: WorkStream;
	readonly clock: Clock;
	readonly counters: Counters;
}

/** `true` means that the request may start. */
type Decision = true | WorkResponse;

/** Creates the records; the timer stops when the signal is aborted. */
export function createStartRecords(options: StartRecordsOptions, signal: AbortSignal): StartRecords {
	const { cell, clock, counters, ledger, stream } = options;
	const recorder = createRequestRecorder({ ledger });
	const pending = createPendingAnswers<Decision>();
	/** Requests of the present term that may start and have not ended. */
	const allowed = new Set<string>();
	let timer: NodeJS.Timeout | undefined;

	const append = async (appendId: string, value: string): Promise<void> => {
		const result = await stream.append(value);
		send({ type: 'append-ended', appendId, result });
	};

	const effectHandlers: {
		readonly [Type in RecorderEffect['type']]: (effect: Extract<RecorderEffect, { type: Type }>) => void;
	} = {
		append: ({ appendId, value }) => void append(appendId, value),
		'may-start': ({ requestId }) => {
			allowed.add(requestId);
			pending.answer(requestId, true);
		},
		'refuse-request': ({ requestId, kind, reason, known }) => {
			counters.add('starts_refused_total', { cell, kind });
			const state = known === undefined ? '' : `; what is known of it: ${known}`;
			pending.answer(requestId, { state: 'refused', kind, reason: `${reason}${state}` });
		},
	};

	const schedule = (): void => {
		clearTimeout(timer);
		const at = recorder.nextTickAt();
		if (at !== undefined && at !== Infinity && !signal.aborted) {
			timer = setTimeout(() => send({ type: 'tick' }), Math.max(1, Math.ceil(at - clock.now())));
		}
	};

	const send = (message: RecorderMessage): void => {
		if (signal.aborted) {
			return;
		}
		if (message.type === 'lease-lost') {
			allowed.clear();
		}
		for (const effect of recorder.handle(message, clock.now())) {
			(effectHandlers[effect.type] as (effect: RecorderEffect) => void)(effect);
		}
		schedule();
	};

	const ended: StartRecords['ended'] = ({ callerRequestId }, outcome) => {
		allowed.delete(callerRequestId);
		send({ type: 'request-ended', requestId: callerRequestId, outcome });
	};

	/**
	 * Whether an earlier leader recorded this very request. Its entry host asks again only while it has not used a
	 * grant, and no other process knows the id, so that the record allows the start under this leader too.
	 */
	const isOwnRecord = (team: string, requestKey: string, callerRequestId: string): boolean => {
		const entry = ledger.requestKey(team, requestKey, clock.now());
		return entry?.requestId === callerRequestId && entry.state === 'started';
	};

	signal.addEventListener('abort', () => clearTimeout(timer));

	return {
		send,
		record: async (team, { requestKey, callerRequestId }, deadline, waitUntil) => {
			if (allowed.has(callerRequestId) || isOwnRecord(team, requestKey, callerRequestId)) {
				return undefined;
			}
			const answer = pending.wait(callerRequestId, waitUntil - clock.now(), { state: 'waiting' });
			send({ type: 'record-request', requestId: callerRequestId, team, requestKey, deadline });
			const decision = await answer;
			return decision === true ? undefined : decision;
		},
		withdraw: onlyOnce => {
			if (allowed.has(onlyOnce.callerRequestId)) {
				ended(onlyOnce, 'not-run');
			} else {
				send({ type: 'withdraw-request', requestId: onlyOnce.callerRequestId });
			}
		},
		ended,
	};
}
