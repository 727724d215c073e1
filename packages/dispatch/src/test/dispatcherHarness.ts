import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { RunningTask, WorkerStatus } from '@chestnutwheel/platform/common/workerProtocol.js';
import type { DispatchEffect, Grant, PlacementRequest } from '../common/dispatchMessages.js';
import { createDispatcher } from '../common/dispatcher.js';
import { CELL, createFleetFixture } from './fleetFixture.js';

/** Effects of one type. */
export function ofType<Type extends DispatchEffect['type']>(
	effects: readonly DispatchEffect[],
	type: Type,
): readonly Extract<DispatchEffect, { type: Type }>[] {
	return effects.filter((effect): effect is Extract<DispatchEffect, { type: Type }> => effect.type === type);
}

/** The grants among effects. */
export function grantsOf(effects: readonly DispatchEffect[]): readonly Grant[] {
	return ofType(effects, 'granted').map(effect => effect.grant);
}

/** A status answer of a worker with the given work. */
export function statusOf(host: string, now: number, term: number, running: readonly RunningTask[] = []): WorkerStatus {
	return { host, boot: `${host}-1`, clockMs: now, slots: 8, draining: false, terms: { [CELL]: term }, running };
}

/** A request of a team; ids tell requests apart. */
export function requestOf(team: string, id: string, changes: Partial<PlacementRequest> = {}): PlacementRequest {
	return {
		requestId: id,
		entryHost: 'e1',
		cell: CELL,
		team,
		keyId: `key-${team}`,
		queue: 'letters',
		class: 'normal',
		deadline: 60_000,
		avoidHosts: [],
		kind: 'request',
		...changes,
	};
}

/** Creates a dispatcher with a configuration and, unless told otherwise, with every worker fenced at time 0. */
export function createReadyDispatcher(state: FleetState = createFleetFixture(), silentHosts: readonly string[] = []) {
	const dispatcher = createDispatcher({ cell: CELL, random: createSeededRandom(1) });
	dispatcher.handle({ type: 'configuration', state }, 0);
	const asked = dispatcher.handle({ type: 'lease-held', term: 1, until: 1_000_000 }, 0);
	for (const { host } of ofType(asked, 'fence-worker')) {
		dispatcher.handle(
			silentHosts.includes(host)
				? { type: 'worker-unreachable', host }
				: { type: 'worker-status', host, status: statusOf(host, 1, 1), requestedAt: 0 },
			1,
		);
	}
	for (const { entryHost, term } of ofType(asked, 'ask-entry-host')) {
		dispatcher.handle({ type: 'entry-silent', entryHost, term }, 1);
	}
	return dispatcher;
}
