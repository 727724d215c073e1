import VError from 'verror';
import { errorResponses, isErrorKind, type ErrorResponse, type ErrorKind } from './errorKinds.js';

/** Options of {@link kindError}. */
export interface KindErrorOptions {
	/** The error that caused this one. */
	readonly cause?: unknown;
	/** Plain values that help to find the place; never keys or payloads. */
	readonly details?: Readonly<Record<string, string | number | boolean>>;
}

/** Creates an error that carries its kind, so that the edge can look up the answer. */
export function kindError(kind: ErrorKind, message: string, options: KindErrorOptions = {}): VError {
	const { cause, details } = options;
	return new VError(
		{
			name: kind,
			...(cause instanceof Error ? { cause } : {}),
			info: { kind, details: details ?? {} },
		},
		'%s',
		message,
	);
}

/** The kind of any thrown value; values without a kind are `internal`. */
export function errorKindOf(error: unknown): ErrorKind {
	if (!(error instanceof Error)) {
		return 'internal';
	}
	const kind: unknown = VError.info(error).kind;
	return isErrorKind(kind) ? kind : 'internal';
}

/** A plain value that was put into an error's details; `undefined` when there is none. */
export function errorDetailOf(error: unknown, name: string): string | number | boolean | undefined {
	const details: unknown = error instanceof Error ? VError.info(error).details : undefined;
	return (details as KindErrorOptions['details'])?.[name];
}

/** The answer from the one table for any thrown value. */
export function errorResponseOf(error: unknown): ErrorResponse {
	return errorResponses[errorKindOf(error)];
}

/** The message of any thrown value, with the messages of its causes. */
export function errorMessageOf(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
