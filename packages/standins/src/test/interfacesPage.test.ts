import { readFileSync } from 'node:fs';
import { Agent, request } from 'undici';
import { describe, expect, it } from 'vitest';
import { createHostListStandin } from '../node/hostListStandin.js';
import { createLogStandin } from '../node/logStandin.js';
import { createWorkerStandin } from '../node/workerStandin.js';
import { until } from './workerHarness.js';

interface Message {
	readonly firstLine: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
}

interface Example {
	readonly service: string;
	readonly request: Message;
	readonly answer: Message;
}

/** Headers that the page promises to match; all others are left to HTTP. */
const COMPARED_HEADERS = ['x-task-id', 'x-not-started'];

function parseMessage(text: string): Message {
	const [head = '', ...body] = text.trim().split('\n\n');
	const [firstLine = '', ...lines] = head.split('\n');
	const headers = lines.map(line => line.split(/:\s*(.*)/, 2) as [string, string]);
	return { firstLine, headers: Object.fromEntries(headers), body: body.join('\n\n') };
}

function readExamples(): readonly Example[] {
	const page = readFileSync(new URL('../../../../docs/interfaces.md', import.meta.url), 'utf8');
	return [...page.matchAll(/^```http (log|host-list|worker)\n(.*?)^```$/gms)].map(([, service = '', text = '']) => {
		const split = text.search(/^HTTP\/1\.1 /m);
		return { service, request: parseMessage(text.slice(0, split)), answer: parseMessage(text.slice(split)) };
	});
}

/** The keys of a JSON value at all levels; the items of a list count as one. */
function keysOf(value: unknown, path = ''): readonly string[] {
	if (Array.isArray(value)) {
		return value.slice(0, 1).flatMap(item => keysOf(item, `${path}[]`));
	}
	if (typeof value !== 'object' || value === null) {
		return [path];
	}
	return [path, ...Object.entries(value).flatMap(([key, item]) => keysOf(item, `${path}.${key}`))].sort();
}

function parseBody(body: string): unknown {
	return body === '' ? undefined : JSON.parse(body);
}

function shapeOf(status: number, headers: Readonly<Record<string, unknown>>, body: string): object {
	const compared = Object.fromEntries(COMPARED_HEADERS.map(name => [name, headers[name]]));
	return { status, ...compared, keys: keysOf(parseBody(body)) };
}

const starters = {
	log: () => createLogStandin(),
	'host-list': () => createHostListStandin(),
	worker: () => createWorkerStandin({ host: 'worker-1', rebootMs: 5, usageLagMs: 0 }),
};

// Guards against a page that no longer describes what the stand-ins, and thus the clients, do.
describe('the examples of docs/interfaces.md', () => {
	const examples = readExamples();

	it.each(Object.entries(starters))('hold for the stand-in %s', async (service, start) => {
		const standin = await start();
		const dispatcher = new Agent();
		let boot = '';
		const own = examples.filter(example => example.service === service);
		expect(own.length).toBeGreaterThanOrEqual(3);
		for (const { request: asked, answer } of own) {
			const [method = '', path = ''] = asked.firstLine.split(' ');
			const replace = (text: string): string => text.replaceAll('{boot}', boot);
			const headers = Object.entries(asked.headers).map(([name, value]) => [name, replace(value)]);
			const expected = shapeOf(Number(answer.firstLine.split(' ')[1]), answer.headers, answer.body);
			let found: object = {};
			const ask = async (): Promise<boolean> => {
				const got = await request(standin.address + path, {
					method,
					dispatcher,
					headers: Object.fromEntries(headers) as Record<string, string>,
					...(asked.body === '' ? {} : { body: replace(asked.body) }),
				});
				const text = await got.body.text();
				boot = (parseBody(text) as { boot?: string } | undefined)?.boot ?? boot;
				found = shapeOf(got.statusCode, got.headers, text);
				return JSON.stringify(found) === JSON.stringify(expected);
			};
			if (method === 'GET') {
				let attempts = 0;
				await until(async () => (await ask().catch(() => false)) || ++attempts > 200);
			} else {
				await ask();
			}
			expect(found, asked.firstLine).toEqual(expected);
		}
		await dispatcher.close();
		await standin.close();
	});
});
