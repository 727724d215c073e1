/**
 * Stand-in of the platform with machines that have their upkeep: the project's own store and workers, and a host service that
 * follows the section "Machines" of PROTOCOL.md.
 */
import { createServer } from 'node:http';
import { createStoreStandIn } from '../../platform/out/test/storeStandIn.js';
import { createWorkerStandIn } from '../../platform/out/test/workerStandIn.js';

/** Time from the acceptance of an upkeep to the start of the next worker on the machine: `upkeep-s`. */
const UPKEEP_MS = 2_000;

/** Interval at which workers write their entries: `heartbeat-ms`. */
const HEARTBEAT_MS = 1_500;

/** Clocks of the workers begin at different readings. */
const CLOCK_STEP_MS = 1_236_067;

const ROOM = { cpu: 32_000, 'mem-mb': 64_000, gpu: 0 };

async function readBody(request) {
	const parts = [];
	for await (const part of request) {
		parts.push(part);
	}
	return Buffer.concat(parts);
}

function send(response, { status, body }) {
	const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
	response.writeHead(status, { 'content-length': bytes.length, 'content-type': 'application/json' });
	response.end(bytes);
}

async function listen(handler) {
	const server = createServer((request, response) => {
		readBody(request)
			.then(body => handler(request, new URL(request.url, 'http://stand-in'), body))
			.then(
				answer => {
					send(response, answer);
				},
				error => send(response, { status: 500, body: { error: String(error) } }),
			);
	});
	await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
	return server;
}

const addressOf = server => `127.0.0.1:${server.address().port}`;

const close = server =>
	new Promise(resolve => {
		server.close(resolve);
		server.closeAllConnections();
	});

/**
 * Starts the platform.
 * @param onUpkeepAccepted called when an upkeep has been accepted, right before its answer is sent
 * @param createWorker creates a life of a worker; by default the project's own stand-in
 */
export async function startPlatform({
	pool,
	machines,
	record,
	onUpkeepAccepted = () => undefined,
	createWorker = createWorkerStandIn,
}) {
	const store = createStoreStandIn();
	const hosts = new Map();
	const allWorkers = [];
	const orders = [];
	let count = 0;
	let isClosed = false;

	const writeEntry = host => {
		if (host.worker === undefined) {
			return;
		}
		store.put('keyed.servers', host.worker.id, {
			service: pool,
			address: addressOf(host.server),
			zone: 'nea',
			version: '1',
			slots: 8,
			state: 'ready',
			seq: host.seq++,
			born: host.worker.incarnation,
			room: ROOM,
			labels: ['a', `rack-${host.name}`],
			machine: host.name,
		});
	};

	const powerOn = async (host, id) => {
		count++;
		const worker = createWorker({
			id: id ?? `i-${count}`,
			host: host.name,
			incarnation: Date.now(),
			clockStartMs: 1_000_000 + ((count * CLOCK_STEP_MS) % 4_000_000),
			crash: () => undefined,
		});
		allWorkers.push(worker);
		host.server = await listen(async (request, url, body) =>
			request.headers['x-chestnutwheel-expect-instance'] === worker.id
				? worker.handle(url.pathname, JSON.parse(body.toString('utf8')))
				: { status: 421, body: {} },
		);
		host.worker = worker;
		host.seq = 1;
		writeEntry(host);
	};

	const powerOff = async host => {
		const { worker, server } = host;
		if (worker !== undefined) {
			host.worker = undefined;
			worker.stop();
			store.put('keyed.servers', worker.id, undefined);
			await close(server);
		}
	};

	const upkeep = (request, { machine, wave }) => {
		const host = hosts.get(machine);
		const holder = request.headers['x-chestnutwheel-lease-holder'];
		const token = request.headers['x-chestnutwheel-fencing-token'];
		const answer = (status, reason, effect) => {
			orders.push({ at: performance.now(), machine, wave, status, reason, effect, holder, token });
			record(
				`upkeep of ${machine} in wave ${wave} by ${holder} with token ${token}: ${status} ${reason ?? ''}${effect ?? ''}`,
			);
			return { status, body: reason === undefined ? {} : { reason } };
		};
		if (host === undefined) {
			return answer(400);
		}
		if (host.maintainedIn.has(wave)) {
			return answer(200, undefined, 'already done');
		}
		if (host.state !== 'up') {
			return answer(409, 'busy');
		}
		host.maintainedIn.add(wave);
		host.state = 'upkeep';
		const { id } = host.worker;
		void powerOff(host);
		setTimeout(() => {
			if (!isClosed) {
				void powerOn(host).then(() => {
					host.state = 'up';
					record(`${host.worker.id} has joined on ${host.name}`);
				});
			}
		}, UPKEEP_MS);
		const accepted = answer(200, undefined, `begun, ${id} is terminated`);
		onUpkeepAccepted();
		return accepted;
	};

	const handleHosts = async (request, url, body) => {
		if (url.pathname === '/api/machines') {
			const listed = [...hosts.values()].map(({ name, state, worker }) => ({
				machine: name,
				pool,
				state,
				zone: 'nea',
				labels: ['a', `rack-${name}`],
				room: ROOM,
				id: worker?.id ?? '',
			}));
			return { status: 200, body: { machines: listed } };
		}
		return url.pathname === '/api/machine-upkeep'
			? upkeep(request, JSON.parse(body.toString('utf8')))
			: { status: 400, body: {} };
	};

	for (let index = 0; index < machines; index++) {
		const host = {
			name: `m-${index}`,
			state: 'up',
			maintainedIn: new Set(),
			worker: undefined,
			server: undefined,
			seq: 1,
		};
		hosts.set(host.name, host);
		await powerOn(host);
	}
	const beats = setInterval(() => hosts.forEach(writeEntry), HEARTBEAT_MS);
	const storeServer = await listen((_request, url, body) => store.handle(url.pathname, url.searchParams, body));
	const hostServer = await listen(handleHosts);

	return {
		store,
		addresses: { store: addressOf(storeServer), hosts: addressOf(hostServer) },
		allWorkers,
		orders,
		configure: configuration => store.put('keyed.op', 'config', configuration),
		requestWave: wave => store.put('keyed.op', `wave/${wave.wave}`, wave),
		/** Crashes the worker of a machine. Its next life begins after some time, under the same id. */
		crash: async (machine, downMs) => {
			const host = hosts.get(machine);
			const { worker, server } = host;
			host.worker = undefined;
			worker.stop();
			await close(server);
			setTimeout(() => {
				if (!isClosed) {
					void powerOn(host, worker.id).then(() => record(`${worker.id} has started again on ${machine}`));
				}
			}, downMs);
		},
		stateOf: machine => hosts.get(machine)?.state,
		workerOn: machine => hosts.get(machine)?.worker,
		waveStatus: wave => store.newest('keyed.status').get(`wave/${wave}`)?.state,
		close: async () => {
			isClosed = true;
			clearInterval(beats);
			await Promise.all([...hosts.values()].map(powerOff));
			await Promise.all([storeServer, hostServer].map(close));
		},
	};
}
