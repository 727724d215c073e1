import { kindError, errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import { Agent } from 'undici';
import { z } from 'zod';
import type { LogAppendAnswer, LogClient, LogReadAnswer } from '../common/logProtocol.js';
import { expectJson, jsonExchange, parseJson, unreachable, type JsonRequest } from './jsonExchange.js';

/** Options of {@link createHttpLogClient}. */
export interface HttpLogClientOptions {
	/** `http://IP:port` of the log service. */
	readonly baseUrl: string;
	/** Time-out of a read; the default of 2,500 ms leaves 1,500 ms after the longest poll of the server. */
	readonly readTimeoutMs?: number;
	/** Time-out of an append; 2,500 ms by default. */
	readonly appendTimeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 2_500;

/** Reads poll, so each stream that is followed occupies one connection. */
const CONNECTIONS = 8;

/** Statuses by which the log says that it appended nothing. */
const NOT_APPENDED_STATUSES: ReadonlySet<number> = new Set([400, 404, 413, 429, 503]);

const appendSchema: z.ZodType<LogAppendAnswer> = z.object({ offset: z.number().int().min(0) });

const readSchema: z.ZodType<LogReadAnswer> = z.object({
	firstOffset: z.number().int().min(0),
	endOffset: z.number().int().min(0),
	records: z.array(z.object({ offset: z.number().int().min(0), value: z.string() })),
});

/** A client of the log service that also owns its connections. */
export interface HttpLogClient extends LogClient {
	/** Closes all connections. */
	close(): Promise<void>;
}

/** Creates a client of the log service. */
export function createHttpLogClient(options: HttpLogClientOptions): HttpLogClient {
	const { baseUrl, readTimeoutMs = DEFAULT_TIMEOUT_MS, appendTimeoutMs = DEFAULT_TIMEOUT_MS } = options;
	const origin = new URL(baseUrl).origin;
	const agent = new Agent({ connections: CONNECTIONS, pipelining: 1, connect: { timeout: appendTimeoutMs } });

	const pathOf = (stream: string): string => `/streams/${encodeURIComponent(stream)}/records`;

	return {
		append: async (stream, value, signal) => {
			const request: JsonRequest = {
				origin,
				method: 'POST',
				path: pathOf(stream),
				body: { value },
				timeoutMs: appendTimeoutMs,
				signal,
			};
			const result = await jsonExchange(agent, request);
			if (result.type === 'answer' && result.status >= 200 && result.status < 300) {
				const appended = parseJson(appendSchema, result.body.toString('utf8'));
				if (appended !== undefined) {
					return appended.offset;
				}
			}
			if (result.type === 'answer' ? NOT_APPENDED_STATUSES.has(result.status) : !result.sent) {
				throw unreachable('log', request, result);
			}
			const found = result.type === 'answer' ? `status ${result.status}` : errorMessageOf(result.error);
			throw kindError('append-unknown', `the record may have been appended to the stream ${stream}: ${found}`, {
				cause: result.type === 'failed' ? result.error : undefined,
			});
		},
		read: async (stream, from, { limit = 1_000, waitMs = 0, signal } = {}) => {
			const request: JsonRequest = {
				origin,
				method: 'GET',
				path: `${pathOf(stream)}?from=${from}&limit=${limit}&waitMs=${Math.round(waitMs)}`,
				timeoutMs: readTimeoutMs,
				signal,
			};
			const result = await jsonExchange(agent, request);
			if (result.type === 'answer' && result.status === 410) {
				throw kindError('log-record-expired', `the record ${from} of the stream ${stream} is no longer kept`);
			}
			return expectJson('log', readSchema, request, result);
		},
		close: () => agent.destroy(),
	};
}
