import { connect, createServer, type Socket } from 'node:net';
import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { kindError } from '@chestnutwheel/base/common/kindError.js';
import type { ListenAddress } from '../../common/coordinatorSettings.js';
import type { PeerHandlers } from '../../common/peerProtocol.js';
import { createPeerConnection, type PeerConnection } from './peerConnection.js';

/** Maximum number of connections that peers may open to this daemon. */
const MAXIMUM_INCOMING_CONNECTIONS = 512;

/** All connections to and from peers. */
export interface PeerNetwork {
	/** Returns the connections that peers have opened. */
	incoming(): readonly PeerConnection[];
	/**
	 * Opens a connection to a peer, or returns the one that is already open.
	 * @throws `peer-unreachable` when no connection is established in time
	 */
	dial(address: string, timeoutMs: number): Promise<PeerConnection>;
	/** Closes the outgoing connection to an address, if there is one. */
	disconnect(address: string): void;
	/** Starts to accept connections of peers. */
	listen(address: ListenAddress): Promise<void>;
}

/** Creates a peer network that closes all its connections when the signal is aborted. */
export function createPeerNetwork(
	handlers: () => PeerHandlers,
	clock: Clock,
	counters: Counters,
	signal: AbortSignal,
): PeerNetwork {
	const incoming = new Set<PeerConnection>();
	const connections = new Set<PeerConnection>();
	const outgoing = new Map<string, Promise<PeerConnection>>();

	const createConnection = (socket: Socket, onClosed: (connection: PeerConnection) => void): PeerConnection => {
		const connection = createPeerConnection({
			socket,
			handlers: handlers(),
			counters,
			now: () => clock.now(),
			onClosed,
		});
		connections.add(connection);
		return connection;
	};

	const server = createServer(socket => {
		if (incoming.size >= MAXIMUM_INCOMING_CONNECTIONS) {
			counters.add('peer_connections_refused_total');
			socket.destroy();
			return;
		}
		incoming.add(
			createConnection(socket, connection => {
				incoming.delete(connection);
				connections.delete(connection);
			}),
		);
	});
	signal.addEventListener(
		'abort',
		() => {
			server.close();
			connections.forEach(connection => connection.close());
		},
		{ once: true },
	);

	const openConnection = (address: string, timeoutMs: number, onClosed: () => void): Promise<PeerConnection> =>
		new Promise((resolve, reject) => {
			const separator = address.lastIndexOf(':');
			const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) });
			const fail = (reason: string): void => {
				clearTimeout(timer);
				socket.destroy();
				reject(kindError('peer-unreachable', `${address}: ${reason}`));
			};
			const timer = setTimeout(() => fail('connecting timed out'), timeoutMs);
			const onError = (error: Error): void => fail(error.message);
			socket.once('error', onError);
			socket.once('connect', () => {
				clearTimeout(timer);
				socket.off('error', onError);
				resolve(
					createConnection(socket, connection => {
						connections.delete(connection);
						onClosed();
					}),
				);
			});
		});

	return {
		incoming: () => [...incoming],
		dial: (address, timeoutMs) => {
			const existing = outgoing.get(address);
			if (existing !== undefined) {
				return existing;
			}
			const forget = (): void => {
				// Another connection may have been opened to the address since.
				if (outgoing.get(address) === opening) {
					outgoing.delete(address);
				}
			};
			const opening = openConnection(address, timeoutMs, forget);
			outgoing.set(address, opening);
			opening.catch(forget);
			return opening;
		},
		disconnect: address => {
			const existing = outgoing.get(address);
			outgoing.delete(address);
			existing?.then(
				connection => connection.close(),
				() => undefined,
			);
		},
		listen: ({ host, port }) =>
			new Promise((resolve, reject) => {
				server.once('error', reject);
				server.listen(port, host, () => {
					server.off('error', reject);
					resolve();
				});
			}),
	};
}
