/** What is known about the work of a call that ended in an error. */
export type Outcome = 'not-run' | 'unknown' | 'ran' | 'not-applicable';

/** The answer that every entry point gives for one error kind. */
export interface ErrorAnswer {
	/** HTTP status on the caller and operator interfaces. */
	readonly status: number;
	/** Exit code of the command line; the values above 63 follow sysexits.h. */
	readonly exitCode: number;
	/** The strongest statement about the work that is true for every error of this kind. */
	readonly outcome: Outcome;
	/** Whether the same call may succeed later without a change. */
	readonly mayRetry: boolean;
}

const answer = (status: number, exitCode: number, outcome: Outcome, mayRetry: boolean): ErrorAnswer => ({
	status,
	exitCode,
	outcome,
	mayRetry,
});

/** The closed list of error kinds and the only table from kind to answer. */
export const errorAnswers = {
	// Refused at the entry host, before any endpoint was asked.
	'bad-request': answer(400, 64, 'not-run', false),
	'missing-deadline': answer(400, 64, 'not-run', false),
	'missing-request-key': answer(400, 64, 'not-run', false),
	'body-too-large': answer(413, 64, 'not-run', false),
	'unknown-key': answer(401, 77, 'not-run', false),
	'key-not-allowed': answer(403, 77, 'not-run', false),
	'unknown-queue': answer(404, 66, 'not-run', false),
	'unknown-job': answer(404, 66, 'not-applicable', false),
	'job-not-finished': answer(409, 75, 'not-applicable', true),
	'not-ready': answer(503, 75, 'not-run', true),
	'not-a-member': answer(503, 75, 'not-run', true),
	'stale-configuration': answer(503, 75, 'not-run', true),
	stopping: answer(503, 75, 'not-run', true),
	overloaded: answer(503, 75, 'not-run', true),
	// Refused by the cell leader.
	'no-leader': answer(503, 75, 'not-run', true),
	'queue-full': answer(429, 75, 'not-run', true),
	'deadline-passed': answer(504, 75, 'not-run', false),
	cancelled: answer(499, 75, 'not-run', false),
	'log-unavailable': answer(503, 75, 'not-run', true),
	'request-key-used': answer(409, 65, 'unknown', false),
	'job-limit-reached': answer(503, 75, 'not-run', true),
	'not-started': answer(503, 75, 'not-run', true),
	'retry-budget-spent': answer(503, 75, 'not-run', true),
	// Ended after bytes were sent to an endpoint.
	'endpoint-failed': answer(502, 75, 'unknown', false),
	'endpoint-silent': answer(504, 75, 'unknown', false),
	'answer-truncated': answer(502, 75, 'unknown', false),
	'answer-mismatched': answer(502, 75, 'unknown', false),
	'answer-too-large': answer(502, 75, 'unknown', false),
	'cancelled-running': answer(499, 75, 'unknown', false),
	'deadline-exceeded': answer(504, 75, 'unknown', false),
	'job-cannot-run': answer(422, 65, 'ran', false),
	'job-cancelled': answer(410, 65, 'not-applicable', false),
	'job-outcome-unknown': answer(502, 75, 'unknown', false),
	// Operator interface and command line.
	'operator-unauthorized': answer(401, 77, 'not-applicable', false),
	'note-invalid': answer(400, 65, 'not-applicable', false),
	'note-refused': answer(409, 65, 'not-applicable', false),
	'note-conflict': answer(409, 65, 'not-applicable', false),
	'append-unknown': answer(504, 75, 'unknown', true),
	'unknown-item': answer(404, 66, 'not-applicable', false),
	'not-in-force': answer(504, 75, 'not-applicable', true),
	'daemon-unreachable': answer(503, 69, 'not-applicable', true),
	'settings-invalid': answer(500, 78, 'not-applicable', false),
	usage: answer(400, 64, 'not-applicable', false),
	// Between processes.
	'log-record-expired': answer(410, 75, 'not-applicable', false),
	'platform-unreachable': answer(503, 69, 'not-applicable', true),
	'peer-unreachable': answer(503, 69, 'unknown', true),
	internal: answer(500, 70, 'unknown', false),
} as const satisfies Record<string, ErrorAnswer>;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof errorAnswers;

/** Tells whether a string that arrived from outside names an error kind. */
export function isErrorKind(value: unknown): value is ErrorKind {
	return typeof value === 'string' && Object.hasOwn(errorAnswers, value);
}
