import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import type { RequestAttempt, WorkerClient } from '../common/workerClient.js';
import type { RunningTask, StartPermit } from '../common/workerProtocol.js';
import { createHttpWorkerClient } from '../node/httpWorkerClient.js';

const permit: StartPermit = {
	taskId: 'task-1',
	cell: 'cell',
	team: 'team',
	queue: 'queue',
	term: 1,
	boot: 'boot',
	startByMs: 1e9,
	leaseMs: 60_000,
};

const runningTask: RunningTask = { taskId: 'task-1', team: 'team', queue: 'queue', kind: 'request', term: 1 };

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const open: { server?: Server; client?: WorkerClient } = {};

/** Runs the request against a server with the given answers. */
async function attemptAgainst(endpoint: Handler, status: Handler = () => undefined): Promise<RequestAttempt> {
	const server = createServer((request, response) => {
		request.resume();
		request.on('end', () => (request.url === '/worker/status' ? status : endpoint)(request, response));
	});
	open.server = server;
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
	const client = createHttpWorkerClient({ silenceMs: 20, silenceGraceMs: 20, callTimeoutMs: 2_000 });
	open.client = client;
	const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
	return client.runRequest(address, permit, Buffer.from('body'), { contentType: 'text/plain', deadline: 20_000 });
}

function sendStatus(response: ServerResponse, running: readonly RunningTask[]): void {
	const status = { host: 'h', boot: 'boot', clockMs: 0, slots: 8, draining: false, terms: {}, running };
	const text = JSON.stringify(status);
	response.writeHead(200, { 'content-length': Buffer.byteLength(text) }).end(text);
}

function answerWith(status: number, headers: Record<string, string>, body = 'ok'): Handler {
	return (_request, response) =>
		void response.writeHead(status, { 'content-length': String(body.length), ...headers }).end(body);
}

afterEach(async () => {
	await open.client?.close();
	open.server?.closeAllConnections();
	open.server?.close();
});

const own = { 'x-task-id': 'task-1' };

describe('one attempt of a request', () => {
	// Guards against a false "not run": only the full proof counts, anything else may have run.
	it.each<[string, Handler, object]>([
		['a refusal with proof', answerWith(409, { ...own, 'x-not-started': 'draining' }), { type: 'not-started' }],
		[
			'a refusal without the task identifier',
			answerWith(409, { 'x-not-started': 'draining' }),
			{ kind: 'answer-mismatched' },
		],
		[
			'a refusal of another task',
			answerWith(409, { 'x-task-id': 'task-2', 'x-not-started': 'draining' }),
			{ kind: 'answer-mismatched' },
		],
		[
			'a refusal for an undefined reason',
			answerWith(409, { ...own, 'x-not-started': 'tired' }),
			{ kind: 'endpoint-failed' },
		],
		['a conflict of the service itself', answerWith(409, own), { type: 'answer', status: 409 }],
		[
			'the proof under another status',
			answerWith(503, { ...own, 'x-not-started': 'draining' }),
			{ type: 'answer', status: 503 },
		],
		['a cut before the answer', (_request, response) => void response.destroy(), { kind: 'endpoint-failed' }],
		['an empty answer without a body', answerWith(204, own, ''), { type: 'answer', status: 204 }],
		['an invalid length', answerWith(200, { ...own, 'transfer-encoding': 'chunked' }), { type: 'unknown' }],
	])('classifies %s', async (_name, endpoint, expected) => {
		expect(await attemptAgainst(endpoint)).toMatchObject(expected);
	});

	it('waits on when a status question is answered after two that were not, so that slow work is not killed', async () => {
		let finish: () => void = () => undefined;
		let questions = 0;
		const attempt = await attemptAgainst(
			(_request, response) => {
				finish = () => answerWith(200, own)(_request, response);
			},
			(_request, response) => {
				questions++;
				// Two lost questions, one answer, two lost questions, and then the answer of the request.
				if (questions === 3) {
					sendStatus(response, [runningTask]);
				} else if (questions === 6) {
					finish();
				} else {
					response.destroy();
				}
			},
		);
		expect(attempt).toMatchObject({ type: 'answer', status: 200 });
	});

	it('takes an answer that arrives while the worker already says that the task has ended', async () => {
		let finish: () => void = () => undefined;
		const attempt = await attemptAgainst(
			(_request, response) => {
				finish = () => answerWith(200, own)(_request, response);
			},
			(_request, response) => {
				sendStatus(response, []);
				finish();
			},
		);
		expect(attempt).toMatchObject({ type: 'answer', status: 200 });
	});

	it('ends as silent when the worker does not run the task, and when three questions in a row are lost', async () => {
		const silence: Handler = () => undefined;
		const notRunning = await attemptAgainst(silence, (_request, response) => sendStatus(response, []));
		expect(notRunning).toMatchObject({ type: 'unknown', kind: 'endpoint-silent' });
		await open.client?.close();
		open.server?.closeAllConnections();
		open.server?.close();
		let questions = 0;
		const unanswered = await attemptAgainst(silence, (_request, response) => {
			questions++;
			response.destroy();
		});
		expect(unanswered).toMatchObject({ type: 'unknown', kind: 'endpoint-silent' });
		expect(questions).toBe(3);
	});
});
