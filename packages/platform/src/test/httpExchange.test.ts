import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { Agent } from 'undici';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { exchange, type ExchangeResult } from '../node/httpExchange.js';

/** A server in a thread of its own, so that it answers while the thread of the test is busy. */
const serverSource = `
	const { createServer } = require('node:http');
	const { parentPort } = require('node:worker_threads');
	const server = createServer((request, response) => {
		setTimeout(() => response.end('ok'), Number(request.url.slice(1)));
	});
	server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

let server: Worker;
let origin: string;
let agent: Agent;

beforeEach(async () => {
	server = new Worker(serverSource, { eval: true });
	const [port] = (await once(server, 'message')) as [number];
	origin = `http://127.0.0.1:${port}`;
	agent = new Agent();
	await call(0, 5_000);
});

afterEach(async () => {
	await agent.destroy();
	await server.terminate();
});

const call = (answerAfterMs: number, timeoutMs: number, onSent?: () => void): Promise<ExchangeResult> =>
	exchange(agent, {
		origin,
		method: 'GET',
		path: `/${answerAfterMs}`,
		signal: new AbortController().signal,
		timeoutMs,
		maximumBytes: 100,
		...(onSent === undefined ? {} : { onSent }),
	});

/** Keeps the thread busy, so that it reads no socket meanwhile. */
function blockFor(milliseconds: number): void {
	const until = performance.now() + milliseconds;
	let now = performance.now();
	while (now < until) {
		now = performance.now();
	}
}

describe('an exchange whose time-out has passed', () => {
	// A leader that was short of processor time took workers for silent whose answers had arrived, and closed their connections.
	it('ends with the answer if that arrived while the process was busy', async () => {
		const result = await call(20, 50, () => setImmediate(() => blockFor(300)));
		expect(result.type).toBe('answer');
	});

	it('fails without an answer', async () => {
		const result = await call(2_000, 50);
		expect(result).toMatchObject({ type: 'failed', fault: 'aborted', sent: true });
	});
});
