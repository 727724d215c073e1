import { JSONRPCClient } from 'json-rpc-2.0';
import { Pool } from 'undici';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { kindError } from '@chestnutwheel/base/common/kindError.js';
import { PEER_CALL_TIMEOUT_MS, type PeerMethod, type PeerMethods } from '../../common/peerProtocol.js';

/** Calls other daemons by JSON-RPC 2.0 over HTTP. */
export interface PeerClient {
	/**
	 * Calls a method of the daemon at an address.
	 * @param timeoutMs the connection is closed when no answer has come by then
	 * @throws `peer-unreachable` whatever went wrong: the peer may or may not have acted
	 */
	call<Method extends PeerMethod>(
		address: string,
		method: Method,
		parameters: PeerMethods[Method]['parameters'],
		timeoutMs?: number,
	): Promise<PeerMethods[Method]['result']>;
}

/** Connections kept per peer; calls that wait for a grant hold one each for a short slice. */
const CONNECTIONS_PER_PEER = 256;

/** Creates a client that closes its connections when the signal is aborted. */
export function createPeerClient(counters: Counters, signal: AbortSignal): PeerClient {
	const pools = new Map<string, Pool>();

	const poolOf = (address: string): Pool => {
		const known = pools.get(address);
		if (known !== undefined) {
			return known;
		}
		const created = new Pool(address, {
			connections: CONNECTIONS_PER_PEER,
			connect: { timeout: PEER_CALL_TIMEOUT_MS },
		});
		pools.set(address, created);
		return created;
	};

	signal.addEventListener('abort', () => {
		for (const pool of pools.values()) {
			void pool.destroy();
		}
		pools.clear();
	});

	const send = async (address: string, payload: unknown, timeoutMs: number): Promise<unknown> => {
		const body = JSON.stringify(payload);
		// Aborting a request closes its connection, so a connection that went silent is not used again.
		const answer = await poolOf(address).request({
			path: '/rpc',
			method: 'POST',
			headers: { 'content-type': 'application/json' },
			body,
			signal: AbortSignal.any([signal, AbortSignal.timeout(timeoutMs)]),
		});
		const text = await answer.body.text();
		counters.add('peer_bytes_total', { direction: 'sent' }, body.length);
		counters.add('peer_bytes_total', { direction: 'received' }, text.length);
		if (answer.statusCode !== 200) {
			throw kindError('peer-unreachable', `${address} answered with status ${answer.statusCode}`);
		}
		return JSON.parse(text) as unknown;
	};

	return {
		call: async (address, method, parameters, timeoutMs = PEER_CALL_TIMEOUT_MS) => {
			const client = new JSONRPCClient(async (payload: unknown) => {
				client.receive((await send(address, payload, timeoutMs)) as Parameters<typeof client.receive>[0]);
			});
			try {
				return (await client.request(method, parameters)) as PeerMethods[typeof method]['result'];
			} catch (error) {
				counters.add('peer_calls_failed_total', { method });
				throw kindError('peer-unreachable', `${method} at ${address} failed`, { cause: error });
			}
		},
	};
}
