import type { Clock } from '@chestnutwheel/base/common/clock.js';
import { createSystemClock } from '@chestnutwheel/base/node/systemClock.js';
import { endpointHeaders, type JobStart, type WorkerStatus } from '@chestnutwheel/platform/common/workerProtocol.js';
import type { FastifyReply } from 'fastify';
import { z } from 'zod';
import { addEndpointRoute } from './endpointRoute.js';
import { addFaultRoutes, createStandinServer, jsonBody, type Standin } from './standinServer.js';
import { workerFaultsSchema, type WorkerFaults } from './workerFaults.js';
import { createWorkerJobs } from './workerJobs.js';
import { createWorkerLedger, type WorkerLedger } from './workerLedger.js';
import { createWorkerTasks, LONGEST_LEASE_MS } from './workerTasks.js';

/** Options of {@link createWorkerStandin}. */
export interface WorkerStandinOptions {
	readonly host: string;
	/** 0, the default, lets the operating system choose. */
	readonly port?: number;
	/** Tasks that run at once; 8 by default. */
	readonly slots?: number;
	/** Open connections above which starts are refused; 64 by default. */
	readonly connections?: number;
	/** Queues that the worker serves; all when left out. */
	readonly queues?: readonly string[];
	/** Time that a reboot takes; 500 ms by default. */
	readonly rebootMs?: number;
	/** Age of the usage reports; 2,000 ms by default. */
	readonly usageLagMs?: number;
	readonly clock?: Clock;
}

/** A stand-in for one worker host. */
export interface WorkerStandin extends Standin<WorkerFaults> {
	readonly host: string;
	faults(): WorkerFaults;
	status(): WorkerStatus;
	/** The worker's own account of its tasks, which is independent of the system under test. */
	ledger(): ReturnType<WorkerLedger['read']>;
}

/** A larger body is refused with status 413. */
const MAXIMUM_BODY_BYTES = 2 * 1024 * 1024;

const permitSchema = z.object({
	taskId: z.string().min(1).max(200),
	cell: z.string().min(1),
	team: z.string(),
	queue: z.string(),
	term: z.number().int().min(0),
	boot: z.string(),
	startByMs: z.number(),
	leaseMs: z.number().positive().max(LONGEST_LEASE_MS),
});
const jobStartSchema: z.ZodType<JobStart> = z.object({
	permit: permitSchema,
	payload: z.string(),
	checkpoint: z.string().optional(),
});
const fenceSchema = z.object({ cell: z.string().min(1), term: z.number().int().min(0) });
const renewSchema = z.object({
	cell: z.string().min(1),
	term: z.number().int().min(0),
	leaseMs: z.number().positive().max(LONGEST_LEASE_MS),
});
const throttleSchema = z.object({ fraction: z.number().positive().max(1) });
const bootSchema = z.object({ boot: z.string() });
const emptySchema = z.unknown();

interface JobParams {
	readonly Params: { readonly taskId: string };
}

/** Starts a stand-in for a worker host. */
export async function createWorkerStandin(options: WorkerStandinOptions): Promise<WorkerStandin> {
	const { host, port = 0, slots = 8, connections = 64, queues, clock = createSystemClock() } = options;
	const { rebootMs = 500, usageLagMs = 2_000 } = options;
	const server = createStandinServer(port, MAXIMUM_BODY_BYTES);
	const ledger = createWorkerLedger(host, clock);
	const tasks = createWorkerTasks({
		host,
		slots,
		queues: queues === undefined ? undefined : new Set(queues),
		clock,
		ledger,
	});
	let faults = workerFaultsSchema.parse({});
	const jobs = createWorkerJobs(tasks, clock, () => faults.failEverything);
	let rebootTimer: NodeJS.Timeout | undefined;
	/** Whether the worker is down because of a reboot. */
	let isDown = false;
	let isClosed = false;

	const listenIfAllowed = async (): Promise<void> => {
		if (!isClosed && !isDown && !faults.refuseConnections && !server.isListening) {
			await server.listen();
		}
	};
	const returnFromReboot = (): void => {
		if (isDown && rebootTimer === undefined && !faults.doNotReturnAfterReboot) {
			isDown = false;
			void listenIfAllowed();
		}
	};
	const reboot = (): void => {
		isDown = true;
		tasks.reboot();
		jobs.clear();
		server.dropConnections();
		clearTimeout(rebootTimer);
		rebootTimer = setTimeout(() => {
			rebootTimer = undefined;
			returnFromReboot();
		}, rebootMs);
	};

	const setFaults = (changed: WorkerFaults): void => {
		if (changed.silentConnections && !faults.silentConnections) {
			server.silenceConnections();
			ledger.silenced();
		}
		faults = changed;
		if (changed.refuseConnections) {
			server.refuseConnections();
		} else {
			void listenIfAllowed();
		}
		returnFromReboot();
	};

	const { application } = server;
	// The body of a request to the endpoint is opaque; the worker's own routes read JSON.
	application.removeAllContentTypeParsers();
	application.addContentTypeParser('*', { parseAs: 'string' }, (_request, body, done) => done(null, body));

	/** Reads a JSON body by a schema and runs a handler with it. */
	const withBody =
		<Body>(schema: z.ZodType<Body>, handler: (body: Body, reply: FastifyReply, taskId: string) => FastifyReply) =>
		(request: { readonly body: unknown; readonly params: unknown }, reply: FastifyReply): FastifyReply => {
			const parsed = schema.safeParse(jsonBody(request.body));
			const { taskId = '' } = request.params as { taskId?: string };
			return parsed.success
				? handler(parsed.data, reply, taskId)
				: reply.code(400).send({ error: 'bad-request', message: parsed.error.message });
		};
	const sendJob = (reply: FastifyReply, status: object | undefined): FastifyReply =>
		status === undefined ? reply.code(404).send({ error: 'unknown-job' }) : reply.send(status);

	/** A command to the host names the boot that it is meant for, so that a late copy has no effect. */
	const command = (effect: (reply: FastifyReply) => void): ReturnType<typeof withBody> =>
		withBody(bootSchema, ({ boot }, reply) => {
			if (boot !== tasks.boot) {
				return reply.code(409).send({ error: 'wrong-boot' });
			}
			effect(reply);
			return reply.send(tasks.status());
		});

	application.get('/worker/status', () => tasks.status());
	application.post(
		'/worker/fence',
		withBody(fenceSchema, ({ cell, term }, reply) => {
			tasks.raiseTerm(cell, term);
			return reply.send(tasks.status());
		}),
	);
	application.post(
		'/worker/jobs',
		withBody(jobStartSchema, (start, reply) => {
			const refused = jobs.start(start);
			void reply.header(endpointHeaders.taskId, start.permit.taskId);
			return refused === undefined
				? reply.code(201).send(jobs.status(start.permit.taskId))
				: reply.code(409).header(endpointHeaders.notStarted, refused).send({ error: refused });
		}),
	);
	application.get<JobParams>('/worker/jobs/:taskId', (request, reply) =>
		sendJob(reply, jobs.status(request.params.taskId)),
	);
	application.delete<JobParams>('/worker/jobs/:taskId', (request, reply) => {
		const answers = {
			deleted: () => reply.code(204).send(),
			unknown: () => reply.code(404).send({ error: 'unknown-job' }),
			running: () => reply.code(409).send({ error: 'job-running' }),
		};
		return answers[jobs.delete(request.params.taskId)]();
	});
	application.post(
		'/worker/jobs/:taskId/renew',
		withBody(renewSchema, ({ cell, term, leaseMs }, reply, taskId) =>
			tasks.raiseTerm(cell, term)
				? sendJob(reply, jobs.renew(taskId, leaseMs))
				: reply.code(409).send({ error: 'stale-term' }),
		),
	);
	application.post(
		'/worker/jobs/:taskId/checkpoint',
		withBody(emptySchema, (_body, reply, taskId) => sendJob(reply, jobs.checkpoint(taskId))),
	);
	application.post(
		'/worker/jobs/:taskId/throttle',
		withBody(throttleSchema, ({ fraction }, reply, taskId) => sendJob(reply, jobs.throttle(taskId, fraction))),
	);
	application.post(
		'/worker/jobs/:taskId/stop',
		withBody(emptySchema, (_body, reply, taskId) => sendJob(reply, jobs.stop(taskId))),
	);
	application.post(
		'/worker/drain',
		command(() => tasks.setDraining(true)),
	);
	application.post(
		'/worker/resume',
		command(() => tasks.setDraining(false)),
	);
	application.post(
		'/worker/reboot',
		command(reply => reply.raw.once('finish', reboot)),
	);
	application.get('/worker/usage', () => ({
		host,
		slotMsByTeam: ledger.slotMsByTeam(clock.now() - usageLagMs),
		lagMs: usageLagMs,
	}));
	application.get('/worker/ledger', () => ledger.read());
	addFaultRoutes(application, workerFaultsSchema, { get: () => faults, set: setFaults });
	addEndpointRoute(application, {
		host,
		tasks,
		faults: () => faults,
		isConnectionFull: request => server.connectionRank(request.raw.socket) > connections,
	});

	await server.listen();
	return {
		host,
		address: server.address,
		faults: () => faults,
		setFaults: changed => setFaults(workerFaultsSchema.parse(changed)),
		status: () => tasks.status(),
		ledger: () => ledger.read(),
		close: async () => {
			isClosed = true;
			clearTimeout(rebootTimer);
			tasks.reboot();
			jobs.clear();
			await server.close();
		},
	};
}
