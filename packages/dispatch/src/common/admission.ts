import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { PlacementRequest } from './dispatchMessages.js';

/** Why a request may not run. */
export interface Refusal {
	readonly kind: ErrorKind;
	readonly reason: string;
}

/**
 * Checks a request against the accepted state. It runs when the request arrives, when the state changes and again at
 * the grant, so that a key withdrawn while the request waited is honoured.
 */
export function admissionRefusal(state: FleetState, cell: string, request: PlacementRequest): Refusal | undefined {
	const queue = state.queues[request.queue];
	if (!queue?.pools.some(pool => state.pools[pool]?.cell === cell)) {
		return { kind: 'unknown-queue', reason: 'queue-not-in-cell' };
	}
	if (request.team === undefined) {
		return queue.open ? undefined : { kind: 'unknown-key', reason: 'key-missing' };
	}
	const key = request.keyId === undefined ? undefined : state.keys[request.keyId];
	if (key?.team !== request.team) {
		return { kind: 'unknown-key', reason: key === undefined ? 'key-withdrawn' : 'key-of-another-team' };
	}
	const team = state.teams[request.team];
	if (team === undefined) {
		return { kind: 'unknown-key', reason: 'team-withdrawn' };
	}
	return team.queues.includes(request.queue)
		? undefined
		: { kind: 'key-not-allowed', reason: 'queue-not-allowed-for-team' };
}
