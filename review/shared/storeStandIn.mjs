// Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"), with one partition per topic.
import { createServer } from 'node:http';

const RECORD_BYTES = 262_144;
const CALL_BYTES = 2_097_152;
const REMEMBERED_APPENDS = 5;
const NEWEST_PAGE_ITEMS = 500;
const ANSWER_MS = 4;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

export async function readBody(request) {
	const parts = [];
	for await (const part of request) {
		parts.push(part);
	}
	return Buffer.concat(parts);
}

function splitRecords(body) {
	const records = [];
	for (let position = 0; position < body.length;) {
		const length = body.readUInt32BE(position);
		records.push(body.subarray(position + 4, position + 4 + length));
		position += 4 + length;
	}
	return records;
}

/**
 * Starts a store.
 * `fault(call)` is asked for each call of a daemon, with the path, the topic and the records of an append. It returns
 * `undefined` to serve the call, `'busy'` to refuse it with 503 before anything is done, or `'lose'` to do it and never answer.
 * `onStored(topic, records)` sees each append that was stored.
 */
export async function startStore({ fault = () => undefined, onStored = () => undefined } = {}) {
	const topics = new Map();
	const topicOf = name => {
		if (!topics.has(name)) {
			topics.set(name, { first: 0, records: [], writers: new Map(), waiting: new Set() });
		}
		return topics.get(name);
	};
	const endOf = topic => topic.first + topic.records.length;

	const store = (name, records) => {
		const topic = topicOf(name);
		const offset = endOf(topic);
		topic.records.push(...records);
		onStored(name, records);
		topic.waiting.forEach(wake => wake());
		return { status: 200, body: { offset, end: endOf(topic) } };
	};

	const append = (query, body) => {
		const name = query.get('topic');
		const topic = topicOf(name);
		const records = splitRecords(body);
		const bytes = records.reduce((sum, record) => sum + record.length, 0);
		if (bytes > CALL_BYTES || records.some(record => record.length > RECORD_BYTES)) {
			return { status: 413, body: { error: 'a record or the call is too large' } };
		}
		const at = query.get('at');
		if (at !== null && Number(at) !== endOf(topic)) {
			return { status: 412, body: { end: endOf(topic) } };
		}
		const producer = query.get('producer');
		if (producer === null) {
			return store(name, records);
		}
		const epoch = Number(query.get('epoch'));
		const known = topic.writers.get(producer);
		if (known !== undefined && epoch < known.epoch) {
			return { status: 409, body: { reason: 'fenced', epoch: known.epoch } };
		}
		const writer = known?.epoch === epoch ? known : { epoch, sequence: undefined, answers: new Map() };
		topic.writers.set(producer, writer);
		if (records.length === 0) {
			return { status: 200, body: { offset: endOf(topic), end: endOf(topic) } };
		}
		const sequence = Number(query.get('seq'));
		if (writer.answers.has(sequence)) {
			return writer.answers.get(sequence);
		}
		if (writer.sequence !== undefined && sequence !== writer.sequence + 1) {
			return { status: 409, body: { reason: 'seq', seq: writer.sequence + 1 } };
		}
		const answer = store(name, records);
		writer.sequence = sequence;
		writer.answers.set(sequence, answer);
		writer.answers.delete(sequence - REMEMBERED_APPENDS);
		return answer;
	};

	const read = async query => {
		const topic = topicOf(query.get('topic'));
		const from = Number(query.get('from'));
		const waitMs = Number(query.get('wait-ms') ?? 0);
		const maximumBytes = Number(query.get('max-kb') ?? 1_024) * 1_024;
		if (from >= endOf(topic) && waitMs > 0) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					topic.waiting.delete(wake);
					resolve();
				};
				const timer = setTimeout(wake, waitMs);
				topic.waiting.add(wake);
			});
		}
		if (from < topic.first) {
			return { status: 410, body: { first: topic.first } };
		}
		const head = Buffer.alloc(16);
		head.writeBigUInt64BE(BigInt(endOf(topic)), 0);
		head.writeBigUInt64BE(BigInt(topic.first), 8);
		const parts = [head];
		let bytes = 0;
		for (const record of topic.records.slice(from - topic.first)) {
			if (bytes > 0 && bytes + record.length > maximumBytes) {
				break;
			}
			const length = Buffer.alloc(4);
			length.writeUInt32BE(record.length);
			parts.push(length, record);
			bytes += record.length;
		}
		return { status: 200, body: Buffer.concat(parts) };
	};

	const newest = query => {
		const topic = topicOf(query.get('topic'));
		const byKey = new Map();
		topic.records.forEach((record, index) => {
			const length = record[0];
			const key = record.subarray(1, 1 + length).toString('utf8');
			const value = record.subarray(1 + length);
			byKey.delete(key);
			if (value.length > 0) {
				byKey.set(key, { key, value: value.toString('base64'), offset: topic.first + index });
			}
		});
		const after = query.get('after') ?? '';
		const items = [...byKey.values()].sort((a, b) => (a.key < b.key ? -1 : 1)).filter(({ key }) => key > after);
		return {
			status: 200,
			body: {
				items: items.slice(0, NEWEST_PAGE_ITEMS),
				'has-more': items.length > NEWEST_PAGE_ITEMS,
				end: endOf(topic),
			},
		};
	};

	const trim = body => {
		const { topic: name, before } = JSON.parse(body.toString('utf8'));
		const topic = topicOf(name);
		const count = Math.max(0, Math.min(before, endOf(topic)) - topic.first);
		topic.records.splice(0, count);
		topic.first += count;
		return { status: 200, body: {} };
	};

	const handlers = {
		'/api/log-append': append,
		'/api/log-read': read,
		'/api/log-newest': newest,
		'/api/log-trim': (_query, body) => trim(body),
	};

	const server = createServer((request, response) => {
		void (async () => {
			const body = await readBody(request);
			const url = new URL(request.url, 'http://store');
			const handler = handlers[url.pathname];
			const call = {
				path: url.pathname,
				topic: url.searchParams.get('topic') ?? '',
				records: url.pathname === '/api/log-append' ? splitRecords(body) : [],
			};
			await sleep(ANSWER_MS);
			const outcome = fault(call);
			let answer = { status: 503, body: {} };
			if (outcome !== 'busy') {
				answer = handler === undefined ? { status: 404, body: {} } : await handler(url.searchParams, body);
			}
			// A long poll that was waiting when the store went down gets no answer from it either.
			if (outcome === 'lose') {
				return;
			}
			const bytes = Buffer.isBuffer(answer.body) ? answer.body : Buffer.from(JSON.stringify(answer.body));
			response.writeHead(answer.status, { 'content-length': bytes.length });
			response.end(bytes);
		})().catch(error => response.destroy(error));
	});
	await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));

	return {
		address: `127.0.0.1:${server.address().port}`,
		/** Writes the value of a key, as the operator and the workers do. */
		put: (topic, key, value) => {
			const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
			store(topic, [Buffer.concat([Buffer.from([key.length]), Buffer.from(key), bytes])]);
		},
		close: () => {
			server.close();
			server.closeAllConnections();
		},
	};
}

/** Returns the events in the records of an append to the journal of the daemons, to tell what the store holds. */
export function journalEvents(topic, records) {
	return topic === 'journal' ? records.flatMap(record => JSON.parse(record.toString('utf8'))) : [];
}
