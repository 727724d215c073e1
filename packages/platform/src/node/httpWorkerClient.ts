import { errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import { Agent, Client } from 'undici';
import type { z } from 'zod';
import type { JobStartAttempt, WorkerClient, WorkerCommandAnswer } from '../common/workerClient.js';
import { endpointHeaders, type WorkerJobStatus, type WorkerStatus } from '../common/workerProtocol.js';
import { exchange } from './httpExchange.js';
import { expectJson, jsonExchange, parseJson, unreachable, type JsonRequest } from './jsonExchange.js';
import { runAttempt, type TaskQuestionAnswer } from './requestAttempt.js';
import { jobStatusSchema, notStartedSchema, usageSchema, workerStatusSchema } from './workerSchemas.js';

/** Options of {@link createHttpWorkerClient}. */
export interface HttpWorkerClientOptions {
	/** Time-out of calls other than requests; 1,000 ms by default. */
	readonly callTimeoutMs?: number;
	/** Time-out for opening a connection; 1,000 ms by default. */
	readonly connectTimeoutMs?: number;
	/** Connections for requests to one worker; 8 by default, one per slot. */
	readonly connectionsPerWorker?: number;
	/** Time without a byte after which the worker is asked about the task; 2,000 ms by default. */
	readonly silenceMs?: number;
	/** Time left for a late answer after the worker said that the task does not run; 250 ms by default. */
	readonly silenceGraceMs?: number;
	/** Largest answer that is passed on; 8 MiB by default. */
	readonly maximumAnswerBytes?: number;
}

/** Idle connections close after this time, so that several daemons stay under a worker's bound of connections. */
const IDLE_CONNECTION_MS = 4_000;

/** Creates a client of the workers. */
export function createHttpWorkerClient(options: HttpWorkerClientOptions = {}): WorkerClient {
	const {
		callTimeoutMs = 1_000,
		connectTimeoutMs = 1_000,
		connectionsPerWorker = 8,
		silenceMs = 2_000,
		silenceGraceMs = 250,
		maximumAnswerBytes = 8 * 1024 * 1024,
	} = options;
	const connect = { timeout: connectTimeoutMs, keepAlive: true };
	const idle = { keepAliveTimeout: IDLE_CONNECTION_MS, keepAliveMaxTimeout: IDLE_CONNECTION_MS };
	// The deadline and the silence check bound a request; undici's own time-outs would end slow healthy ones.
	const requests = new Agent({
		connections: connectionsPerWorker,
		pipelining: 1,
		connect,
		...idle,
		headersTimeout: 0,
		bodyTimeout: 0,
	});
	// Separate from the requests, so that a status is not queued behind running requests.
	const calls = new Agent({ connections: 2, pipelining: 1, connect, ...idle });

	const askTask = async (address: string, taskId: string): Promise<TaskQuestionAnswer> => {
		const fresh = new Client(address, { connect: { timeout: connectTimeoutMs } });
		try {
			const result = await exchange(fresh, {
				origin: address,
				method: 'GET',
				path: '/worker/status',
				signal: AbortSignal.timeout(callTimeoutMs),
				maximumBytes: maximumAnswerBytes,
			});
			const status =
				result.type === 'answer' && result.status === 200
					? parseJson(workerStatusSchema, result.body.toString('utf8'))
					: undefined;
			if (status === undefined) {
				return 'unanswered';
			}
			return status.running.some(task => task.taskId === taskId) ? 'running' : 'not-running';
		} finally {
			void fresh.destroy();
		}
	};

	const requestOf = (
		method: JsonRequest['method'],
		origin: string,
		path: string,
		body: unknown,
		signal: AbortSignal | undefined,
	): JsonRequest => ({ origin, method, path, body, timeoutMs: callTimeoutMs, signal });

	const call = async <Value>(schema: z.ZodType<Value>, request: JsonRequest): Promise<Value> =>
		expectJson('worker', schema, request, await jsonExchange(calls, request));

	const jobPath = (taskId: string): string => `/worker/jobs/${encodeURIComponent(taskId)}`;

	/** Status 404 says that the worker does not know the job; 409 that it refused the term. */
	const jobCall = async (request: JsonRequest): Promise<WorkerJobStatus | undefined> => {
		const result = await jsonExchange(calls, request);
		return result.type === 'answer' && (result.status === 404 || result.status === 409)
			? undefined
			: expectJson('worker', jobStatusSchema, request, result);
	};

	const command = async (
		address: string,
		name: 'drain' | 'resume' | 'reboot',
		boot: string,
		signal: AbortSignal | undefined,
	): Promise<WorkerCommandAnswer> => {
		const request = requestOf('POST', address, `/worker/${name}`, { boot }, signal);
		const result = await jsonExchange(calls, request);
		return result.type === 'answer' && result.status === 409
			? { type: 'refused', reason: 'wrong-boot' }
			: { type: 'done', status: expectJson<WorkerStatus>('worker', workerStatusSchema, request, result) };
	};

	const attempt = { dispatcher: requests, askTask, silenceMs, silenceGraceMs, maximumAnswerBytes };

	return {
		status: (address, signal) =>
			call(workerStatusSchema, requestOf('GET', address, '/worker/status', undefined, signal)),
		fence: (address, cell, term, signal) =>
			call(workerStatusSchema, requestOf('POST', address, '/worker/fence', { cell, term }, signal)),
		runRequest: (address, permit, body, runOptions) => runAttempt(attempt, address, permit, body, runOptions),
		startJob: async (address, start, signal): Promise<JobStartAttempt> => {
			const result = await jsonExchange(calls, requestOf('POST', address, '/worker/jobs', start, signal));
			if (result.type === 'failed') {
				const message = errorMessageOf(result.error);
				return result.sent
					? { type: 'unknown', kind: 'endpoint-failed', message }
					: { type: 'not-started', reason: 'not-sent', message };
			}
			const answeredTask = result.headers[endpointHeaders.taskId];
			if (answeredTask !== start.permit.taskId) {
				return {
					type: 'unknown',
					kind: 'answer-mismatched',
					message: 'the answer does not carry the identifier of this task',
				};
			}
			if (result.status >= 200 && result.status < 300) {
				return { type: 'started' };
			}
			const reason = notStartedSchema.safeParse(result.headers[endpointHeaders.notStarted]);
			return result.status === 409 && reason.success
				? { type: 'not-started', reason: reason.data }
				: { type: 'unknown', kind: 'endpoint-failed', message: `the worker answered with status ${result.status}` };
		},
		renewJob: (address, taskId, renewal, signal) =>
			jobCall(requestOf('POST', address, `${jobPath(taskId)}/renew`, renewal, signal)),
		jobStatus: (address, taskId, signal) => jobCall(requestOf('GET', address, jobPath(taskId), undefined, signal)),
		checkpointJob: (address, taskId, signal) =>
			jobCall(requestOf('POST', address, `${jobPath(taskId)}/checkpoint`, {}, signal)),
		throttleJob: (address, taskId, fraction, signal) =>
			jobCall(requestOf('POST', address, `${jobPath(taskId)}/throttle`, { fraction }, signal)),
		stopJob: (address, taskId, signal) => jobCall(requestOf('POST', address, `${jobPath(taskId)}/stop`, {}, signal)),
		deleteJob: async (address, taskId, signal) => {
			const request = requestOf('DELETE', address, jobPath(taskId), undefined, signal);
			const result = await jsonExchange(calls, request);
			if (result.type !== 'answer' || (result.status !== 204 && result.status !== 404)) {
				throw unreachable('worker', request, result);
			}
		},
		drain: (address, boot, signal) => command(address, 'drain', boot, signal),
		resume: (address, boot, signal) => command(address, 'resume', boot, signal),
		reboot: (address, boot, signal) => command(address, 'reboot', boot, signal),
		usage: (address, signal) => call(usageSchema, requestOf('GET', address, '/worker/usage', undefined, signal)),
		close: async () => {
			await Promise.all([requests.destroy(), calls.destroy()]);
		},
	};
}
