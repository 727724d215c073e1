import { kindError, errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import type { Dispatcher } from 'undici';
import type { z } from 'zod';
import { exchange, type ExchangeRequest, type ExchangeResult } from './httpExchange.js';

/** Bound of a JSON answer of a platform service; the log answers with the largest ones. */
const MAXIMUM_JSON_BYTES = 64 * 1024 * 1024;

/** One request with a JSON body and its own time-out. */
export interface JsonRequest extends Pick<ExchangeRequest, 'origin' | 'method' | 'path'> {
	readonly body?: unknown;
	readonly timeoutMs: number;
	readonly signal?: AbortSignal | undefined;
}

/** Runs an exchange with a JSON body. Never rejects. */
export function jsonExchange(dispatcher: Dispatcher, request: JsonRequest): Promise<ExchangeResult> {
	const { origin, method, path, body, timeoutMs, signal } = request;
	const timeout = AbortSignal.timeout(timeoutMs);
	return exchange(dispatcher, {
		origin,
		method,
		path,
		...(body === undefined ? {} : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) }),
		signal: signal === undefined ? timeout : AbortSignal.any([signal, timeout]),
		maximumBytes: MAXIMUM_JSON_BYTES,
	});
}

/** Parses a JSON text by a schema; `undefined` when it is not JSON or does not fit. */
export function parseJson<Value>(schema: z.ZodType<Value>, text: string): Value | undefined {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return undefined;
	}
	const parsed = schema.safeParse(value);
	return parsed.success ? parsed.data : undefined;
}

/** The error of a call to a platform service without a usable answer. */
export function unreachable(service: string, request: JsonRequest, result: ExchangeResult): Error {
	const found = result.type === 'answer' ? `answered with status ${result.status}` : errorMessageOf(result.error);
	return kindError('platform-unreachable', `${service}: ${request.method} ${request.path}: ${found}`, {
		cause: result.type === 'failed' ? result.error : undefined,
		details: { origin: request.origin },
	});
}

/** The value of a successful answer. @throws `platform-unreachable` for any other end of the exchange */
export function expectJson<Value>(
	service: string,
	schema: z.ZodType<Value>,
	request: JsonRequest,
	result: ExchangeResult,
): Value {
	if (result.type === 'answer' && result.status >= 200 && result.status < 300) {
		const value = parseJson(schema, result.body.toString('utf8'));
		if (value !== undefined) {
			return value;
		}
	}
	throw unreachable(service, request, result);
}
