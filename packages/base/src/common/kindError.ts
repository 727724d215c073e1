import VError from 'verror';
import { errorResponses, isErrorKind, type ErrorResponse, type ErrorKind } from './errorKinds.js';

/** Options of {@link kindError}. */
export interface KindErrorOptions {
	/** The error that caused this one. */
	readonly cause?: unknown;
	/** Diagnostic values; never API keys or payloads. */
	readonly details?: Readonly<Record<string, string | number | boolean>>;
}

/** Creates an error that carries its kind, from which the server looks up the response. */
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

/** Returns the kind of any thrown value; values without a kind are `internal`. */
export function errorKindOf(error: unknown): ErrorKind {
	if (!(error instanceof Error)) {
		return 'internal';
	}
	const kind: unknown = VError.info(error).kind;
	return isErrorKind(kind) ? kind : 'internal';
}

/** Returns one value from the details of an error; `undefined` when the error has no such detail. */
export function errorDetailOf(error: unknown, name: string): string | number | boolean | undefined {
	const details: unknown = error instanceof Error ? VError.info(error).details : undefined;
	return (details as KindErrorOptions['details'])?.[name];
}

/** Returns the response to any thrown value, by its kind. */
export function errorResponseOf(error: unknown): ErrorResponse {
	return errorResponses[errorKindOf(error)];
}

/** Returns the message of any thrown value, including the messages of its causes. */
export function errorMessageOf(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
