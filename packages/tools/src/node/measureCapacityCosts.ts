import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import { parseSnapshot, serializeSnapshot } from '@chestnutwheel/configuration/common/snapshot.js';
import { createDispatcher } from '@chestnutwheel/dispatch/common/dispatcher.js';
import type { DispatchEffect, Dispatcher } from '@chestnutwheel/dispatch/common/dispatchMessages.js';
import { createWaveDriver } from '@chestnutwheel/maintenance/common/waveDriver.js';
import type { LeaseRequest } from '@chestnutwheel/membership/common/leaseMessages.js';
import { createLeaseVoter } from '@chestnutwheel/membership/common/leaseVoter.js';
import type { WorkerStatus } from '@chestnutwheel/platform/common/workerProtocol.js';
import { CAPACITY_CELL, capacityHost, foldFleet, foldNote, type CapacityFleet } from '../common/capacityFleet.js';

/** What one measurement gives: processor microseconds and bytes for one operation. */
export interface CapacityCost {
	readonly microseconds: number;
	readonly bytes: number;
}

/** Processor microseconds of one run of `run`, over at least 200 ms after a warm-up. */
function processorTime(run: (index: number) => void): number {
	for (let index = 0; index < 20; index++) {
		run(index);
	}
	const before = process.cpuUsage();
	const startedAt = performance.now();
	let runs = 0;
	while (performance.now() - startedAt < 200) {
		run(20 + runs);
		runs++;
	}
	const used = process.cpuUsage(before);
	return (used.user + used.system) / runs;
}

const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Folds a note that changes one worker; the time includes writing and reading its JSON. */
export function measureChange(fleet: CapacityFleet): CapacityCost {
	const start = foldFleet(fleet);
	let state = start;
	const microseconds = processorTime(index => {
		const changed = { hosts: [{ ...capacityHost(index % fleet.workers, fleet.pools), slots: 1 + (index % 8) }] };
		state = foldNote(state, `change-${index}`, { changed });
	});
	const note = { id: 'change-1', author: 'capacity', writtenAgainst: 1, changed: { hosts: [capacityHost(1, 1)] } };
	return { microseconds, bytes: bytesOf({ type: 'note', version: 1, note }) };
}

/** One renewal at a voter, with the JSON of the request and of the answer. Voters answer for `cells` cells. */
export function measureLease(cells: number): CapacityCost {
	const voter = createLeaseVoter({ identity: { entryHost: 'entry-1', incarnation: 'a' }, startedAt: 0 });
	const view = { configurationOffset: 47_000, viewAgeMs: 120, logReadable: true };
	const text = (index: number): string =>
		JSON.stringify({
			...{ entryHost: 'entry-2', incarnation: 'b', cell: `cell-${index % cells}`, term: 1 + index },
			...{ entrySetOffset: 5, view },
		});
	let answerBytes = 0;
	const microseconds = processorTime(index => {
		const request = JSON.parse(text(index)) as LeaseRequest;
		const answer = JSON.stringify(voter.answer(request, { entrySetOffset: 5, view, now: 10_000 + index * 500 }));
		answerBytes = answer.length;
		JSON.parse(answer);
	});
	return { microseconds, bytes: text(1).length + answerBytes };
}

/** Reading a changed host list, which is sent whole. */
export function measureHostList(workers: number): CapacityCost {
	const hosts = Object.fromEntries(Array.from({ length: workers }, (_, index) => [`worker-${index}`, 'live']));
	const text = JSON.stringify({ version: 1, hosts });
	return { microseconds: processorTime(() => void JSON.parse(text)), bytes: text.length };
}

function statusOf(host: string, running: number): WorkerStatus {
	const task = { team: 'team-1', queue: 'queue', kind: 'request', term: 7 } as const;
	return {
		...{ host, boot: 'boot-1', clockMs: 123_456, slots: 8, draining: false, terms: { [CAPACITY_CELL]: 1 } },
		running: Array.from({ length: running }, (_, index) => ({ taskId: `task-identifier-${host}-${index}`, ...task })),
	};
}

/** A dispatcher that leads a cell in which every worker has answered. */
function startDispatcher(state: FleetState): { dispatcher: Dispatcher; grantTo: (index: number) => number } {
	const dispatcher = createDispatcher({ cell: CAPACITY_CELL, random: createSeededRandom(1) });
	const names = Object.keys(state.hosts);
	let now = 0;
	dispatcher.handle({ type: 'configuration', state }, now);
	dispatcher.handle({ type: 'host-list', hosts: Object.fromEntries(names.map(name => [name, 'live'])) }, now);
	dispatcher.handle({ type: 'lease-held', term: 1, until: 1e12 }, now);
	names.forEach(host =>
		dispatcher.handle({ type: 'worker-status', host, status: statusOf(host, 0), requestedAt: now }, now),
	);
	dispatcher.handle({ type: 'tick' }, now);
	const grantTo = (index: number): number => {
		now += 0.01;
		const request = {
			...{ requestId: `request-${index}`, entryHost: 'entry-1', cell: CAPACITY_CELL, team: `team-${index % 6}` },
			...{
				keyId: `key-${index % 6}`,
				queue: 'queue',
				class: 'normal' as const,
				deadline: now + 30_000,
				avoidHosts: [],
			},
			kind: 'request',
		} as const;
		const effects: readonly DispatchEffect[] = dispatcher.handle({ type: 'request', request }, now);
		const [granted] = effects.flatMap(effect => (effect.type === 'granted' ? [effect.grant] : []));
		if (granted === undefined) {
			throw new Error(`no grant: ${JSON.stringify(effects)}`);
		}
		dispatcher.handle({ type: 'finished', grantId: granted.grantId, outcome: 'succeeded' }, now);
		return bytesOf(request) + bytesOf(granted);
	};
	return { dispatcher, grantTo };
}

const cellOf = (workers: number): FleetState => foldFleet({ workers, pools: 1, teams: 6, keys: 6 });

/** One grant and its end in the dispatcher of a cell, with the bytes of the request and of the grant. */
export function measureGrant(workers: number): CapacityCost {
	const { grantTo } = startDispatcher(cellOf(workers));
	let bytes = 0;
	const microseconds = processorTime(index => {
		bytes = grantTo(index);
	});
	return { microseconds, bytes };
}

/** One status of a worker with eight tasks: read, and handled by the dispatcher and by the wave driver. */
export function measureStatus(workers: number): CapacityCost {
	const state = cellOf(workers);
	const { dispatcher } = startDispatcher(state);
	const driver = createWaveDriver({ cell: CAPACITY_CELL, random: createSeededRandom(1) });
	driver.handle({ type: 'configuration', state }, 0);
	driver.handle({ type: 'leading', term: 1 }, 0);
	const texts = Object.keys(state.hosts).map(host => JSON.stringify(statusOf(host, 8)));
	const microseconds = processorTime(index => {
		const now = 1_000 + index * 0.1;
		const status = JSON.parse(texts[index % texts.length] ?? '') as WorkerStatus;
		const { host, boot, draining, running } = status;
		dispatcher.handle({ type: 'worker-status', host, status, requestedAt: now }, now);
		driver.handle(
			{ type: 'host-status', status: { host, reachable: true, boot, running: running.length, draining } },
			now,
		);
	});
	return { microseconds, bytes: texts[0]?.length ?? 0 };
}

/** Reading a snapshot of the whole state: schema, checksum and parse. */
export function measureStart(workers: number): CapacityCost {
	const text = serializeSnapshot(foldFleet({ workers, pools: 251, teams: 96, keys: 192 }));
	const before = process.cpuUsage();
	if (parseSnapshot(text) === undefined) {
		throw new Error('the snapshot was refused');
	}
	const used = process.cpuUsage(before);
	return { microseconds: used.user + used.system, bytes: Buffer.byteLength(text) };
}
