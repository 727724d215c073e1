import { fastify, type FastifyInstance } from 'fastify';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { z } from 'zod';

/** What every stand-in has in common. */
export interface Standin<Faults> {
	/** `http://127.0.0.1:port` */
	readonly address: string;
	/** Replaces all fault switches. */
	setFaults(faults: Partial<Faults>): void;
	/** Drops all connections and stops. */
	close(): Promise<void>;
}

/** The HTTP server of a stand-in; it can stop to listen and listen again on the same port. */
export interface StandinServer {
	readonly application: FastifyInstance;
	/** `http://127.0.0.1:port`, from the first {@link listen} on. */
	readonly address: string;
	readonly isListening: boolean;
	/** The place of a connection among the open ones, from 1 for the oldest. */
	connectionRank(socket: Socket): number;
	/** Makes all connections that are open now silent: they take requests and never answer. */
	silenceConnections(): void;
	listen(): Promise<void>;
	/** Refuses new connections; connections with a running request go on. */
	refuseConnections(): void;
	/** Refuses new connections and drops all open ones. */
	dropConnections(): void;
	close(): Promise<void>;
}

/** How often and after which time a port that is still taken is tried again. */
const LISTEN_ATTEMPTS = 50;
const LISTEN_RETRY_MS = 20;

const delay = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

function listenOnce(server: Server, port: number): Promise<void> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', () => {
			server.off('error', reject);
			resolve();
		});
	});
}

/** Creates a server that does not listen yet. @param port 0 for one that the operating system chooses */
export function createStandinServer(port: number, bodyLimit: number): StandinServer {
	const sockets = new Set<Socket>();
	const silent = new WeakSet<Socket>();
	let chosenPort = port;
	let server: Server | undefined;

	const application = fastify({
		bodyLimit,
		serverFactory: handler => {
			server = createServer((request, response) => {
				if (silent.has(request.socket)) {
					request.resume();
					return;
				}
				handler(request, response);
			});
			server.keepAliveTimeout = 72_000;
			server.on('connection', (socket: Socket) => {
				sockets.add(socket);
				socket.once('close', () => sockets.delete(socket));
			});
			return server;
		},
	});
	// An answer that becomes ready on a silent connection is withheld.
	application.addHook('onSend', (request, reply, payload, done) => {
		if (silent.has(request.raw.socket)) {
			reply.hijack();
			return;
		}
		done(null, payload);
	});

	const requireServer = (): Server => {
		if (server === undefined) {
			throw new Error('the server was not created');
		}
		return server;
	};
	const refuse = (): void => {
		if (requireServer().listening) {
			requireServer().close();
		}
	};
	const drop = (): void => {
		refuse();
		for (const socket of sockets) {
			socket.destroy();
		}
	};

	return {
		application,
		get address() {
			return `http://127.0.0.1:${chosenPort}`;
		},
		get isListening() {
			return server?.listening ?? false;
		},
		connectionRank: socket => [...sockets].indexOf(socket) + 1,
		silenceConnections: () => {
			for (const socket of sockets) {
				silent.add(socket);
			}
		},
		listen: async () => {
			await application.ready();
			for (let attempt = 1; ; attempt++) {
				try {
					await listenOnce(requireServer(), chosenPort);
					break;
				} catch (error) {
					if (attempt >= LISTEN_ATTEMPTS) {
						throw error;
					}
					await delay(LISTEN_RETRY_MS);
				}
			}
			chosenPort = (requireServer().address() as AddressInfo).port;
		},
		refuseConnections: refuse,
		dropConnections: drop,
		close: async () => {
			drop();
			await application.close();
		},
	};
}

/** Cuts the connection of a request without an answer. */
export function cutConnection(response: ServerResponse): void {
	response.destroy();
}

/** Parses a body that a content type parser has left as text; `undefined` when it is not JSON. */
export function jsonBody(body: unknown): unknown {
	if (typeof body !== 'string') {
		return body;
	}
	try {
		return JSON.parse(body === '' ? '{}' : body);
	} catch {
		return undefined;
	}
}

/** Adds `GET /faults` and `POST /faults`, which replaces all switches. */
export function addFaultRoutes<Faults>(
	application: FastifyInstance,
	schema: z.ZodType<Faults>,
	faults: { get: () => Faults; set: (faults: Faults) => void },
): void {
	application.get('/faults', () => faults.get());
	application.post('/faults', async (request, reply) => {
		const parsed = schema.safeParse(jsonBody(request.body));
		if (!parsed.success) {
			return reply.code(400).send({ error: 'bad-request', message: parsed.error.message });
		}
		faults.set(parsed.data);
		return reply.send(faults.get());
	});
}
