import type { Socket } from 'node:net';
import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { kindError, errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import { findInvalidParameter } from '../../common/peerSchemas.js';
import type { PeerCaller, PeerHandlers, PeerSession, PeerMethod, PeerMethods } from '../../common/peerProtocol.js';

/** Maximum size of one message; a plan with some thousands of queues fits. */
const MAXIMUM_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Maximum number of unsent bytes before the connection is considered stuck and closed. */
const MAXIMUM_UNSENT_BYTES = 16 * 1024 * 1024;

const NEWLINE = 0x0a;

/** Connection to a peer. Both ends may call methods. */
export interface PeerConnection extends PeerCaller {
	/** State of the connection that handlers see, such as the name of the peer. */
	readonly session: PeerSession;
	/** Time at which data was last received. */
	readonly lastReceivedAt: number;
	readonly isOpen: boolean;
	/**
	 * Calls a method of the peer.
	 * @throws `peer-unreachable` when no response was received in time; the peer may or may not have executed the call
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
	/** Called once when the connection is closed, by either end or by an error. */
	readonly onClosed: (connection: PeerConnection) => void;
}

/** Creates a peer connection on a connected socket. Messages are JSON texts, one per line. */
export function createPeerConnection(options: PeerConnectionOptions): PeerConnection {
	const { socket, handlers, counters, now, onClosed } = options;
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
	/** Sends a message. Messages of one turn of the event loop are combined into one write. */
	const send = (message: unknown): void => {
		if (!isOpen) {
			throw kindError('peer-unreachable', 'the connection is closed');
		}
		if (socket.writableLength > MAXIMUM_UNSENT_BYTES) {
			socket.destroy();
			throw kindError('peer-unreachable', 'the peer does not read and too many bytes are unsent');
		}
		outgoing.push(`${JSON.stringify(message)}\n`);
		if (outgoing.length === 1) {
			setImmediate(flush);
		}
	};

	const onHandlerError = (): void => counters.add('peer_handlers_failed_total');
	const server = new JSONRPCServer<PeerSession>({ errorListener: onHandlerError });
	for (const [method, handler] of Object.entries(handlers)) {
		server.addMethod(method, (parameters: unknown, session) => {
			const problem = findInvalidParameter(method as PeerMethod, parameters);
			if (problem !== undefined) {
				counters.add('peer_parameters_invalid_total', { method });
				throw kindError('bad-request', `${method}: ${problem}`);
			}
			return (handler as (parameters: unknown, session: PeerSession) => unknown)(parameters, session);
		});
	}
	const client = new JSONRPCClient((message: unknown) => {
		send(message);
	});
	const rpc = new JSONRPCServerAndClient<PeerSession>(server, client, { errorListener: onHandlerError });

	const peer: PeerCaller = {
		notify: (method, parameters) => {
			try {
				rpc.notify(method, parameters, undefined);
			} catch {
				// The connection is closed. Its loss is noticed by the signal.
				counters.add('peer_notifications_unsent_total', { method });
			}
		},
		closed: closed.signal,
	};
	const session: PeerSession = { peerName: undefined, peer };

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
		...peer,
		session,
		get lastReceivedAt() {
			return lastReceivedAt;
		},
		get isOpen() {
			return isOpen;
		},
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
