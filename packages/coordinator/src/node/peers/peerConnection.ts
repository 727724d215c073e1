import type { Socket } from 'node:net';
import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { kindError, errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import type { PeerHandlers, PeerSession, PeerMethod, PeerMethods } from '../../common/peerProtocol.js';

/** One message is at most this long; a plan with some thousands of queues fits. */
const MAXIMUM_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Bytes that may wait to be sent before the connection counts as stuck. */
const MAXIMUM_UNSENT_BYTES = 16 * 1024 * 1024;

const NEWLINE = 0x0a;

/** One connection to another daemon; both ends may call. */
export interface PeerConnection {
	/** Name of the other daemon, once it is known. */
	readonly session: PeerSession;
	/** When anything arrived last. */
	readonly lastReceivedAt: number;
	readonly isOpen: boolean;
	/** Aborted when the connection is closed. */
	readonly closed: AbortSignal;
	/**
	 * Calls a method of the other daemon.
	 * @throws `peer-unreachable` when no answer came in time; the other daemon may or may not have acted
	 */
	call<Method extends PeerMethod>(
		method: Method,
		parameters: PeerMethods[Method]['parameters'],
		timeoutMs: number,
	): Promise<PeerMethods[Method]['result']>;
	close(): void;
}

/** Options of {@link createPeerConnection}. */
export interface PeerConnectionOptions {
	readonly socket: Socket;
	readonly handlers: PeerHandlers;
	readonly counters: Counters;
	readonly now: () => number;
	/** Called once, when the connection is closed for whatever reason. */
	readonly onClosed: (link: PeerConnection) => void;
}

/** Wraps a connected socket. Messages are JSON texts, one a line. */
export function createPeerConnection(options: PeerConnectionOptions): PeerConnection {
	const { socket, handlers, counters, now, onClosed } = options;
	const session: PeerSession = { peerName: undefined };
	let lastReceivedAt = now();
	let isOpen = true;
	const closed = new AbortController();
	let chunks: Buffer[] = [];
	let unreadBytes = 0;
	let outgoing: string[] = [];

	const flush = (): void => {
		const text = outgoing.join('');
		outgoing = [];
		if (isOpen) {
			counters.add('peer_bytes_total', { direction: 'sent' }, text.length);
			socket.write(text);
		}
	};
	/** Messages of one turn leave in one write. */
	const send = (message: unknown): void => {
		if (!isOpen) {
			throw kindError('peer-unreachable', 'the connection is closed');
		}
		if (socket.writableLength > MAXIMUM_UNSENT_BYTES) {
			socket.destroy();
			throw kindError('peer-unreachable', 'the other daemon does not read');
		}
		outgoing.push(`${JSON.stringify(message)}\n`);
		if (outgoing.length === 1) {
			setImmediate(flush);
		}
	};

	const onHandlerError = (): void => counters.add('peer_handlers_failed_total');
	const server = new JSONRPCServer<PeerSession>({ errorListener: onHandlerError });
	for (const [method, handler] of Object.entries(handlers)) {
		server.addMethod(method, (parameters, link) =>
			(handler as (parameters: unknown, link: PeerSession) => unknown)(parameters, link),
		);
	}
	const client = new JSONRPCClient((message: unknown) => {
		send(message);
	});
	const rpc = new JSONRPCServerAndClient<PeerSession>(server, client, { errorListener: onHandlerError });

	const handleMessage = (line: Buffer): void => {
		let message: unknown;
		try {
			message = JSON.parse(line.toString('utf8'));
		} catch (error) {
			counters.add('peer_messages_unreadable_total');
			socket.destroy(error instanceof Error ? error : undefined);
			return;
		}
		rpc.receiveAndSend(message, session).catch(() => {
			counters.add('peer_answers_unsent_total');
		});
	};

	const onData = (data: Buffer): void => {
		lastReceivedAt = now();
		let rest = data;
		for (;;) {
			const end = rest.indexOf(NEWLINE);
			if (end < 0) {
				break;
			}
			const line = chunks.length === 0 ? rest.subarray(0, end) : Buffer.concat([...chunks, rest.subarray(0, end)]);
			chunks = [];
			unreadBytes = 0;
			rest = rest.subarray(end + 1);
			handleMessage(line);
		}
		if (rest.length > 0) {
			chunks.push(rest);
			unreadBytes += rest.length;
		}
		if (unreadBytes > MAXIMUM_MESSAGE_BYTES) {
			socket.destroy();
		}
	};

	const connection: PeerConnection = {
		session,
		get lastReceivedAt() {
			return lastReceivedAt;
		},
		get isOpen() {
			return isOpen;
		},
		closed: closed.signal,
		call: async (method, parameters, timeoutMs) => {
			try {
				return (await rpc
					.timeout(timeoutMs)
					.request(method, parameters, undefined)) as PeerMethods[typeof method]['result'];
			} catch (error) {
				counters.add('peer_calls_failed_total', { method });
				throw kindError('peer-unreachable', `${method} failed: ${errorMessageOf(error)}`, { cause: error });
			}
		},
		close: () => socket.destroy(),
	};

	socket.setNoDelay(true);
	socket.on('data', onData);
	socket.on('error', () => counters.add('peer_connections_failed_total'));
	socket.on('close', () => {
		isOpen = false;
		closed.abort();
		rpc.rejectAllPendingRequests('the connection was closed');
		onClosed(connection);
	});
	return connection;
}
