import { createHash, randomUUID } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { Clock } from '@chestnutwheel/base/common/clock.js';
import { kindError, errorKindOf } from '@chestnutwheel/base/common/kindError.js';
import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import type { FleetState, Queue } from '@chestnutwheel/configuration/common/fleetState.js';
import type { JobResponse, JobView } from '../../common/peerProtocol.js';
import type { CellCalls } from '../peers/cellCalls.js';
import type { Admission } from './admission.js';
import type { Authenticator } from './authenticator.js';
import { readCallerHeaders, readKey, readRepeatable, readRequestKey } from './callerHeaders.js';
import type { CallerAnswer } from './callerRequest.js';
import type { RequestRunner } from './requestRunner.js';

/** Injection token of the {@link CallerService}. */
export const CALLER_SERVICE = Symbol('CallerService');

/** What callers can ask for. Every method throws errors of the closed list. */
export interface CallerService {
	request(queue: string, headers: IncomingHttpHeaders, body: Uint8Array, signal: AbortSignal): Promise<CallerAnswer>;
	submitJob(queue: string, headers: IncomingHttpHeaders, body: Uint8Array): Promise<JobView>;
	job(jobId: string, headers: IncomingHttpHeaders): Promise<JobView>;
	jobResult(jobId: string, headers: IncomingHttpHeaders): Promise<string>;
	cancelJob(jobId: string, headers: IncomingHttpHeaders): Promise<JobView>;
}

/** The end of one request, for the burn report. */
export interface RequestEnded {
	readonly team: string | undefined;
	readonly queue: string;
	readonly latencyMs: number;
	/** Error kind; `undefined` when the endpoint gave an answer without a server error. */
	readonly failure: ErrorKind | undefined;
}

/** What the service needs. */
export interface CallerServiceOptions {
	readonly state: () => FleetState;
	readonly authenticator: Authenticator;
	readonly admission: Admission;
	readonly runner: RequestRunner;
	readonly calls: CellCalls;
	readonly clock: Clock;
	readonly onEnded: (ended: RequestEnded) => void;
}

/** Largest payload of a long job; it is kept in the log. */
const MAXIMUM_PAYLOAD_BYTES = 65_536;
/** Time that the leader has to record a long job. */
const SUBMIT_WITHIN_MS = 10_000;
/** Characters of a hash that identify a job; 128 bits. */
const JOB_ID_LENGTH = 32;

/** Creates the service behind the caller routes. */
export function createCallerService(options: CallerServiceOptions): CallerService {
	const { admission, authenticator, calls, clock, runner } = options;

	const cellOf = (queue: Queue): string => {
		const cell = options.state().pools[queue.pools[0] ?? '']?.cell;
		if (cell === undefined) {
			throw kindError('unknown-queue', `the queue ${queue.name} has no pool`);
		}
		return cell;
	};

	const cellOfTeam = (team: string): string => {
		const state = options.state();
		const queue = state.queues[state.teams[team]?.queues[0] ?? ''];
		if (queue === undefined) {
			throw kindError('unknown-job', 'the team has no queue');
		}
		return cellOf(queue);
	};

	const jobOf = (response: JobResponse): JobView => {
		if (!response.ok) {
			throw kindError(response.kind, response.reason);
		}
		return response.job;
	};

	const askAboutJob = async (
		method: 'job.get' | 'job.cancel',
		jobId: string,
		headers: IncomingHttpHeaders,
	): Promise<JobView> => {
		const { team } = authenticator.identify(readKey(headers));
		const cell = cellOfTeam(team);
		return jobOf(await calls.toLeader(cell, method, { cell, team, jobId }));
	};

	const timed = async (team: string | undefined, queue: string, work: Promise<CallerAnswer>): Promise<CallerAnswer> => {
		const startedAt = clock.now();
		const end = (failure: ErrorKind | undefined): void =>
			options.onEnded({ team, queue, latencyMs: clock.now() - startedAt, failure });
		try {
			const answer = await work;
			end(answer.status >= 500 ? 'endpoint-failed' : undefined);
			return answer;
		} catch (error) {
			end(errorKindOf(error));
			throw error;
		}
	};

	return {
		request: async (queueName, headers, body, signal) => {
			const { remainingMs, ...fields } = readCallerHeaders(headers);
			const leave = admission.enter(body.byteLength);
			try {
				const { queue, principal } = authenticator.authorize(queueName, fields.key);
				const request = { ...fields, queue: queueName, deadline: clock.now() + remainingMs, body, signal };
				return await timed(principal.team, queueName, runner.run(request, queue, principal, cellOf(queue)));
			} finally {
				leave();
			}
		},
		submitJob: async (queueName, headers, body) => {
			if (body.byteLength > MAXIMUM_PAYLOAD_BYTES) {
				throw kindError('body-too-large', `a job's payload has at most ${MAXIMUM_PAYLOAD_BYTES} bytes`);
			}
			const repeatable = readRepeatable(headers);
			const requestKey = readRequestKey(headers);
			const leave = admission.enter(body.byteLength);
			try {
				const { queue, principal } = authenticator.authorize(queueName, readKey(headers));
				const { team, keyId } = principal;
				if (team === undefined || keyId === undefined) {
					throw kindError('unknown-key', 'a long job needs a key, also in an open queue');
				}
				const cell = cellOf(queue);
				const jobId = requestKey === undefined ? randomUUID() : deriveJobId(team, requestKey);
				const payload = Buffer.from(body).toString('utf8');
				const job = { jobId, team, keyId, queue: queueName, payload, repeatable };
				const parameters = { cell, job, remainingMs: SUBMIT_WITHIN_MS };
				return jobOf(await calls.toLeader(cell, 'job.submit', parameters, SUBMIT_WITHIN_MS));
			} finally {
				leave();
			}
		},
		job: (jobId, headers) => askAboutJob('job.get', jobId, headers),
		jobResult: async (jobId, headers) => {
			const job = await askAboutJob('job.get', jobId, headers);
			if (job.result === undefined) {
				throw kindError(
					'job-not-finished',
					`the job is ${job.state}${job.reason === undefined ? '' : `: ${job.reason}`}`,
				);
			}
			return job.result;
		},
		cancelJob: (jobId, headers) => askAboutJob('job.cancel', jobId, headers),
	};
}

/** The same team and request key always name the same job, so that a repeated submission is recognised. */
function deriveJobId(team: string, requestKey: string): string {
	return createHash('sha256')
		.update(JSON.stringify([team, requestKey]))
		.digest('hex')
		.slice(0, JOB_ID_LENGTH);
}
