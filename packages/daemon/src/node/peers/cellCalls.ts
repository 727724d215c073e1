import { kindError } from '@chestnutwheel/base/common/kindError.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { PeerMethod, PeerMethods } from '../../common/peerProtocol.js';
import type { PeerClient } from './peerClient.js';
import type { PeerHandlers } from './peerServer.js';

/** Calls to entry hosts by name, and to the leader of a cell. Calls to this daemon itself stay in the process. */
export interface CellCalls {
	/** @throws `peer-unreachable` */
	toEntryHost<Method extends PeerMethod>(
		entryHost: string,
		method: Method,
		parameters: PeerMethods[Method]['parameters'],
		timeoutMs?: number,
	): Promise<PeerMethods[Method]['result']>;
	/** @throws `no-leader` when no leader is known, `peer-unreachable` */
	toLeader<Method extends PeerMethod>(
		cell: string,
		method: Method,
		parameters: PeerMethods[Method]['parameters'],
		timeoutMs?: number,
	): Promise<PeerMethods[Method]['result']>;
}

/** What the calls need to know. */
export interface CellCallsOptions {
	readonly self: string;
	readonly client: PeerClient;
	/** Handlers of this daemon; set once they exist. */
	readonly handlers: () => PeerHandlers;
	readonly state: () => FleetState;
	readonly leaderOf: (cell: string) => string | undefined;
}

/** Creates calls over the accepted addresses of the entry hosts. */
export function createCellCalls(options: CellCallsOptions): CellCalls {
	const toEntryHost: CellCalls['toEntryHost'] = async (entryHost, method, parameters, timeoutMs) => {
		if (entryHost === options.self) {
			return await options.handlers()[method](parameters);
		}
		const address = options.state().entryHosts[entryHost]?.address;
		if (address === undefined) {
			throw kindError('peer-unreachable', `the entry host ${entryHost} is not in the accepted configuration`);
		}
		return options.client.call(address, method, parameters, timeoutMs);
	};
	return {
		toEntryHost,
		toLeader: async (cell, method, parameters, timeoutMs) => {
			const leader = options.leaderOf(cell);
			if (leader === undefined) {
				throw kindError('no-leader', `no leader of the cell ${cell} is known`);
			}
			return toEntryHost(leader, method, parameters, timeoutMs);
		},
	};
}
