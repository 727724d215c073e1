import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** What a connection is used for. */
export type ConnectionUse = 'caller' | 'control' | 'peer' | 'log' | 'host-list' | 'worker';

/** Counts the bytes of all connections of this process, as the operating system carries them. */
export interface NetworkMeter {
	/** Counts the connections that a server accepts. */
	observeServer(server: Server, use: 'caller' | 'control'): void;
	/** Bytes read and written so far, by use. */
	totals(): ReadonlyMap<ConnectionUse, { readonly read: number; readonly written: number }>;
}

/** The channel on which undici announces its connections. */
const CONNECTED_CHANNEL = 'undici:client:connected';

interface MeteredSocket {
	readonly socket: Socket;
	readonly use: ConnectionUse;
}

/**
 * Creates a meter; it stops listening when the signal is aborted.
 * @param useOf what the connections to an origin such as `127.0.0.1:7000` are used for
 */
export function createNetworkMeter(useOf: (origin: string) => ConnectionUse, signal: AbortSignal): NetworkMeter {
	const open = new Set<MeteredSocket>();
	const closed = new Map<ConnectionUse, { read: number; written: number }>();

	const addTo = (
		totals: Map<ConnectionUse, { read: number; written: number }>,
		{ socket, use }: MeteredSocket,
	): void => {
		const sum = totals.get(use) ?? { read: 0, written: 0 };
		totals.set(use, { read: sum.read + socket.bytesRead, written: sum.written + socket.bytesWritten });
	};

	const observe = (metered: MeteredSocket): void => {
		open.add(metered);
		metered.socket.once('close', () => {
			open.delete(metered);
			addTo(closed, metered);
		});
	};

	const onConnected = (message: unknown): void => {
		const { connectParams, socket } = message as { connectParams: { host: string }; socket: Socket };
		observe({ socket, use: useOf(connectParams.host) });
	};
	subscribe(CONNECTED_CHANNEL, onConnected);
	signal.addEventListener('abort', () => unsubscribe(CONNECTED_CHANNEL, onConnected));

	return {
		observeServer: (server, use) => {
			server.on('connection', socket => observe({ socket, use }));
		},
		totals: () => {
			const totals = new Map([...closed].map(([use, sum]) => [use, { ...sum }]));
			for (const metered of open) {
				addTo(totals, metered);
			}
			return totals;
		},
	};
}
