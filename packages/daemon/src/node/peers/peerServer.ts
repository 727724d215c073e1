import { JSONRPCServer } from 'json-rpc-2.0';
import type { PeerMethod, PeerMethods } from '../../common/peerProtocol.js';

/** Handlers of the methods that other daemons call. */
export type PeerHandlers = {
	readonly [Method in PeerMethod]: (
		parameters: PeerMethods[Method]['parameters'],
	) => Promise<PeerMethods[Method]['result']> | PeerMethods[Method]['result'];
};

/** Answers JSON-RPC calls of other daemons. */
export interface PeerServer {
	/** @param request one parsed JSON-RPC request */
	receive(request: unknown): Promise<unknown>;
}

/** Creates a server over a table of handlers. */
export function createPeerServer(handlers: PeerHandlers): PeerServer {
	const server = new JSONRPCServer();
	for (const [method, handler] of Object.entries(handlers)) {
		server.addMethod(method, parameters => (handler as (parameters: unknown) => unknown)(parameters));
	}
	return {
		receive: async request => server.receive(request as Parameters<typeof server.receive>[0]),
	};
}
