import { Catch, HttpException, type ArgumentsHost, type ExceptionFilter } from '@nestjs/common';
import { errorResponses, type ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import { errorDetailOf, errorKindOf, errorMessageOf } from '@chestnutwheel/base/common/kindError.js';

/** Seconds after which a caller may try again when the error kind allows it. */
const RETRY_AFTER_SECONDS = 1;

/** The part of a Fastify reply that an error needs; Fastify's own type differs by server type. */
interface ErrorReply {
	status(code: number): ErrorReply;
	header(name: string, value: string): ErrorReply;
	send(body: object): unknown;
}

/** Sends the answer that the error table gives for a kind. */
export function sendError(reply: ErrorReply, kind: ErrorKind, message: string): void {
	const { status, outcome, mayRetry } = errorResponses[kind];
	if (mayRetry) {
		reply.header('retry-after', String(RETRY_AFTER_SECONDS));
	}
	reply.status(status).header('content-type', 'application/json').send({ error: { kind, message, outcome } });
}

/** Maps every thrown value to the answer of the one error table. */
@Catch()
export class ErrorFilter implements ExceptionFilter {
	catch(error: unknown, host: ArgumentsHost): void {
		const reply = host.switchToHttp().getResponse<ErrorReply>();
		const kind = kindOfEdgeError(error);
		const requestId = errorDetailOf(error, 'requestId');
		if (requestId !== undefined) {
			reply.header('x-request-id', String(requestId));
		}
		// Errors without a kind are programming errors; their text may hold payloads.
		sendError(reply, kind, kind === 'internal' ? 'internal error' : errorMessageOf(error));
	}
}

/** Kinds of the errors that Nest and Fastify raise before a route is reached, by HTTP status. */
const kindsByStatus: Readonly<Record<number, ErrorKind>> = {
	400: 'bad-request',
	404: 'unknown-item',
	413: 'body-too-large',
	415: 'bad-request',
};

function kindOfEdgeError(error: unknown): ErrorKind {
	const kind = errorKindOf(error);
	return kind === 'internal' ? (kindsByStatus[statusOf(error)] ?? kind) : kind;
}

function statusOf(error: unknown): number {
	if (error instanceof HttpException) {
		return error.getStatus();
	}
	return error instanceof Error && 'statusCode' in error ? Number(error.statusCode) : 500;
}
