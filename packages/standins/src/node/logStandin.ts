import type { LogReadAnswer } from '@chestnutwheel/platform/common/logProtocol.js';
import type { Clock } from '@chestnutwheel/base/common/clock.js';
import { createSystemClock } from '@chestnutwheel/base/node/systemClock.js';
import { setTimeout as delay } from 'node:timers/promises';
import { z } from 'zod';
import { createLogStreams } from './logStreams.js';
import { addFaultRoutes, createStandinServer, cutConnection, type Standin } from './standinServer.js';

/** Fault switches of the log. */
export const logFaultsSchema = z.strictObject({
	/** Every call is answered with 503 and has no effect. */
	down: z.boolean().default(false),
	/** Time that every call waits first. */
	delayMs: z.number().min(0).optional(),
	/** Appends take effect and their connection is cut. */
	loseAppendAnswers: z.boolean().default(false),
	/** Records below this offset expire now, by stream. */
	expireBefore: z.record(z.string(), z.number().int().min(0)).default({}),
});

/** Fault switches of the log. */
export type LogFaults = z.infer<typeof logFaultsSchema>;

/** Options of {@link createLogStandin}. */
export interface LogStandinOptions {
	/** 0, the default, lets the operating system choose. */
	readonly port?: number;
	/** Records kept per stream; 1,000,000 by default. */
	readonly maximumRecords?: number;
	/** Age after which a record expires; unbounded when left out. */
	readonly maximumAgeMs?: number | undefined;
	/** Time that every call waits first, unless a fault sets another; 0 by default. */
	readonly delayMs?: number;
	readonly clock?: Clock;
}

/** Longest poll of a read. */
const MAXIMUM_WAIT_MS = 1_000;

/** A larger value is refused with status 413. */
const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

const readQuerySchema = z.object({
	from: z.coerce.number().int().min(-1),
	limit: z.coerce.number().int().min(1).max(10_000).default(1_000),
	waitMs: z.coerce.number().min(0).default(0),
});

const appendSchema = z.object({ value: z.string() });

/** Starts a stand-in for the log service. */
export async function createLogStandin(options: LogStandinOptions = {}): Promise<Standin<LogFaults>> {
	const { port = 0, maximumRecords = 1_000_000, maximumAgeMs, delayMs = 0, clock = createSystemClock() } = options;
	const server = createStandinServer(port, MAXIMUM_BODY_BYTES);
	const streams = createLogStreams({ maximumRecords, maximumAgeMs, clock });
	let faults = logFaultsSchema.parse({});

	const setFaults = (changed: LogFaults): void => {
		faults = changed;
		for (const [stream, offset] of Object.entries(changed.expireBefore)) {
			streams.expireBefore(stream, offset);
		}
	};

	const { application } = server;
	addFaultRoutes(application, logFaultsSchema, { get: () => faults, set: setFaults });

	application.addHook('preHandler', async (request, reply) => {
		if (request.url === '/faults') {
			return;
		}
		await delay(faults.delayMs ?? delayMs);
		if (faults.down) {
			await reply.code(503).send({ error: 'unavailable' });
		}
	});

	application.post<{ Params: { stream: string } }>('/streams/:stream/records', async (request, reply) => {
		const parsed = appendSchema.safeParse(request.body);
		if (!parsed.success) {
			return reply.code(400).send({ error: 'bad-request', message: parsed.error.message });
		}
		const offset = streams.append(request.params.stream, parsed.data.value);
		if (faults.loseAppendAnswers) {
			reply.hijack();
			cutConnection(reply.raw);
			return reply;
		}
		return reply.send({ offset });
	});

	application.get<{ Params: { stream: string } }>('/streams/:stream/records', async (request, reply) => {
		const parsed = readQuerySchema.safeParse(request.query);
		if (!parsed.success) {
			return reply.code(400).send({ error: 'bad-request', message: parsed.error.message });
		}
		const { stream } = request.params;
		const { from, limit, waitMs } = parsed.data;
		let answer: LogReadAnswer = streams.read(stream, from, limit);
		if (answer.records.length === 0 && waitMs > 0) {
			await streams.waitForAppend(stream, Math.min(waitMs, MAXIMUM_WAIT_MS));
			answer = streams.read(stream, from, limit);
		}
		if (faults.down) {
			return reply.code(503).send({ error: 'unavailable' });
		}
		if (from >= 0 && from < answer.firstOffset) {
			const { firstOffset, endOffset } = answer;
			return reply.code(410).send({ error: 'log-record-expired', firstOffset, endOffset });
		}
		return reply.send(answer);
	});

	await server.listen();
	return {
		address: server.address,
		setFaults: changed => setFaults(logFaultsSchema.parse(changed)),
		close: async () => {
			streams.wakeAll();
			await server.close();
		},
	};
}
