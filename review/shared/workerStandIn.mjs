// Stand-in of a worker (PROTOCOL.md, "Running tasks"). The spec of a job is `{"ms":N}`, or a list of such times by task index,
// or `{"lasts":true}` for a task without an end, which is at work after a short startup; further fields are ignored.
import { createServer } from 'node:http';
import { readBody, sleep } from './storeStandIn.mjs';

const HOLD_MAX_MS = 6_000;
const ENDS_PER_ANSWER = 500;
const STARTUP_MS = 2_000;
const ROOM = { cpu: 32_000, 'mem-mb': 65_536, gpu: 0 };

/** Starts a worker. `now()` is the time that goes into its ledger. */
export async function startWorker({ id, machine, service, now, onStart = () => undefined }) {
	let bornAt = performance.now();
	let born = Date.now();
	const clock = () => Math.round(performance.now() - bornAt);
	const running = new Map();
	const highestEnded = new Map();
	const ledger = [];
	const waiting = new Set();
	let finished = [];
	let nextIndex = 1;
	let highestFence = 0;
	let leaseUntil = 0;
	let leaseTimer;

	const end = (task, how) => {
		const run = running.get(task);
		clearTimeout(run.timer);
		running.delete(task);
		highestEnded.set(task, Math.max(highestEnded.get(task) ?? 0, run.number));
		run.entry.index = nextIndex++;
		run.entry.end = how;
		run.entry.endedAt = now();
		finished.push([run.entry.index, task, run.number, how, '']);
		waiting.forEach(wake => wake());
	};

	const lapse = () => {
		for (const entry of ledger) {
			if (entry.endedAt !== undefined && entry.acknowledgedAt === undefined) {
				entry.lapsedAt ??= now();
			}
		}
		[...running.keys()].forEach(task => end(task, 'lapsed'));
	};

	const extendLease = deadline => {
		if (typeof deadline === 'number') {
			leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + HOLD_MAX_MS));
			clearTimeout(leaseTimer);
			leaseTimer = setTimeout(lapse, leaseUntil - clock());
		}
	};

	const durationOf = (task, spec) => {
		const { ms, lasts } = JSON.parse(spec);
		const index = Number(task.split('.')[3]);
		return lasts === true ? undefined : Array.isArray(ms) ? ms[index % ms.length] : ms;
	};

	const respond = (status, fields = {}) => ({ status, body: { 'clock-ms': clock(), born, ...fields } });

	const handlers = {
		'/api/run-start': ({ task, run, spec, 'deadline-ms': deadline }) => {
			const present = running.get(task);
			if (present?.number === run) {
				extendLease(deadline);
				return respond(200);
			}
			if (run <= (highestEnded.get(task) ?? 0) || (present !== undefined && run < present.number)) {
				extendLease(deadline);
				return respond(409, { reason: 'old' });
			}
			if (deadline < clock()) {
				return respond(409, { reason: 'late' });
			}
			extendLease(deadline);
			const entry = { worker: id, task, run, spec, startedAt: now(), end: undefined, endedAt: undefined };
			ledger.push(entry);
			onStart(entry);
			const durationMs = durationOf(task, spec);
			const timer = durationMs === undefined ? undefined : setTimeout(() => end(task, 'done'), durationMs);
			running.set(task, { number: run, timer, entry, startedClock: clock(), durationMs });
			return respond(200);
		},
		'/api/run-stop': ({ task, run }) => {
			if (running.get(task)?.number === run) {
				end(task, 'stopped');
			} else {
				highestEnded.set(task, Math.max(highestEnded.get(task) ?? 0, run));
			}
			return respond(200);
		},
		'/api/pace': () => respond(200),
		'/api/hold': async ({ 'ack-index': acknowledged, 'deadline-ms': deadline, 'wait-ms': waitMs = 0 }) => {
			extendLease(deadline);
			for (const entry of ledger) {
				if (entry.index !== undefined && entry.index <= acknowledged) {
					entry.acknowledgedAt ??= now();
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
			const rows = [...running].map(([task, { number, startedClock, durationMs }]) => {
				const share = (clock() - startedClock) / (durationMs ?? STARTUP_MS);
				const percent = Math.min(durationMs === undefined ? 100 : 99, 100 * share);
				return [task, number, '', Math.floor(percent), 0];
			});
			return respond(200, { running: rows, finished: finished.slice(0, ENDS_PER_ANSWER) });
		},
	};

	const server = createServer((request, response) => {
		void (async () => {
			const body = JSON.parse((await readBody(request)).toString('utf8'));
			const path = request.url;
			let answer;
			if (request.headers['x-chestnutwheel-expect-instance'] !== id) {
				answer = { status: 421, body: {} };
			} else if (handlers[path] === undefined) {
				answer = respond(404);
			} else if ((body.fence ?? 0) < highestFence) {
				answer = respond(409, { reason: 'fence' });
			} else {
				highestFence = body.fence ?? 0;
				answer = await handlers[path](body);
			}
			const bytes = Buffer.from(JSON.stringify(answer.body));
			response.writeHead(answer.status, { 'content-length': bytes.length, 'content-type': 'application/json' });
			response.end(bytes);
		})().catch(error => response.destroy(error));
	});
	await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
	const { port } = server.address();
	let sequence = 0;
	let isUp = true;

	return {
		id,
		machine,
		service,
		ledger,
		running,
		room: ROOM,
		/** Returns the worker's entry in the store, with the next sequence number. */
		entry: () => ({
			service,
			address: `127.0.0.1:${port}`,
			zone: 'nea',
			version: 'v1',
			slots: 8,
			state: 'ready',
			'cold-left-ms': 0,
			room: ROOM,
			labels: ['a', `r-${machine}`],
			machine,
			born,
			'clock-ms': clock(),
			seq: ++sequence,
		}),
		get isUp() {
			return isUp;
		},
		/** Ends all runs and starts again at the same address and under the same id after some time, as a new life. */
		crash: async downMs => {
			isUp = false;
			clearTimeout(leaseTimer);
			for (const { timer, entry } of running.values()) {
				clearTimeout(timer);
				entry.end = 'crashed';
				entry.endedAt = now();
			}
			running.clear();
			highestEnded.clear();
			finished = [];
			nextIndex = 1;
			highestFence = 0;
			leaseUntil = 0;
			server.close();
			server.closeAllConnections();
			await sleep(downMs);
			bornAt = performance.now();
			born = Date.now();
			sequence = 0;
			await new Promise(resolve => server.listen(port, '127.0.0.1', resolve));
			isUp = true;
		},
		close: () => {
			clearTimeout(leaseTimer);
			running.forEach(({ timer }) => clearTimeout(timer));
			server.close();
			server.closeAllConnections();
		},
	};
}
