import { isErrorKind, type ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import { kindError } from '@chestnutwheel/base/common/kindError.js';
import { Agent, request } from 'undici';
import { z } from 'zod';
import type { SubmitAnswer } from '@chestnutwheel/configuration/common/operatorProtocol.js';
import type { OperatorClient } from '../common/operatorClient.js';

/** Settings of {@link createOperatorClient}. */
export interface OperatorClientSettings {
	/** Control address of any daemon, as `http://IP:port`. */
	readonly daemon: string;
	readonly operatorKey: string;
	/** Time for the first byte of an answer; a note may take the daemon's 5 s search for a lost append. */
	readonly answerWithinMs?: number;
}

const DEFAULT_ANSWER_WITHIN_MS = 10_000;
const CONNECT_WITHIN_MS = 2_000;

/** Largest answer that is read; the state of the largest fleet has about 4 MB. */
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

const errorBodySchema = z.object({ error: z.object({ kind: z.string(), message: z.string() }) });

/** The one field that each answer must have, so that another server's page is not taken for an answer. */
const answerFields = {
	submit: 'verdict',
	notes: 'verdicts',
	note: 'note',
	state: 'formatVersion',
	inForce: 'entryHosts',
	status: 'daemon',
	jobs: 'jobs',
	explain: 'entries',
	burn: 'series',
} as const;

type CallName = keyof typeof answerFields;

/** Error codes of a connection that was never made, so that nothing was sent. */
const neverConnectedCodes: ReadonlySet<unknown> = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
	'ENOTFOUND',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Creates a client of one daemon's operator interface. */
export function createOperatorClient(settings: OperatorClientSettings): OperatorClient {
	const { daemon, operatorKey, answerWithinMs = DEFAULT_ANSWER_WITHIN_MS } = settings;
	const dispatcher = new Agent({
		connect: { timeout: CONNECT_WITHIN_MS },
		headersTimeout: answerWithinMs,
		bodyTimeout: answerWithinMs,
		maxResponseSize: MAXIMUM_ANSWER_BYTES,
	});

	const call = async (name: CallName, path: string, body?: unknown): Promise<unknown> => {
		// A note that may have been sent may have been accepted; a read never changes anything.
		const lostKind: ErrorKind = name === 'submit' ? 'append-unknown' : 'daemon-unreachable';
		let status: number;
		let text: string;
		try {
			const answer = await request(new URL(path, daemon), {
				method: body === undefined ? 'GET' : 'POST',
				headers: {
					authorization: `Bearer ${operatorKey}`,
					...(body === undefined ? {} : { 'content-type': 'application/json' }),
				},
				...(body === undefined ? {} : { body: JSON.stringify(body) }),
				dispatcher,
			});
			status = answer.statusCode;
			text = await answer.body.text();
		} catch (error) {
			const code = error instanceof Error && 'code' in error ? error.code : undefined;
			if (neverConnectedCodes.has(code)) {
				throw kindError('daemon-unreachable', `no connection to ${daemon}`, { cause: error });
			}
			throw kindError(lostKind, `no whole answer from ${daemon}`, { cause: error });
		}
		const value = parseJson(text);
		if (status === 200 && typeof value === 'object' && value !== null && answerFields[name] in value) {
			return value;
		}
		const failure = errorBodySchema.safeParse(value);
		if (!failure.success || !isErrorKind(failure.data.error.kind)) {
			throw kindError(lostKind, `${daemon} answered ${status} in a form that is not known`);
		}
		throw kindError(failure.data.error.kind, failure.data.error.message);
	};

	// The shape of an answer below its first field is the daemon's promise and is not checked again.
	const get = async <Answer>(name: CallName, path: string): Promise<Answer> => (await call(name, path)) as Answer;

	return {
		submitNote: async note => (await call('submit', '/operator/notes', note)) as SubmitAnswer,
		notes: () => get('notes', '/operator/notes'),
		note: id => get('note', `/operator/notes/${encodeURIComponent(id)}`),
		state: () => get('state', '/operator/state'),
		inForce: offset => get('inForce', `/operator/in-force?offset=${offset}`),
		status: () => get('status', '/operator/status'),
		jobs: () => get('jobs', '/operator/jobs'),
		explain: (kind, name) =>
			get('explain', `/operator/explain/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`),
		burn: () => get('burn', '/operator/burn'),
		close: () => dispatcher.close(),
	};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
