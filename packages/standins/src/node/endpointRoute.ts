import { endpointHeaders, type StartPermit } from '@chestnutwheel/platform/common/workerProtocol.js';
import type { FastifyInstance, FastifyReply } from 'fastify';
import type { IncomingHttpHeaders } from 'node:http';
import type { Socket } from 'node:net';
import { z } from 'zod';
import type { WorkerFaults } from './workerFaults.js';
import { LONGEST_LEASE_MS, type WorkerTasks } from './workerTasks.js';

/** Options of {@link addEndpointRoute}. */
export interface EndpointRouteOptions {
	readonly host: string;
	readonly tasks: WorkerTasks;
	readonly faults: () => WorkerFaults;
	/** Whether a request came over a connection above the worker's bound. */
	readonly isConnectionFull: (request: { readonly raw: { readonly socket: Socket } }) => boolean;
}

const permitSchema: z.ZodType<Omit<StartPermit, 'queue'>> = z.object({
	taskId: z.string().min(1).max(200),
	cell: z.string().min(1),
	team: z.string(),
	term: z.coerce.number().int().min(0),
	boot: z.string().min(1),
	startByMs: z.coerce.number(),
	leaseMs: z.coerce.number().positive().max(LONGEST_LEASE_MS),
});

/** What the fake service understands of a body; other bodies take no time. */
const workSchema = z.object({
	/** Time that the request takes. */
	workMs: z.coerce.number().min(0).max(600_000).default(0),
	/** Status of the answer. */
	status: z.coerce.number().int().min(200).max(599).default(200),
	/** Length of the answer's body, padded with spaces, if it would be shorter. */
	answerBytes: z.coerce
		.number()
		.int()
		.min(0)
		.max(64 * 1024 * 1024)
		.default(0),
	/** Copied to the ledger. */
	mark: z.string().optional(),
});

function permitOf(headers: IncomingHttpHeaders): Omit<StartPermit, 'queue'> | undefined {
	return permitSchema.safeParse({
		taskId: headers[endpointHeaders.taskId],
		cell: headers[endpointHeaders.cell],
		team: headers[endpointHeaders.team],
		term: headers[endpointHeaders.term],
		boot: headers[endpointHeaders.boot],
		startByMs: headers[endpointHeaders.startBy],
		leaseMs: headers[endpointHeaders.lease],
	}).data;
}

/** The work that a request asks for, in its body or in its query. */
function workOf(body: string, query: unknown): z.infer<typeof workSchema> {
	let fields: unknown;
	try {
		fields = JSON.parse(body);
	} catch {
		fields = undefined;
	}
	const merged = { ...(typeof fields === 'object' ? fields : {}), ...(typeof query === 'object' ? query : {}) };
	return workSchema.safeParse(merged).data ?? workSchema.parse({});
}

interface Answer {
	readonly taskId: string;
	readonly status: number;
	readonly text: string;
}

/** Writes an answer that declares more bytes than it has, or none at all, and cuts the connection. */
function sendBrokenAnswer(reply: FastifyReply, { taskId, status, text }: Answer, declareLength: boolean): void {
	reply.hijack();
	const { raw } = reply;
	raw.writeHead(status, {
		'content-type': 'application/json',
		[endpointHeaders.taskId]: taskId,
		...(declareLength ? { 'content-length': Buffer.byteLength(text) + 1 } : {}),
	});
	if (declareLength) {
		raw.write(text, () => raw.destroy());
	} else {
		raw.end(text);
	}
}

/** Adds `POST /endpoint/{queue}`, the fake service behind a worker's slots. */
export function addEndpointRoute(application: FastifyInstance, options: EndpointRouteOptions): void {
	const { host, tasks, faults, isConnectionFull } = options;
	/** The answer before this one, which a crossed answer repeats. */
	let previous: Answer = { taskId: 'no-such-task', status: 200, text: '{"crossed":true}' };

	const send = (reply: FastifyReply, answer: Answer): FastifyReply => {
		const { truncateAnswers, omitLength, crossAnswers } = faults();
		const chosen = crossAnswers ? previous : answer;
		previous = answer;
		if (truncateAnswers || omitLength) {
			sendBrokenAnswer(reply, chosen, truncateAnswers);
			return reply;
		}
		return reply
			.code(chosen.status)
			.header(endpointHeaders.taskId, chosen.taskId)
			.type('application/json')
			.send(chosen.text);
	};

	application.post<{ Params: { queue: string } }>('/endpoint/:queue', (request, reply) => {
		const found = permitOf(request.headers);
		if (found === undefined) {
			return reply.code(400).send({ error: 'bad-permit' });
		}
		const permit = { ...found, queue: request.params.queue };
		const { taskId, team, queue } = permit;
		const body = typeof request.body === 'string' ? request.body : '';
		const { workMs, status, answerBytes, mark } = workOf(body, request.query);

		return new Promise(resolve => {
			const finish = (answerStatus: number, fields: object): void => {
				const text = JSON.stringify(fields).padEnd(answerBytes, ' ');
				resolve(send(reply, { taskId, status: answerStatus, text }));
			};
			let timer: NodeJS.Timeout | undefined;
			const refused = tasks.start(permit, 'request', mark, isConnectionFull(request), how => {
				clearTimeout(timer);
				// After a reboot the connection is gone, and with it the answer.
				if (how === 'lease-lapsed') {
					finish(504, { error: how });
				}
			});
			if (refused !== undefined) {
				const isProof = refused !== 'duplicate';
				const answer = reply.code(409).header(endpointHeaders.taskId, taskId);
				resolve((isProof ? answer.header(endpointHeaders.notStarted, refused) : answer).send({ error: refused }));
				return;
			}
			const { failEverything, answerLateMs } = faults();
			const complete = (): void => {
				const isFailed = failEverything || status >= 500;
				if (tasks.end(taskId, isFailed ? 'failed' : 'finished')) {
					finish(failEverything ? 500 : status, isFailed ? { error: 'failed' } : { team, queue, host, body });
				}
			};
			const durationMs = workMs + answerLateMs;
			if (durationMs === 0) {
				// A timer would add a millisecond, which benchmarks would count.
				setImmediate(complete);
			} else {
				timer = setTimeout(complete, durationMs);
			}
		});
	});
}
