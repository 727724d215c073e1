// A small deployment on loopback addresses: daemons as the deploy file starts them, beside stand-ins of the platform.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request as httpRequest } from 'node:http';
import { createServer as createSocketServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { sleep, startStore } from './storeStandIn.mjs';
import { startWorker } from './workerStandIn.mjs';

const repository = fileURLToPath(new URL('../../', import.meta.url));
const HEARTBEAT_MS = 1_500;

export const KEY = 'key-of-the-tenant';
export const PREFIX = '/desk/';
export const CLIENT_DEADLINE_MS = 3_000;
const HOST = 'desk.example';
const SERVICE = 'drafts';

/** Writes lines with the time since the start of the run to record.txt. */
export function createRecord(file) {
	const startedAt = performance.now();
	const lines = [];
	const now = () => Math.round(performance.now() - startedAt);
	return {
		now,
		write: text => {
			const line = `${String(now()).padStart(6)} ms  ${text}`;
			lines.push(line);
			process.stdout.write(`${line}\n`);
		},
		/** Adds lines that go only into the file. */
		append: texts => lines.push(...texts),
		save: () => writeFileSync(file, `${lines.join('\n')}\n`),
	};
}

function freePort(host) {
	return new Promise((resolve, reject) => {
		const server = createSocketServer();
		server.once('error', reject);
		server.listen(0, host, () => {
			const { port } = server.address();
			server.close(() => resolve(port));
		});
	});
}

function isPortFree(host, port) {
	return new Promise(resolve => {
		const server = createSocketServer();
		server.once('error', () => resolve(false));
		server.listen(port, host, () => server.close(() => resolve(true)));
	});
}

/** Returns free ports of a daemon: for callers, for the readiness, and the first of two in a row. */
async function freePorts(host) {
	for (;;) {
		const [front, ready, first] = [await freePort(host), await freePort(host), await freePort(host)];
		const isDistinct = new Set([front, ready, first, first + 1]).size === 4;
		if (isDistinct && first < 65_000 && (await isPortFree(host, first + 1))) {
			return { front, ready, first };
		}
	}
}

function runCommand() {
	const text = readFileSync(join(repository, 'deploy/system.toml'), 'utf8');
	const match = /^run = "(.*)"$/m.exec(text);
	if (match === null) {
		throw new Error('deploy/system.toml holds no run command');
	}
	const [program, ...options] = match[1].split(' ');
	return { program: program === 'node' ? process.execPath : program, options };
}

async function startDaemon({ name, ip, folder, store, cloud }) {
	const { front, ready, first } = await freePorts(ip);
	const file = join(folder, `${name}.conf`);
	const settings = {
		node: name,
		role: 'daemon',
		class: 'front',
		serves: 'front',
		ip,
		zone: 'nea',
		region: 'new-england',
		'zones.nea': 'new-england',
		'listen.front': `${ip}:${front}`,
		'listen.ready': `${ip}:${ready}`,
		'port-range': `${first},${first + 15}`,
		bootstrap: 'true',
		'limits.cpu-share': '0.675',
		'limits.cores': '1',
		'limits.memory-mb': '350',
		'heartbeat-ms': String(HEARTBEAT_MS),
		'bounds.stable-window-ms': '3000',
		'bounds.ack-ms': '4000',
		'bounds.grace-s': '6',
		'bounds.config-ms': '2000',
		'bounds.hold-max-ms': '6000',
		'bounds.stop-ms': '400',
		'bounds.cancel_ms': '3000',
		'bounds.status_s': '120',
		'bounds.lease-ms': '3000',
		'control-mode': 'rpc',
		'platform.address': store,
		'platform.form': 'log',
		'platform.writes-per-s': '600',
		'platform.reads-per-s': '2000',
		'platform.record-bytes': '262144',
		'platform.call-bytes': '2097152',
		'platform.keep_s': '300',
		'cloud.address': cloud,
		'cloud.rate-per-s': '64.0',
		'cloud.duty-per-s': '64.0',
	};
	const lines = Object.entries(settings).map(([key, value]) => `${key}=${value}`);
	writeFileSync(file, `${lines.join('\n')}\n`);
	const { program, options } = runCommand();
	const child = spawn(program, options, {
		cwd: repository,
		env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, CHESTNUTWHEEL_BOOT: file },
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	process.once('exit', () => child.kill('SIGKILL'));
	const log = [];
	let rest = '';
	child.stdout.on('data', data => {
		const parts = (rest + data.toString('utf8')).split('\n');
		rest = parts.pop() ?? '';
		log.push(...parts);
	});
	const exited = new Promise(resolve => child.once('exit', resolve));
	return {
		name,
		child,
		exited,
		log,
		front: { host: ip, port: front },
		/** Whether the daemon reports itself ready. */
		isReady: () =>
			new Promise(resolve => {
				const request = httpRequest({ host: ip, port: ready, path: '/api/ready', timeout: 500 }, response => {
					response.resume();
					resolve(response.statusCode === 200);
				});
				request.once('error', () => resolve(false));
				request.once('timeout', () => request.destroy());
				request.end();
			}),
		/** Returns the newest line of a kind in the daemon's log. */
		lastLine: text => log.findLast(line => line.includes(text)),
	};
}

/**
 * Sends a call of a client and resolves with its status, or with `'none'` when no answer comes within the client's deadline.
 * The call goes over a new connection, or over an open one of the agent.
 */
export function call(daemon, method, path, body, deadlineMs = CLIENT_DEADLINE_MS, agent = false) {
	return new Promise(resolve => {
		const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
		const request = httpRequest(
			{
				...daemon.front,
				method,
				path: PREFIX + path,
				agent,
				headers: {
					host: HOST,
					authorization: `Bearer ${KEY}`,
					'content-type': 'application/json',
					'x-chestnutwheel-deadline-ms': String(deadlineMs),
					...(bytes === undefined ? {} : { 'content-length': bytes.length }),
				},
			},
			response => {
				const parts = [];
				response.on('data', part => parts.push(part));
				response.on('error', () => finish({ status: 'none', body: {} }));
				response.on('end', () => {
					const text = Buffer.concat(parts).toString('utf8');
					const retryAfter = response.headers['retry-after'];
					finish({ status: response.statusCode, body: text === '' ? {} : JSON.parse(text), retryAfter });
				});
			},
		);
		const timer = setTimeout(() => {
			finish({ status: 'none', body: {} });
			request.destroy();
		}, deadlineMs);
		const finish = result => {
			clearTimeout(timer);
			resolve(result);
		};
		request.on('error', () => finish({ status: 'none', body: {} }));
		request.end(bytes);
	});
}

export async function waitUntil(description, condition, withinMs = 20_000) {
	const until = performance.now() + withinMs;
	while (!(await condition())) {
		if (performance.now() > until) {
			throw new Error(`not reached within ${withinMs} ms: ${description}`);
		}
		await sleep(10);
	}
}

/** Starts daemons and a platform. All of it ends with `close`. */
export async function startDeployment({ record, daemonCount, workerCount, fault, onStored, onStart }) {
	const folder = mkdtempSync(join(tmpdir(), 'chestnutwheel-review-'));
	const store = await startStore({ fault, onStored });
	const workers = [];
	for (let index = 0; index < workerCount; index++) {
		const machine = `m-${index}`;
		workers.push(await startWorker({ id: `i-${index}`, machine, service: SERVICE, now: record.now, onStart }));
	}
	const cloudServer = createServer((request, response) => {
		request.resume();
		const machines = workers.map(({ id, machine, room }) => ({
			machine,
			pool: SERVICE,
			state: 'up',
			zone: 'nea',
			labels: ['a', `r-${machine}`],
			room,
			id,
		}));
		const isList = request.method === 'GET' && request.url.startsWith('/api/machines');
		const bytes = Buffer.from(JSON.stringify(isList ? { machines, 'next-token': null } : {}));
		response.writeHead(isList ? 200 : 400, { 'content-length': bytes.length, 'content-type': 'application/json' });
		response.end(bytes);
	});
	await new Promise(resolve => cloudServer.listen(0, '127.0.0.1', resolve));
	store.put('keyed.op', 'config', {
		version: 1,
		routes: [
			{
				name: 'r-drafts',
				host: HOST,
				'path-prefix': PREFIX,
				type: 'unsafe',
				'timeout-ms': 3000,
				'target-latency-ms': 600,
				priority: 0,
				service: SERVICE,
				attempts: 4,
				'deadline-factor': 20,
				public: false,
			},
		],
		services: [{ name: SERVICE, 'admission-check': false, standby: false }],
		tenants: [{ name: 'agency', 'api-keys': [KEY], weight: 100 }],
	});
	const beat = () => {
		for (const worker of workers.filter(({ isUp }) => isUp)) {
			store.put('keyed.servers', worker.id, worker.entry());
		}
	};
	beat();
	const heartbeat = setInterval(beat, HEARTBEAT_MS);
	const daemons = [];
	const octet = 1 + (process.pid % 250);
	for (let index = 0; index < daemonCount; index++) {
		const cloud = `127.0.0.1:${cloudServer.address().port}`;
		const ip = `127.77.${octet}.${index + 1}`;
		daemons.push(await startDaemon({ name: `front-nea-${index + 1}`, ip, folder, store: store.address, cloud }));
	}
	return {
		store,
		workers,
		daemons,
		/** Starts of all workers, in the order of their times. */
		starts: () => workers.flatMap(({ ledger }) => ledger).sort((a, b) => a.startedAt - b.startedAt),
		/** Waits until all daemons are ready and returns the one that leads. */
		whenReady: async () => {
			await waitUntil('all daemons are ready', async () =>
				(await Promise.all(daemons.map(daemon => daemon.isReady()))).every(Boolean),
			);
			await waitUntil('a daemon leads', () => daemons.some(({ lastLine }) => lastLine('"journal-read"') !== undefined));
			return daemons.find(({ lastLine }) => lastLine('"journal-read"') !== undefined);
		},
		close: async () => {
			clearInterval(heartbeat);
			for (const { child } of daemons) {
				child.kill('SIGCONT');
				child.kill('SIGKILL');
			}
			await Promise.all(daemons.map(({ exited }) => exited));
			workers.forEach(worker => worker.close());
			store.close();
			cloudServer.close();
			cloudServer.closeAllConnections();
			rmSync(folder, { recursive: true, force: true });
		},
	};
}

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * `play(record, hasTrouble)` returns a list of what broke the rule.
 */
export async function runCase(caseUrl, play) {
	const record = createRecord(fileURLToPath(new URL('record.txt', caseUrl)));
	const hasTrouble = process.env.TROUBLE !== '0';
	// A run that is ended from outside ends its daemons as well.
	['SIGTERM', 'SIGINT', 'SIGHUP'].forEach(signal => process.once(signal, () => process.exit(2)));
	record.write(`run with ${hasTrouble ? 'the disruption' : 'TROUBLE=0'}`);
	let code = 2;
	try {
		const broken = await play(record, hasTrouble);
		broken.slice(0, 10).forEach(text => record.write(`rule broken: ${text}`));
		record.write(broken.length === 0 ? 'the rule held' : `the rule was broken ${broken.length} times`);
		code = broken.length === 0 ? 0 : 1;
	} catch (error) {
		record.write(`the case could not run: ${error instanceof Error ? error.stack : String(error)}`);
	}
	record.save();
	process.exit(code);
}
