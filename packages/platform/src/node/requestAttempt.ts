import { errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import type { IncomingHttpHeaders } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { Dispatcher } from 'undici';
import type { RequestAttempt, RunRequestOptions, UnknownAttemptKind } from '../common/workerClient.js';
import { endpointHeaders, type StartPermit } from '../common/workerProtocol.js';
import { exchange, type ExchangeFault, type ExchangeResult } from './httpExchange.js';
import { notStartedSchema } from './workerSchemas.js';

/** What the worker says about a task, asked on a connection of its own. */
export type TaskQuestionAnswer = 'running' | 'not-running' | 'unanswered';

/** What an attempt needs besides its request. */
export interface AttemptOptions {
	readonly dispatcher: Dispatcher;
	/** Asks the worker on a fresh connection whether the task runs there. */
	readonly askTask: (address: string, taskId: string) => Promise<TaskQuestionAnswer>;
	/** Time without a byte of the answer after which the worker is asked. */
	readonly silenceMs: number;
	/** Time that the bytes of an answer have left when the worker says that the task does not run. */
	readonly silenceGraceMs: number;
	readonly maximumAnswerBytes: number;
}

/** Status questions in a row without an answer after which the connection counts as dead. */
const MAXIMUM_UNANSWERED = 3;

/** A longer time would make the timer fire at once. */
const LONGEST_TIMER_MS = 2 ** 31 - 1;

/** Why this process ended an attempt itself. */
interface AbortCause {
	readonly kind: Extract<UnknownAttemptKind, 'endpoint-silent' | 'cancelled-running' | 'deadline-exceeded'>;
	readonly message: string;
}

const kindByFault: Readonly<Record<Exclude<ExchangeFault, 'aborted'>, UnknownAttemptKind>> = {
	transport: 'endpoint-failed',
	'refused-head': 'answer-mismatched',
	'no-length': 'answer-truncated',
	truncated: 'answer-truncated',
	'too-large': 'answer-too-large',
};

/** The headers of a start. */
function startHeaders(permit: StartPermit, contentType: string): Record<string, string> {
	return {
		'content-type': contentType,
		[endpointHeaders.taskId]: permit.taskId,
		[endpointHeaders.cell]: permit.cell,
		[endpointHeaders.team]: permit.team,
		[endpointHeaders.term]: String(permit.term),
		[endpointHeaders.boot]: permit.boot,
		[endpointHeaders.startBy]: String(permit.startByMs),
		[endpointHeaders.lease]: String(permit.leaseMs),
	};
}

/** Reads the worker's proof that the task did not start; the task identifier was compared before. */
function refusalOf(status: number, headers: IncomingHttpHeaders): RequestAttempt | undefined {
	const text = headers[endpointHeaders.notStarted];
	if (status !== 409 || text === undefined) {
		return undefined;
	}
	const reason = notStartedSchema.safeParse(text);
	return reason.success
		? { type: 'not-started', reason: reason.data }
		: { type: 'unknown', kind: 'endpoint-failed', message: 'the endpoint refused for a reason that is not known' };
}

/** Turns the end of an exchange into the end of an attempt. */
function attemptOf(result: ExchangeResult, cause: AbortCause | undefined): RequestAttempt {
	if (result.type === 'answer') {
		const { status, headers, body } = result;
		return refusalOf(status, headers) ?? { type: 'answer', status, contentType: headers['content-type'], body };
	}
	const { fault, sent, error } = result;
	if (!sent) {
		return { type: 'not-started', reason: 'not-sent', message: cause?.message ?? errorMessageOf(error) };
	}
	if (fault === 'aborted') {
		const { kind, message } = cause ?? { kind: 'cancelled-running', message: errorMessageOf(error) };
		return { type: 'unknown', kind, message };
	}
	return { type: 'unknown', kind: kindByFault[fault], message: errorMessageOf(error) };
}

/** Runs one attempt of a request at an endpoint. Never rejects. */
export async function runAttempt(
	{ dispatcher, askTask, silenceMs, silenceGraceMs, maximumAnswerBytes }: AttemptOptions,
	address: string,
	permit: StartPermit,
	body: Uint8Array,
	{ contentType, deadline, signal }: RunRequestOptions,
): Promise<RequestAttempt> {
	const aborter = new AbortController();
	let cause: AbortCause | undefined;
	/** Counts arrivals of bytes; the watch compares it before and after it waits. */
	let arrivals = 0;
	/** When bytes last arrived or a question was last asked, whichever is later. */
	let quietSince = 0;

	const abort = (kind: AbortCause['kind'], message: string): void => {
		cause ??= { kind, message };
		aborter.abort(new Error(message));
	};

	/** Waits for the time, or less if the attempt ends. @returns whether the attempt goes on without new bytes */
	const isStillSilent = async (milliseconds: number, since: number): Promise<boolean> => {
		await delay(milliseconds, undefined, { signal: aborter.signal }).catch(() => undefined);
		return !aborter.signal.aborted && arrivals === since;
	};

	/** Asks about the task whenever the connection has been silent for long, and gives up only on what is known dead. */
	const watch = async (): Promise<void> => {
		let unanswered = 0;
		while (!aborter.signal.aborted) {
			const since = arrivals;
			if (!(await isStillSilent(Math.max(0, quietSince + silenceMs - performance.now()), since))) {
				unanswered = 0;
				continue;
			}
			const answer = await askTask(address, permit.taskId);
			quietSince = Math.max(quietSince, performance.now());
			unanswered = answer === 'unanswered' ? unanswered + 1 : 0;
			if (unanswered >= MAXIMUM_UNANSWERED && (await isStillSilent(0, since))) {
				abort('endpoint-silent', `the endpoint sent nothing and left ${unanswered} status questions unanswered`);
			}
			// The task may have ended between the last byte and the question, with its answer still on the way.
			if (
				answer === 'not-running' &&
				(await isStillSilent(silenceGraceMs, since)) &&
				(await askTask(address, permit.taskId)) === 'not-running' &&
				(await isStillSilent(0, since))
			) {
				abort('endpoint-silent', 'the endpoint sent nothing and the task does not run there');
			}
		}
	};

	const deadlineTimer = setTimeout(
		() => abort('deadline-exceeded', 'the deadline has passed'),
		Math.min(Math.max(0, deadline), LONGEST_TIMER_MS),
	);
	const onCancel = (): void => abort('cancelled-running', 'the request was cancelled');
	if (signal?.aborted === true) {
		onCancel();
	}
	signal?.addEventListener('abort', onCancel, { once: true });
	try {
		const result = await exchange(dispatcher, {
			origin: address,
			method: 'POST',
			path: `/endpoint/${encodeURIComponent(permit.queue)}`,
			headers: startHeaders(permit, contentType),
			body,
			signal: aborter.signal,
			maximumBytes: maximumAnswerBytes,
			onSent: () => {
				quietSince = performance.now();
				void watch();
			},
			onBytes: () => {
				arrivals++;
				quietSince = performance.now();
			},
			checkHead: (_status, headers) =>
				headers[endpointHeaders.taskId] === permit.taskId
					? undefined
					: 'the answer does not carry the identifier of this task',
		});
		return attemptOf(result, cause);
	} finally {
		clearTimeout(deadlineTimer);
		signal?.removeEventListener('abort', onCancel);
		aborter.abort();
	}
}
