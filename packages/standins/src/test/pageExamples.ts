import { readFileSync } from 'node:fs';
import { Agent, request } from 'undici';
import { until } from './workerHarness.js';

/** One HTTP message of an example. */
export interface ExampleMessage {
	/** The request line or the status line. */
	readonly firstLine: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
}

/** One exchange that docs/interfaces.md shows. */
export interface PageExample {
	readonly request: ExampleMessage;
	readonly answer: ExampleMessage;
}

/** What is compared of an answer. */
export interface ComparedAnswer {
	/** The request line, for the message of a failed comparison. */
	readonly firstLine: string;
	readonly expected: object;
	readonly found: object;
}

/** Headers that the page promises to match by value; all others are left to HTTP. */
const COMPARED_HEADERS = ['x-task-id', 'x-not-started', 'x-attempts', 'retry-after'];
/** Headers that must be there or not, with a value that differs between runs. */
const PRESENT_HEADERS = ['x-request-id'];
/** How often a `GET` is sent until its answer fits. */
const MAXIMUM_GETS = 1_000;

/** Reads docs/interfaces.md. */
export function readInterfacesPage(): string {
	return readFileSync(new URL('../../../../docs/interfaces.md', import.meta.url), 'utf8');
}

/** The examples of one service in the order of the page. */
export function readExamples(service: string): readonly PageExample[] {
	const blocks = readInterfacesPage().matchAll(/^```http ([a-z-]+)\n(.*?)^```$/gms);
	return [...blocks]
		.filter(block => block[1] === service)
		.map(([, , text = '']) => {
			const split = text.search(/^HTTP\/1\.1 /m);
			return { request: parseMessage(text.slice(0, split)), answer: parseMessage(text.slice(split)) };
		});
}

/**
 * Sends the requests of some examples in order and gives what has to be compared after each. A `GET` is sent again until
 * its answer fits, because jobs and lags take time.
 * @param variables replace `{name}` in requests; each answer adds the texts at the top of its JSON
 */
export async function replayExamples(
	address: string,
	examples: readonly PageExample[],
	variables: Record<string, string>,
	compare: (compared: ComparedAnswer) => void,
): Promise<void> {
	const dispatcher = new Agent();
	const replace = (text: string): string =>
		text.replace(/\{(\w+)\}/g, (whole, name: string) => variables[name] ?? whole);

	const askOnce = async (asked: ExampleMessage, expectedBody: string): Promise<object> => {
		const [method = '', path = ''] = asked.firstLine.split(' ');
		const got = await request(address + replace(path), {
			method,
			dispatcher,
			headers: Object.fromEntries(Object.entries(asked.headers).map(([name, value]) => [name, replace(value)])),
			...(asked.body === '' ? {} : { body: replace(asked.body) }),
		});
		const text = await got.body.text();
		Object.assign(variables, topTexts(text));
		return shapeOf(got.statusCode, got.headers, text, expectedBody);
	};

	try {
		for (const { request: asked, answer } of examples) {
			const status = Number(answer.firstLine.split(' ')[1]);
			const expected = shapeOf(status, answer.headers, answer.body, answer.body);
			let found: object = {};
			const fits = async (): Promise<boolean> => {
				found = await askOnce(asked, answer.body);
				return JSON.stringify(found) === JSON.stringify(expected);
			};
			if (asked.firstLine.startsWith('GET ')) {
				let attempts = 0;
				await until(async () => (await fits().catch(() => false)) || ++attempts > MAXIMUM_GETS);
			} else {
				await fits();
			}
			compare({ firstLine: asked.firstLine, expected, found });
		}
	} finally {
		await dispatcher.close();
	}
}

function parseMessage(text: string): ExampleMessage {
	const [head = '', ...body] = text.trim().split('\n\n');
	const [firstLine = '', ...lines] = head.split('\n');
	const headers = lines.map(line => line.split(/:\s*(.*)/, 2) as [string, string]);
	return { firstLine, headers: Object.fromEntries(headers), body: body.join('\n\n') };
}

function parseJson(body: string): unknown {
	try {
		return body === '' ? undefined : JSON.parse(body);
	} catch {
		return undefined;
	}
}

function topTexts(body: string): Readonly<Record<string, string>> {
	const entries = Object.entries(parseJson(body) ?? {});
	return Object.fromEntries(entries.filter((entry): entry is [string, string] => typeof entry[1] === 'string'));
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

function shapeOf(
	status: number,
	headers: Readonly<Record<string, unknown>>,
	body: string,
	expectedBody: string,
): object {
	const compared = Object.fromEntries(COMPARED_HEADERS.map(name => [name, headers[name]]));
	const present = PRESENT_HEADERS.filter(name => headers[name] !== undefined);
	const value = parseJson(body);
	const shown = parseJson(expectedBody);
	if (expectedBody !== '' && shown === undefined) {
		return { status, ...compared, present, lines: shownLines(body, expectedBody) };
	}
	return { status, ...compared, present, keys: keysOf(value), error: errorOf(value, shown) };
}

/** The lines of a text that the page shows, without the number at their end. */
function shownLines(body: string, expectedBody: string): readonly string[] {
	const names = (text: string): string[] => text.split('\n').map(line => line.replace(/ [\d.]+$/, ''));
	const found = new Set(names(body));
	return names(expectedBody).filter(line => found.has(line));
}

/** The error with its kind, message and outcome. A message that the page ends with `...` is compared up to there. */
function errorOf(value: unknown, shown: unknown): unknown {
	const { error } = (value ?? {}) as { error?: { message?: unknown } };
	const { message } = (shown as { error?: { message?: unknown } } | undefined)?.error ?? {};
	const start = typeof message === 'string' && message.endsWith('...') ? message.slice(0, -3) : undefined;
	const isShort = start !== undefined && typeof error?.message === 'string' && error.message.startsWith(start);
	return isShort ? { ...error, message } : error;
}
