import { hashKey } from '@chestnutwheel/configuration/node/keyHash.js';
import type { FleetState, Queue, TeamKey } from '@chestnutwheel/configuration/common/fleetState.js';
import { kindError } from '@chestnutwheel/base/common/kindError.js';

/** Who a request runs for; without a team in an open queue. */
export interface Principal {
	readonly team?: string | undefined;
	readonly keyId?: string | undefined;
}

/** Finds the team whose key came with a request. */
export interface Authenticator {
	/**
	 * Checks a key for one queue.
	 * @throws `unknown-queue`, `unknown-key` or `key-not-allowed`
	 */
	authorize(queueName: string, key: string | undefined): { readonly queue: Queue; readonly principal: Principal };
	/**
	 * Checks a key without a queue, for questions about jobs.
	 * @throws `unknown-key`
	 */
	identify(key: string | undefined): TeamKey;
}

/** Creates an authenticator over the accepted state. */
export function createAuthenticator(current: () => FleetState): Authenticator {
	let indexed: FleetState['keys'] | undefined;
	let byHash = new Map<string, TeamKey>();

	const find = (key: string): TeamKey | undefined => {
		const { keys } = current();
		if (keys !== indexed) {
			indexed = keys;
			byHash = new Map(Object.values(keys).map(teamKey => [teamKey.sha256, teamKey]));
		}
		return byHash.get(hashKey(key));
	};

	const identify = (key: string | undefined): TeamKey => {
		const found = key === undefined ? undefined : find(key);
		if (found === undefined) {
			throw kindError('unknown-key', 'the key is missing, unknown or withdrawn');
		}
		return found;
	};

	return {
		identify,
		authorize: (queueName, key) => {
			const state = current();
			const queue = state.queues[queueName];
			if (queue === undefined) {
				throw kindError('unknown-queue', `there is no queue named ${JSON.stringify(queueName)}`);
			}
			if (queue.open && key === undefined) {
				return { queue, principal: {} };
			}
			const teamKey = identify(key);
			const mayUse = state.teams[teamKey.team]?.queues.includes(queueName) ?? false;
			if (!mayUse) {
				if (queue.open) {
					return { queue, principal: {} };
				}
				throw kindError('key-not-allowed', `the team of this key may not use the queue ${queueName}`);
			}
			return { queue, principal: { team: teamKey.team, keyId: teamKey.id } };
		},
	};
}
