import { connect, createServer, type Socket } from 'node:net';
import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { kindError } from '@chestnutwheel/base/common/kindError.js';
import type { ListenAddress } from '../../common/coordinatorSettings.js';
import type { PeerHandlers } from '../../common/peerProtocol.js';
import { createPeerConnection, type PeerConnection } from './peerConnection.js';

/** Connections that other daemons opened to this one. */
const MAXIMUM_INCOMING_CONNECTIONS = 512;

/** All connections to other daemons. */
export interface PeerNetwork {
	/** Links that other daemons have opened. */
	incoming(): readonly PeerConnection[];
	/**
	 * Opens a connection to another daemon, or returns the open one.
	 * @throws `peer-unreachable`
	 */
	dial(address: string, timeoutMs: number): Promise<PeerConnection>;
	/** Closes the connection to an address, if there is one. */
	disconnect(address: string): void;
	/** Starts to listen. */
	listen(address: ListenAddress): Promise<void>;
}

/** Creates a network that closes everything when the signal is aborted. */
export function createPeerNetwork(
	handlers: () => PeerHandlers,
	clock: Clock,
	counters: Counters,
	signal: AbortSignal,
): PeerNetwork {
	const incoming = new Set<PeerConnection>();
	const connections = new Set<PeerConnection>();
	const outgoing = new Map<string, Promise<PeerConnection>>();

	const createConnection = (socket: Socket, onClosed: (link: PeerConnection) => void): PeerConnection => {
		const link = createPeerConnection({ socket, handlers: handlers(), counters, now: () => clock.now(), onClosed });
		connections.add(link);
		return link;
	};

	const server = createServer(socket => {
		if (incoming.size >= MAXIMUM_INCOMING_CONNECTIONS) {
			counters.add('peer_connections_refused_total');
			socket.destroy();
			return;
		}
		incoming.add(
			createConnection(socket, link => {
				incoming.delete(link);
				connections.delete(link);
			}),
		);
	});
	signal.addEventListener(
		'abort',
		() => {
			server.close();
			connections.forEach(link => link.close());
		},
		{ once: true },
	);

	const openConnection = (address: string, timeoutMs: number): Promise<PeerConnection> =>
		new Promise((resolve, reject) => {
			const separator = address.lastIndexOf(':');
			const socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) });
			const fail = (reason: string): void => {
				clearTimeout(timer);
				socket.destroy();
				reject(kindError('peer-unreachable', `${address}: ${reason}`));
			};
			const timer = setTimeout(() => fail('no connection in time'), timeoutMs);
			const onError = (error: Error): void => fail(error.message);
			socket.once('error', onError);
			socket.once('connect', () => {
				clearTimeout(timer);
				socket.off('error', onError);
				resolve(
					createConnection(socket, link => {
						connections.delete(link);
						outgoing.delete(address);
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
			const opening = openConnection(address, timeoutMs);
			outgoing.set(address, opening);
			opening.catch(() => {
				if (outgoing.get(address) === opening) {
					outgoing.delete(address);
				}
			});
			return opening;
		},
		disconnect: address => {
			const existing = outgoing.get(address);
			outgoing.delete(address);
			existing?.then(
				link => link.close(),
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
