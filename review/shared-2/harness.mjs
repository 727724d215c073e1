// Stand-ins of the platform, of workers and of clients for the cases 6 to 10. They follow PROTOCOL.md: every daemon is a
// process of its own, started with the command of deploy/system.toml, and meets the stand-ins over HTTP on 127.0.0.1.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request as httpRequest, Agent } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '../..');
const startedAt = performance.now();

/** Milliseconds since the case began. */
export const now = () => Math.round(performance.now() - startedAt);
export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

export async function waitFor(condition, timeoutMs) {
	const end = now() + timeoutMs;
	while (!(await condition())) {
		if (now() > end) {
			return false;
		}
		await wait(25);
	}
	return true;
}

/** The record of a case: lines of what was sent, answered and run. */
export const lines = [];
export const note = text => lines.push(`${String(now()).padStart(7)} ms  ${text}`);

const readBody = async message => {
	const parts = [];
	for await (const part of message) {
		parts.push(part);
	}
	return Buffer.concat(parts);
};

/** @param chunkedFrom size from which a body is sent in chunks, as HTTP/1.1 has it, instead of with its length */
const listen = async (handler, port, chunkedFrom = Infinity) => {
	const server = createServer((request, response) => {
		const answer = ({ status, body }) => {
			const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
			const length = bytes.length < chunkedFrom ? { 'content-length': bytes.length } : {};
			response.writeHead(status, { 'content-type': 'application/json', ...length });
			response.end(bytes);
		};
		readBody(request)
			.then(body => handler(request, new URL(request.url, 'http://stand-in'), body))
			.then(answer, error => answer({ status: 400, body: { error: String(error) } }));
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	return server;
};

const closeServer = server =>
	new Promise(resolve => {
		server.close(resolve);
		server.closeAllConnections();
	});

const addressOf = server => `127.0.0.1:${server.address().port}`;

const isFree = port =>
	new Promise(resolve => {
		const server = createTcpServer();
		server.once('error', () => resolve(false));
		server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
	});

const takenPorts = new Set();

/** Returns the first of some free ports in a row, below those that the kernel gives to outgoing connections. */
const freePorts = async count => {
	for (;;) {
		const first = 10_000 + Math.floor(Math.random() * 20_000);
		const ports = Array.from({ length: count }, (_, index) => first + index);
		if (!ports.some(port => takenPorts.has(port)) && (await Promise.all(ports.map(isFree))).every(Boolean)) {
			ports.forEach(port => takenPorts.add(port));
			return first;
		}
	}
};

/** Store: a log whose records expire after `keepMs`, with the limits of the settings on records and calls. */
export function createStore({ keepMs = 300_000, recordBytes = 262_144, callBytes = 2_097_152 } = {}) {
	const topics = new Map();
	const refusals = [];
	const topicOf = name => {
		if (!topics.has(name)) {
			topics.set(name, { first: 0, end: 0, records: [], newest: new Map(), writers: new Map(), waiting: new Set() });
		}
		return topics.get(name);
	};
	const expire = topic => {
		const oldest = performance.now() - keepMs;
		let count = 0;
		while (count < topic.records.length && topic.records[count].at < oldest) {
			count++;
		}
		topic.records.splice(0, count);
		topic.first = topic.records[0]?.offset ?? topic.end;
	};
	const appendRecords = (name, records) => {
		const topic = topicOf(name);
		const offset = topic.end;
		for (const bytes of records) {
			const record = { offset: topic.end++, bytes, at: performance.now() };
			topic.records.push(record);
			if (name.startsWith('keyed.')) {
				const key = bytes.subarray(1, 1 + bytes[0]).toString();
				const value = bytes.subarray(1 + bytes[0]);
				topic.newest.delete(key);
				if (value.length > 0) {
					topic.newest.set(key, { offset: record.offset, value });
				}
			}
		}
		[...topic.waiting].forEach(wake => wake());
		return { status: 200, body: { offset, end: topic.end } };
	};
	const split = body => {
		const records = [];
		for (let at = 0; at < body.length; at += 4 + body.readUInt32BE(at)) {
			records.push(body.subarray(at + 4, at + 4 + body.readUInt32BE(at)));
		}
		return records;
	};
	const append = (query, body) => {
		const name = query.get('topic');
		const topic = topicOf(name);
		const records = split(body);
		const largest = Math.max(0, ...records.map(({ length }) => length));
		if (largest > recordBytes || body.length > callBytes) {
			refusals.push({ name, largest, bytes: body.length, at: now() });
			return { status: 400, body: { error: `records of at most ${recordBytes} bytes, ${callBytes} bytes a call` } };
		}
		const at = query.get('at');
		if (at !== null && Number(at) !== topic.end) {
			return { status: 412, body: { end: topic.end } };
		}
		const producer = query.get('producer');
		if (producer === null) {
			return appendRecords(name, records);
		}
		const epoch = Number(query.get('epoch'));
		const seq = query.get('seq') === null ? undefined : Number(query.get('seq'));
		const known = topic.writers.get(producer);
		if (known !== undefined && epoch < known.epoch) {
			return { status: 409, body: { reason: 'fenced', epoch: known.epoch } };
		}
		const writer = known?.epoch === epoch ? known : { epoch, seq: undefined, answers: new Map() };
		topic.writers.set(producer, writer);
		if (records.length === 0) {
			return { status: 200, body: { offset: topic.end, end: topic.end } };
		}
		if (writer.answers.has(seq)) {
			return writer.answers.get(seq);
		}
		if (writer.seq !== undefined && seq !== writer.seq + 1) {
			return { status: 409, body: { reason: 'seq', seq: writer.seq + 1 } };
		}
		const answer = appendRecords(name, records);
		writer.seq = seq;
		writer.answers.set(seq, answer);
		if (writer.answers.size > 5) {
			writer.answers.delete([...writer.answers.keys()][0]);
		}
		return answer;
	};
	const read = async query => {
		const topic = topicOf(query.get('topic'));
		const from = Number(query.get('from'));
		const waitMs = Number(query.get('wait-ms') ?? 0);
		if (from >= topic.end && waitMs > 0) {
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
		expire(topic);
		if (from < topic.first) {
			return { status: 410, body: { first: topic.first } };
		}
		const head = Buffer.alloc(16);
		head.writeBigUInt64BE(BigInt(topic.end), 0);
		head.writeBigUInt64BE(BigInt(topic.first), 8);
		const parts = [head];
		let size = 0;
		for (const { offset, bytes } of topic.records) {
			if (offset < from) {
				continue;
			}
			if (size > 0 && size + bytes.length > 1_048_576) {
				break;
			}
			size += bytes.length;
			const length = Buffer.alloc(4);
			length.writeUInt32BE(bytes.length);
			parts.push(length, bytes);
		}
		return { status: 200, body: Buffer.concat(parts) };
	};
	const newest = query => {
		const topic = topicOf(query.get('topic'));
		const items = [...topic.newest].map(([key, { offset, value }]) => ({
			key,
			offset,
			value: value.toString('base64'),
		}));
		return { status: 200, body: { items, 'has-more': false, end: topic.end } };
	};
	const trim = body => {
		const { topic: name, before } = JSON.parse(body.toString());
		const topic = topicOf(name);
		topic.records = topic.records.filter(({ offset }) => offset >= before);
		topic.first = Math.max(topic.first, before);
		return { status: 200, body: {} };
	};
	return {
		refusals,
		put: (name, key, value) => {
			const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
			appendRecords(name, [Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), bytes])]);
		},
		valueOf: (name, key) => {
			const found = topicOf(name).newest.get(key);
			return found === undefined ? undefined : JSON.parse(found.value.toString());
		},
		handle: (url, body) => {
			switch (url.pathname) {
				case '/api/log-append':
					return append(url.searchParams, body);
				case '/api/log-read':
					return read(url.searchParams);
				case '/api/log-newest':
					return newest(url.searchParams);
				case '/api/log-trim':
					return trim(body);
				default:
					return { status: 404, body: {} };
			}
		},
	};
}

const GANG_MS = 3_000;
const stepOf = task => task.slice(0, task.lastIndexOf('.'));

/** The tasks of a gang work from the moment when all of one run are present, and end together. */
function joinGang(platform, worker, task, run, ms, end) {
	const key = `${stepOf(task)} ${run}`;
	const gang = platform.gangs.get(key) ?? { members: new Map(), timer: undefined };
	platform.gangs.set(key, gang);
	gang.members.set(task, worker);
	const endAll = how => [...gang.members].forEach(([member, at]) => at.endRun(member, how));
	if (gang.members.size === platform.gangSizes.get(stepOf(task))) {
		clearTimeout(gang.timer);
		gang.timer = setTimeout(endAll, ms, end);
	} else {
		gang.timer ??= setTimeout(endAll, GANG_MS, 'alone');
	}
}

/** The end of one member ends the others: `broken`, but for the ends that all have together. */
function leaveGang(platform, task, run, how) {
	const gang = platform.gangs.get(`${stepOf(task)} ${run}`);
	if (gang?.members.delete(task) === true && how !== 'done' && how !== 'alone') {
		clearTimeout(gang.timer);
		[...gang.members].forEach(([member, at]) => at.endRun(member, 'broken'));
	}
}

/**
 * Worker: fences, run numbers, leases and ends as on the page. `spec` of a task is a JSON text: `ms` is its run time, `end`
 * how it ends (`done` if left out); a task with `lasts` runs until it is stopped.
 */
export async function startWorker(platform, options) {
	const { id, machine, service, room, labels, firstEntryMs = 0 } = options;
	const port = options.port ?? (await freePorts(1));
	const born = Date.now();
	const began = performance.now();
	const clock = () => Math.round(performance.now() - began);
	const running = new Map();
	const highestEnded = new Map();
	let finished = [];
	let nextIndex = 1;
	let fence = 0;
	let leaseUntil = 0;
	let leaseTimer;
	const waiting = new Set();
	const worker = { id, machine, service, room, labels, born, running, isUp: true, isCut: false };

	const respond = (status, fields = {}) => ({ status, body: { 'clock-ms': clock(), born, ...fields } });
	const endRun = (task, how) => {
		const run = running.get(task);
		if (run === undefined || !worker.isUp) {
			return;
		}
		clearTimeout(run.timer);
		running.delete(task);
		highestEnded.set(task, Math.max(highestEnded.get(task) ?? 0, run.run));
		finished.push([nextIndex++, task, run.run, how, '']);
		platform.ledger.push({ at: now(), type: 'end', worker: id, born, task, run: run.run, how });
		[...waiting].forEach(wake => wake());
		leaveGang(platform, task, run.run, how);
	};
	worker.endRun = endRun;
	const extendLease = deadline => {
		if (typeof deadline !== 'number') {
			return;
		}
		leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + 6_000));
		clearTimeout(leaseTimer);
		leaseTimer = setTimeout(() => [...running.keys()].forEach(task => endRun(task, 'lapsed')), leaseUntil - clock());
	};
	const start = ({ task, run, spec, 'deadline-ms': deadline }) => {
		if (running.get(task)?.run === run) {
			return respond(200);
		}
		if (run <= (highestEnded.get(task) ?? 0) || run <= (running.get(task)?.run ?? 0)) {
			extendLease(deadline);
			return respond(409, { reason: 'old' });
		}
		if (deadline < clock()) {
			return respond(409, { reason: 'late' });
		}
		extendLease(deadline);
		const { ms = 200, end = 'done', lasts = false } = JSON.parse(spec);
		const isGang = platform.gangSizes.has(stepOf(task));
		const timer = lasts || isGang ? undefined : setTimeout(() => endRun(task, end), ms);
		running.set(task, { run, timer, startedAt: clock(), ms, lasts });
		platform.ledger.push({ at: now(), type: 'start', worker: id, born, task, run });
		platform.onStart?.(worker, task, run);
		if (isGang) {
			joinGang(platform, worker, task, run, ms, end);
		}
		return respond(200);
	};
	const stop = ({ task, run }) => {
		if (running.get(task)?.run === run) {
			endRun(task, 'stopped');
		} else {
			highestEnded.set(task, Math.max(highestEnded.get(task) ?? 0, run));
		}
		return respond(200);
	};
	const hold = async ({ 'ack-index': acknowledged = 0, 'wait-ms': waitMs = 0, 'deadline-ms': deadline }) => {
		extendLease(deadline);
		for (const [index, task, run] of finished) {
			if (index <= acknowledged) {
				platform.ledger.push({ at: now(), type: 'noted', worker: id, born, task, run });
			}
		}
		finished = finished.filter(([index]) => index > acknowledged);
		if (finished.length === 0 && waitMs > 0) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};
				const timer = setTimeout(wake, waitMs);
				waiting.add(wake);
			});
		}
		const rows = [...running].map(([task, { run, startedAt: since, ms, lasts }]) => {
			const percent = lasts ? 100 : Math.min(99, Math.floor((100 * (clock() - since)) / ms));
			return [task, run, '', percent, 0];
		});
		return respond(200, { running: rows, finished: finished.slice(0, 500) });
	};
	const handlers = {
		'/api/run-start': start,
		'/api/run-stop': stop,
		'/api/pace': () => respond(200),
		'/api/hold': hold,
	};
	const handle = (request, url, body) => {
		if (request.headers['x-chestnutwheel-expect-instance'] !== id) {
			return { status: 421, body: {} };
		}
		const fields = JSON.parse(body.toString());
		if ((fields.fence ?? 0) < fence) {
			return respond(409, { reason: 'fence' });
		}
		fence = fields.fence ?? 0;
		return handlers[url.pathname]?.(fields) ?? respond(404);
	};
	/** While the worker is cut off, no call reaches it and no answer leaves it. */
	const handleUnlessCut = async (request, url, body) => {
		const answer = worker.isCut ? undefined : await handle(request, url, body);
		return worker.isCut || answer === undefined ? new Promise(() => undefined) : answer;
	};
	const server = await listen(handleUnlessCut, port, options.chunkedFrom);
	worker.port = server.address().port;
	let seq = 0;
	worker.register = () => {
		if (worker.isCut) {
			return;
		}
		platform.store.put('keyed.servers', id, {
			service,
			address: addressOf(server),
			zone: 'nea',
			version: '1',
			slots: 8,
			state: 'ready',
			'cold-left-ms': 0,
			seq: ++seq,
			born,
			room,
			labels,
			machine,
		});
	};
	let heartbeat;
	/** Writes its entry about every `heartbeat-ms`, the first time `firstEntryMs` after its start. */
	const firstEntry = setTimeout(() => {
		worker.register();
		note(`${id} writes its entry, born ${born}, labels ${labels.join()}`);
		heartbeat = setInterval(worker.register, 1_500);
	}, firstEntryMs);
	/** Crashes the worker: everything that runs ends unseen, and connections are reset. */
	worker.crash = async () => {
		worker.isUp = false;
		clearTimeout(firstEntry);
		clearInterval(heartbeat);
		clearTimeout(leaseTimer);
		for (const [task, { timer, run }] of running) {
			clearTimeout(timer);
			platform.ledger.push({ at: now(), type: 'lost', worker: id, born, task, run });
			leaveGang(platform, task, run, 'lost');
		}
		await closeServer(server);
	};
	platform.workers.push(worker);
	return worker;
}

/** Platform: the store, the list of machines, and what happened on the workers in `ledger`. */
export async function startPlatform(options = {}) {
	const store = createStore(options);
	const platform = { store, workers: [], ledger: [], gangSizes: new Map(), gangs: new Map(), onStart: undefined };
	const storeServer = await listen((_request, url, body) => store.handle(url, body), await freePorts(1));
	const hostServer = await listen(
		(_request, url) => {
			if (url.pathname !== '/api/machines') {
				return { status: 400, body: {} };
			}
			const machines = new Map();
			for (const { id, machine, service, room, labels, isUp } of platform.workers) {
				const state = isUp ? 'up' : 'down';
				machines.set(machine, { machine, pool: service, state, zone: 'nea', labels, room, id: isUp ? id : '' });
			}
			return { status: 200, body: { machines: [...machines.values()] } };
		},
		await freePorts(1),
	);
	/** Calls for advice are answered one after the other, each with the workers that `isGood` allows. */
	let lastAdvice = Promise.resolve();
	const adviceServer = await listen(
		async (_request, _url, body) => {
			const { step, workers } = JSON.parse(body.toString());
			const { decideMs = 20, eachMs = 2, validMs = 60_000, isGood = () => true } = platform.advice ?? {};
			lastAdvice = lastAdvice.then(() => wait(decideMs + eachMs * workers.length));
			await lastAdvice;
			const good = workers.filter(isGood).map(id => [id, `ticket-${id}-${step}`]);
			note(`advice for ${step}: asked for ${workers.join()}; good are ${good.map(([id]) => id).join()}`);
			return { status: 200, body: { good, 'valid-ms': validMs } };
		},
		await freePorts(1),
	);
	platform.adviceAddress = addressOf(adviceServer);
	platform.storeAddress = addressOf(storeServer);
	platform.hostsAddress = addressOf(hostServer);
	platform.close = async () => {
		await Promise.all(platform.workers.filter(({ isUp }) => isUp).map(worker => worker.crash()));
		await Promise.all([storeServer, hostServer, adviceServer].map(closeServer));
	};
	return platform;
}

const runCommand = readFileSync(join(root, 'deploy/system.toml'), 'utf8')
	.match(/^run = "(.*)"$/m)[1]
	.split(' ');

let daemonCount = 0;
const folder = mkdtempSync(join(tmpdir(), 'case-'));

/** Starts a daemon with the command of the deploy file and a settings file like that of a small deployment. */
export async function startDaemon(platform, changes = {}) {
	daemonCount++;
	const name = `front-nea-${daemonCount}`;
	const front = await freePorts(4);
	const ready = front + 1;
	// The first port is for peers, the second for metrics.
	const range = front + 2;
	const settings = {
		node: name,
		role: 'daemon',
		class: 'front',
		serves: 'front',
		ip: '127.0.0.1',
		zone: 'nea',
		region: 'new-england',
		'listen.front': `127.0.0.1:${front}`,
		'listen.ready': `127.0.0.1:${ready}`,
		'port-range': `${range},${range + 1}`,
		bootstrap: 'true',
		'limits.cpu-share': '0.675',
		'limits.cores': '1',
		'limits.memory-mb': '350',
		'limits.max-fds': '4100',
		discovery: 'platform',
		entry: 'vip',
		'heartbeat-ms': '1500',
		'bounds.stable-window-ms': '3000',
		'bounds.ack-ms': '4000',
		'bounds.drain-ms': '2000',
		'bounds.grace-s': '6',
		'bounds.config-ms': '2000',
		'bounds.hold-max-ms': '6000',
		'bounds.stop-ms': '400',
		'bounds.gang-ms': '3000',
		'bounds.cancel_ms': '3000',
		'bounds.visible_ms': '3000',
		'bounds.finish_s': '14',
		'bounds.status_s': '120',
		'bounds.lease-ms': '3000',
		'control-mode': 'rpc',
		advice: platform.adviceAddress,
		'platform.address': platform.storeAddress,
		'platform.form': 'log',
		'platform.writes-per-s': '600',
		'platform.reads-per-s': '2000',
		'platform.record-bytes': '262144',
		'platform.call-bytes': '2097152',
		'platform.keep_s': '300',
		'cloud.address': platform.hostsAddress,
		...changes,
	};
	const file = join(folder, `${name}.conf`);
	writeFileSync(
		file,
		Object.entries(settings)
			.map(([key, value]) => `${key}=${value}\n`)
			.join(''),
	);
	const daemon = { name, front, ready, decisions: [], process: undefined, errors: '' };
	daemon.launch = () => {
		const child = spawn(runCommand[0], runCommand.slice(1), {
			cwd: root,
			env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, CHESTNUTWHEEL_BOOT: file },
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		daemon.process = child;
		daemon.isRunning = true;
		daemon.exited = new Promise(resolve =>
			child.once('exit', code => {
				daemon.isRunning = false;
				resolve(code);
			}),
		);
		let rest = '';
		child.stdout.on('data', data => {
			const parts = (rest + data).split('\n');
			rest = parts.pop();
			for (const part of parts) {
				try {
					daemon.decisions.push(JSON.parse(part));
				} catch {
					daemon.errors += `${part}\n`;
				}
			}
		});
		child.stderr.on('data', data => (daemon.errors += data));
	};
	daemon.launch();
	daemon.isReady = () =>
		fetch(`http://127.0.0.1:${ready}/api/ready`).then(
			answer => answer.status === 200,
			() => false,
		);
	return daemon;
}

/** Returns the daemon that leads: the one whose newest line about a term says that it begins, the latest of all. */
export function leaderOf(daemons) {
	let leader;
	let beganAt = 0;
	for (const daemon of daemons) {
		const last = daemon.decisions.findLast(({ decision }) => decision === 'term-begins' || decision === 'term-ends');
		if (daemon.isRunning && last?.decision === 'term-begins' && last.time > beganAt) {
			leader = daemon;
			beganAt = last.time;
		}
	}
	return leader;
}

const KEY = 'key-of-harbor';

/** Sends a call as a client does, and records it. Resolves with status 0 when there is no answer within the time. */
export function call(daemon, method, path, body, { deadlineMs = 3_000, isSilent = false } = {}) {
	return new Promise(resolve => {
		const sentAt = now();
		const sent = httpRequest({
			host: '127.0.0.1',
			port: daemon.front,
			method,
			path,
			agent: new Agent({ keepAlive: false }),
			headers: {
				host: 'desk.example',
				authorization: `Bearer ${KEY}`,
				'content-type': 'application/json',
				'X-Chestnutwheel-Deadline-Ms': String(deadlineMs),
			},
		});
		const finish = (status, text) => {
			clearTimeout(timer);
			if (!isSilent) {
				note(`${method} ${path} at ${daemon.name}: ${status} ${text.slice(0, 160)} after ${now() - sentAt} ms`);
			}
			let fields = {};
			try {
				fields = JSON.parse(text);
			} catch {
				// There was no answer.
			}
			resolve({ status, body: fields, sentAt, answeredAt: now() });
		};
		const timer = setTimeout(() => sent.destroy(new Error('no answer in time')), deadlineMs + 1_000);
		sent.once('error', error => finish(0, String(error.message)));
		sent.once('response', response => {
			readBody(response).then(
				bytes => finish(response.statusCode, bytes.toString()),
				error => finish(0, String(error.message)),
			);
		});
		sent.end(body === undefined ? undefined : JSON.stringify(body));
	});
}

/** The operator's configuration: one queue, its pool, and one tenant without a limit. */
export const configuration = (route = {}) => ({
	version: 1,
	routes: [
		{
			name: 'drafts',
			host: 'desk.example',
			'path-prefix': '/drafts/',
			service: 'desk',
			priority: 0,
			attempts: 4,
			'deadline-factor': 1.6,
			'target-latency-ms': 600,
			...route,
		},
	],
	services: [{ name: 'desk', 'admission-check': false }],
	tenants: [{ name: 'harbor', 'api-keys': [KEY], weight: 20, cap: { cpu: 0, 'mem-mb': 0, gpu: 0 } }],
	limits: { 'header-bytes': 16_384, 'body-bytes': 262_144, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000 },
});

/** Sends a job in until it is accepted, as a client that is told to come back does. */
export async function submit(daemons, id, job, attempts = 5) {
	for (let attempt = 0; attempt < attempts; attempt++) {
		const answer = await call(daemons[attempt % daemons.length], 'POST', `/drafts/${id}`, job);
		if (answer.status === 200) {
			return answer;
		}
		await wait(1_000);
	}
	return undefined;
}

/** Runs a case, writes its record, ends all that it started, and exits with 0, 1 or 2. */
export async function runCase(caseFile, play) {
	const daemons = [];
	let platform;
	let code = 2;
	const context = {
		hasTrouble: process.env.TROUBLE !== '0',
		startPlatform: async options => (platform = await startPlatform(options)),
		addDaemon: async changes => {
			const daemon = await startDaemon(platform, changes);
			daemons.push(daemon);
			return daemon;
		},
		daemons,
	};
	const limit = setTimeout(() => {
		note('the case took too long');
		finish(2);
	}, 112_000);
	const finish = result => {
		clearTimeout(limit);
		daemons.forEach(daemon => daemon.process.kill('SIGKILL'));
		const errors = daemons.filter(daemon => daemon.errors !== '').map(({ name, errors: text }) => `${name}: ${text}`);
		const verdict = { 0: 'the rule held', 1: 'the rule was broken', 2: 'the case could not run' }[result];
		lines.push(...errors, `result: ${result}, ${verdict}`);
		writeFileSync(join(dirname(fileURLToPath(caseFile)), 'record.txt'), `${lines.join('\n')}\n`);
		rmSync(folder, { recursive: true, force: true });
		console.log(lines.at(-1));
		process.exit(result);
	};
	try {
		code = (await play(context)) ? 0 : 1;
	} catch (error) {
		note(`the case could not run: ${error.stack}`);
	}
	await platform?.close().catch(() => undefined);
	finish(code);
}

/** Starts daemons and waits until all are ready and one leads. */
export async function startDaemons(context, count, changes) {
	for (let started = 0; started < count; started++) {
		await context.addDaemon(changes);
	}
	const { daemons } = context;
	const areReady = await waitFor(
		async () =>
			leaderOf(daemons) !== undefined && (await Promise.all(daemons.map(daemon => daemon.isReady()))).every(Boolean),
		20_000,
	);
	if (!areReady) {
		throw new Error(`the daemons are not ready: ${daemons.map(({ errors }) => errors).join()}`);
	}
	note(`${count} daemons are ready, ${leaderOf(daemons).name} leads`);
}
