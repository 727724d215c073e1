import { Agent } from 'undici';
import { z } from 'zod';
import type { HostList } from '../common/hostList.js';
import { expectJson, jsonExchange, type JsonRequest } from './jsonExchange.js';

/** Options of {@link createHttpHostListClient}. */
export interface HttpHostListClientOptions {
	/** `http://IP:port` of the host list. */
	readonly baseUrl: string;
	/** Time-out of a read; 2,000 ms by default. */
	readonly readTimeoutMs?: number;
}

/** Client of the host list. */
export interface HostListClient {
	/**
	 * Reads the list.
	 * @param knownVersion version of the list that the caller has; `undefined` when it has none
	 * @returns `undefined` when that version is still the newest
	 * @throws `platform-unreachable`
	 */
	read(knownVersion: number | undefined, signal?: AbortSignal): Promise<HostList | undefined>;
	/** Closes all connections. */
	close(): Promise<void>;
}

const hostListSchema: z.ZodType<HostList> = z.object({
	version: z.number().int().min(0),
	hosts: z.record(z.string(), z.enum(['live', 'leaving', 'down'])),
});

/** Creates a client of the host list. */
export function createHttpHostListClient(options: HttpHostListClientOptions): HostListClient {
	const { baseUrl, readTimeoutMs = 2_000 } = options;
	const origin = new URL(baseUrl).origin;
	const agent = new Agent({ connections: 1, pipelining: 1, connect: { timeout: readTimeoutMs } });
	return {
		read: async (knownVersion, signal) => {
			const request: JsonRequest = {
				origin,
				method: 'GET',
				path: knownVersion === undefined ? '/hosts' : `/hosts?known=${knownVersion}`,
				timeoutMs: readTimeoutMs,
				signal,
			};
			const result = await jsonExchange(agent, request);
			if (result.type === 'answer' && result.status === 304 && knownVersion !== undefined) {
				return undefined;
			}
			return expectJson('host list', hostListSchema, request, result);
		},
		close: () => agent.destroy(),
	};
}
