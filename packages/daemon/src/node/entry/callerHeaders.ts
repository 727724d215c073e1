import type { IncomingHttpHeaders } from 'node:http';
import { kindError } from '@chestnutwheel/base/common/kindError.js';
import type { WorkClass } from '@chestnutwheel/dispatch/common/dispatchMessages.js';
import { MAXIMUM_DEADLINE_MS, MAXIMUM_REQUEST_KEY_LENGTH } from './callerRequest.js';

/** What the headers of a caller's request say. */
export interface CallerHeaders {
	readonly key: string | undefined;
	readonly class: WorkClass;
	/** Time from arrival until the caller wants the answer. */
	readonly remainingMs: number;
	readonly repeatable: boolean;
	readonly requestKey: string | undefined;
	readonly contentType: string;
}

/** Header names of the caller protocol. */
export const callerHeaderNames = {
	deadline: 'x-deadline-ms',
	class: 'x-class',
	repeatable: 'x-repeatable',
	requestKey: 'x-request-key',
} as const;

const workClasses: readonly WorkClass[] = ['urgent', 'normal', 'research'];
const repeatableValues: Readonly<Record<string, boolean>> = { yes: true, no: false };

/**
 * Reads the headers of a short request.
 * @throws `missing-deadline`, `missing-request-key` or `bad-request`; the message names the header and what is allowed
 */
export function readCallerHeaders(headers: IncomingHttpHeaders): CallerHeaders {
	const repeatable = readRepeatable(headers);
	const requestKey = readRequestKey(headers);
	if (!repeatable && requestKey === undefined) {
		throw kindError(
			'missing-request-key',
			`${callerHeaderNames.requestKey} is required with ${callerHeaderNames.repeatable}: no; allowed: 1 to ${MAXIMUM_REQUEST_KEY_LENGTH} characters`,
		);
	}
	return {
		key: readKey(headers),
		class: readClass(headers),
		remainingMs: readDeadline(headers),
		repeatable,
		requestKey,
		contentType: headers['content-type'] ?? 'application/octet-stream',
	};
}

/** The caller's key from the `authorization` header; `undefined` when there is none. */
export function readKey(headers: IncomingHttpHeaders): string | undefined {
	const match = /^Bearer (\S+)$/.exec(headers.authorization ?? '');
	return match?.[1];
}

/** The request key; `undefined` when there is none. */
export function readRequestKey(headers: IncomingHttpHeaders): string | undefined {
	const value = one(headers, callerHeaderNames.requestKey);
	if (value !== undefined && (value.length === 0 || value.length > MAXIMUM_REQUEST_KEY_LENGTH)) {
		throw invalid(callerHeaderNames.requestKey, value, `1 to ${MAXIMUM_REQUEST_KEY_LENGTH} characters`);
	}
	return value;
}

/** Whether the work may be repeated; `yes` when the header is missing. */
export function readRepeatable(headers: IncomingHttpHeaders): boolean {
	const value = one(headers, callerHeaderNames.repeatable) ?? 'yes';
	const repeatable = repeatableValues[value];
	if (repeatable === undefined) {
		throw invalid(callerHeaderNames.repeatable, value, 'yes or no');
	}
	return repeatable;
}

function readDeadline(headers: IncomingHttpHeaders): number {
	const value = one(headers, callerHeaderNames.deadline);
	if (value === undefined) {
		throw kindError(
			'missing-deadline',
			`${callerHeaderNames.deadline} is required; allowed: 1 to ${MAXIMUM_DEADLINE_MS} milliseconds`,
		);
	}
	const remainingMs = /^\d+$/.test(value) ? Number(value) : Number.NaN;
	if (!Number.isInteger(remainingMs) || remainingMs < 1 || remainingMs > MAXIMUM_DEADLINE_MS) {
		throw invalid(callerHeaderNames.deadline, value, `a whole number from 1 to ${MAXIMUM_DEADLINE_MS}`);
	}
	return remainingMs;
}

function readClass(headers: IncomingHttpHeaders): WorkClass {
	const value = one(headers, callerHeaderNames.class) ?? 'normal';
	const found = workClasses.find(workClass => workClass === value);
	if (found === undefined) {
		throw invalid(callerHeaderNames.class, value, workClasses.join(', '));
	}
	return found;
}

function one(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
}

function invalid(name: string, found: string, allowed: string): Error {
	return kindError('bad-request', `${name}: found ${JSON.stringify(found)}; allowed: ${allowed}`);
}
