/** Whether the work of a failed call was executed, as far as is known. */
export type ExecutionOutcome = 'not-run' | 'unknown' | 'ran' | 'not-applicable';

/** Response of every entry point to one error kind. */
export interface ErrorResponse {
	/** HTTP status on the caller and operator interfaces. */
	readonly status: number;
	/** Exit code of the command line; values above 63 follow sysexits.h. */
	readonly exitCode: number;
	/** The strongest statement about execution that holds for every error of this kind. */
	readonly outcome: ExecutionOutcome;
	/** Whether the same call may succeed when it is retried unchanged. */
	readonly mayRetry: boolean;
}

const response = (status: number, exitCode: number, outcome: ExecutionOutcome, mayRetry: boolean): ErrorResponse => ({
	status,
	exitCode,
	outcome,
	mayRetry,
});

/** The closed list of error kinds, and the only table that maps a kind to its response. */
export const errorResponses = {
	// Refused at the entry host, before any request to an endpoint.
	'bad-request': response(400, 64, 'not-run', false),
	'missing-deadline': response(400, 64, 'not-run', false),
	'missing-request-key': response(400, 64, 'not-run', false),
	'body-too-large': response(413, 64, 'not-run', false),
	'unknown-key': response(401, 77, 'not-run', false),
	'key-not-allowed': response(403, 77, 'not-run', false),
	'unknown-queue': response(404, 66, 'not-run', false),
	'unknown-job': response(404, 66, 'not-applicable', false),
	'job-not-finished': response(409, 75, 'not-applicable', true),
	'not-ready': response(503, 75, 'not-run', true),
	'not-a-member': response(503, 75, 'not-run', true),
	'stale-configuration': response(503, 75, 'not-run', true),
	stopping: response(503, 75, 'not-run', true),
	overloaded: response(503, 75, 'not-run', true),
	// Refused by the cell leader.
	'no-leader': response(503, 75, 'not-run', true),
	'queue-full': response(429, 75, 'not-run', true),
	'deadline-passed': response(504, 75, 'not-run', false),
	cancelled: response(499, 75, 'not-run', false),
	'log-unavailable': response(503, 75, 'not-run', true),
	'request-key-used': response(409, 65, 'unknown', false),
	'job-limit-reached': response(503, 75, 'not-run', true),
	'not-started': response(503, 75, 'not-run', true),
	'retry-budget-spent': response(503, 75, 'not-run', true),
	// Failed after bytes were sent to an endpoint.
	'endpoint-failed': response(502, 75, 'unknown', false),
	'endpoint-silent': response(504, 75, 'unknown', false),
	'answer-truncated': response(502, 75, 'unknown', false),
	'answer-mismatched': response(502, 75, 'unknown', false),
	'answer-too-large': response(502, 75, 'unknown', false),
	'cancelled-running': response(499, 75, 'unknown', false),
	'deadline-exceeded': response(504, 75, 'unknown', false),
	'job-cannot-run': response(422, 65, 'ran', false),
	'job-cancelled': response(410, 65, 'not-applicable', false),
	'job-outcome-unknown': response(502, 75, 'unknown', false),
	// Operator interface and command line.
	'operator-unauthorized': response(401, 77, 'not-applicable', false),
	'note-invalid': response(400, 65, 'not-applicable', false),
	'note-refused': response(409, 65, 'not-applicable', false),
	'note-conflict': response(409, 65, 'not-applicable', false),
	'append-unknown': response(504, 75, 'unknown', true),
	'unknown-item': response(404, 66, 'not-applicable', false),
	'not-in-force': response(504, 75, 'not-applicable', true),
	'daemon-unreachable': response(503, 69, 'not-applicable', true),
	'settings-invalid': response(500, 78, 'not-applicable', false),
	usage: response(400, 64, 'not-applicable', false),
	// Between processes.
	'log-record-expired': response(410, 75, 'not-applicable', false),
	'platform-unreachable': response(503, 69, 'not-applicable', true),
	'peer-unreachable': response(503, 69, 'unknown', true),
	internal: response(500, 70, 'unknown', false),
} as const satisfies Record<string, ErrorResponse>;

/** An error kind from the closed list. */
export type ErrorKind = keyof typeof errorResponses;

/** Whether a value received from another process names an error kind. */
export function isErrorKind(value: unknown): value is ErrorKind {
	return typeof value === 'string' && Object.hasOwn(errorResponses, value);
}
