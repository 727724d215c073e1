/** A small deployment: daemons as processes of their own, started with the command of the deploy file, on loopback addresses. */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const repository = fileURLToPath(new URL('../..', import.meta.url));

/** The script ends by itself after this time, with the exit code for a case that could not run. */
const TIME_LIMIT_MS = 110_000;

export const delay = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Waits until a condition holds. @throws when it does not hold in time */
export async function waitUntil(description, condition, timeoutMs = 15_000) {
	const end = performance.now() + timeoutMs;
	while (!(await condition())) {
		if (performance.now() > end) {
			throw new Error(`not within ${timeoutMs} ms: ${description}`);
		}
		await delay(10);
	}
}

/** Command of the role in the deploy file. */
function daemonCommand() {
	const deployFile = readFileSync(join(repository, 'deploy/system.toml'), 'utf8');
	const [program, ...words] = (/^run = "(.*)"$/m.exec(deployFile)?.[1] ?? '').split(' ');
	return { program, words };
}

function listenOn(host, port) {
	return new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(port, host, () => resolve(server));
	});
}

const close = server => new Promise(resolve => server.close(resolve));

/** Finds a number of free ports that follow one another. */
async function freePorts(host, count) {
	for (;;) {
		const first = await listenOn(host, 0);
		const { port } = first.address();
		const others = await Promise.all(
			Array.from({ length: count - 1 }, (_, index) => listenOn(host, port + 1 + index).catch(() => undefined)),
		);
		await Promise.all([first, ...others.filter(other => other !== undefined)].map(close));
		if (!others.includes(undefined)) {
			return port;
		}
	}
}

/** Settings of a small deployment, with the bounds of sites/cpc-desk.toml. */
const commonSettings = {
	role: 'daemon',
	class: 'front',
	serves: 'front',
	region: 'new-england',
	'zones.nea': 'new-england',
	'zones.neb': 'new-england',
	'zones.nec': 'new-england',
	bootstrap: 'true',
	'limits.cpu-share': '0.675',
	'limits.cores': '1',
	'limits.memory-mb': '350',
	'limits.max-fds': '4100',
	discovery: 'platform',
	entry: 'vip',
	'heartbeat-ms': '1500',
	'bounds.grace-s': '6',
	'bounds.config-ms': '2000',
	'bounds.hold-max-ms': '6000',
	'bounds.stop-ms': '400',
	'bounds.status_s': '120',
	'bounds.lease-ms': '3000',
	'bounds.far-x': '3',
	'control-mode': 'rpc',
	'platform.record-bytes': '262144',
	'platform.call-bytes': '2097152',
	'platform.keep_s': '20',
};

const ZONES = ['nea', 'neb', 'nec'];

/** Starts daemons. Resolves when they have been started; they may not be ready yet. */
export async function startDaemons(count, addresses, record) {
	const folder = mkdtempSync(join(tmpdir(), 'chestnutwheel-review-'));
	const { program, words } = daemonCommand();
	const daemons = [];

	const start = async (daemon, generation) => {
		const { name, ip, ports, zone, file } = daemon;
		const fields = {
			...commonSettings,
			node: name,
			ip,
			zone,
			'listen.front': `${ip}:${ports}`,
			'listen.ready': `${ip}:${ports + 1}`,
			'port-range': `${ports + 2},${ports + 9}`,
			'platform.address': addresses.store,
			'cloud.address': addresses.hosts,
			advice: '',
		};
		writeFileSync(
			file,
			Object.entries(fields)
				.map(([key, value]) => `${key}=${value}\n`)
				.join(''),
		);
		const child = spawn(program === 'node' ? process.execPath : program, words, {
			cwd: repository,
			env: { PATH: process.env.PATH, HOME: process.env.HOME, CHESTNUTWHEEL_BOOT: file },
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		let rest = '';
		child.stdout.on('data', data => {
			const parts = (rest + data.toString('utf8')).split('\n');
			rest = parts.pop() ?? '';
			for (const part of parts) {
				try {
					daemon.lines.push({ ...JSON.parse(part), generation });
				} catch {
					daemon.lines.push({ text: part, generation });
				}
			}
		});
		child.stderr.on('data', data => record(`${name} wrote: ${data.toString('utf8').trim()}`));
		daemon.process = child;
		daemon.exited = new Promise(resolve => child.once('exit', resolve));
		record(`${name} started at ${ip}`);
	};

	for (let index = 0; index < count; index++) {
		const ip = `127.0.${1 + (process.pid % 200)}.${index + 1}`;
		const daemon = {
			name: `front-${index + 1}`,
			ip,
			zone: ZONES[index % ZONES.length],
			ports: await freePorts(ip, 10),
			file: join(folder, `node-${index + 1}.conf`),
			lines: [],
		};
		daemons.push(daemon);
		await start(daemon, 0);
	}
	return {
		daemons,
		/** Kills a daemon and starts it again after some time, as its platform does. */
		restart: async (daemon, downMs, generation) => {
			daemon.process.kill('SIGKILL');
			await daemon.exited;
			record(`${daemon.name} was killed`);
			await delay(downMs);
			await start(daemon, generation);
		},
		close: async () => {
			for (const { process: child } of daemons) {
				child.kill('SIGKILL');
			}
			await Promise.all(daemons.map(({ exited }) => exited));
			rmSync(folder, { recursive: true, force: true });
		},
	};
}

/** Sends a call and resolves with its status and body; status 0 if there was no response. */
export function call(daemon, method, path, { body, host = 'desk.example', key, waitMs = 3_000 } = {}) {
	return new Promise(resolve => {
		const sent = request({
			host: daemon.ip,
			port: daemon.ports,
			method,
			path,
			headers: {
				host,
				'content-type': 'application/json',
				'X-Chestnutwheel-Deadline-Ms': String(waitMs),
				...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
			},
		});
		const timer = setTimeout(() => sent.destroy(new Error('no response in time')), waitMs);
		const finish = (status, text) => {
			clearTimeout(timer);
			let parsed = {};
			try {
				parsed = JSON.parse(text);
			} catch {
				// The body is shown as it is.
			}
			resolve({ status, body: parsed, text });
		};
		sent.once('error', error => finish(0, error.message));
		sent.once('response', response => {
			let text = '';
			response.setEncoding('utf8');
			response.on('data', part => (text += part));
			response.once('end', () => finish(response.statusCode, text));
			response.once('error', error => finish(0, error.message));
		});
		sent.end(body === undefined ? undefined : JSON.stringify(body));
	});
}

export const isReady = daemon =>
	new Promise(resolve => {
		const sent = request({ host: daemon.ip, port: daemon.ports + 1, path: '/api/ready', timeout: 1_000 });
		sent.once('error', () => resolve(false));
		sent.once('timeout', () => sent.destroy(new Error('no response in time')));
		sent.once('response', response => {
			response.resume();
			resolve(response.statusCode === 200);
		});
		sent.end();
	});

/**
 * Runs a case and ends the process: with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run.
 * @param play resolves with the violations of the rule, as text
 */
export function runCase(folderUrl, play) {
	const file = fileURLToPath(new URL('record.txt', folderUrl));
	const beganAt = performance.now();
	const hasTrouble = process.env.TROUBLE !== '0';
	writeFileSync(file, `TROUBLE=${hasTrouble ? '1' : '0'}\n`);
	const record = text =>
		appendFileSync(file, `${String(Math.round(performance.now() - beganAt)).padStart(6)} ms ${text}\n`);
	const closers = [];
	const end = async code => {
		for (const closer of closers.splice(0).reverse()) {
			await Promise.resolve(closer()).catch(error => record(`closing failed: ${String(error)}`));
		}
		record(`exit code ${code}`);
		process.exit(code);
	};
	setTimeout(() => {
		record('the time limit has passed');
		void end(2);
	}, TIME_LIMIT_MS).unref();
	play({ record, hasTrouble, onClose: closer => closers.push(closer) }).then(
		violations => {
			violations.forEach(violation => record(`BROKEN ${violation}`));
			record(violations.length === 0 ? 'the rule held' : `the rule was broken ${violations.length} times`);
			return end(violations.length === 0 ? 0 : 1);
		},
		error => {
			record(`the case could not run: ${error.stack}`);
			return end(2);
		},
	);
}
