import { describe, expect, it } from 'vitest';
import type { MaintenanceWave } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { JournalEvent } from '../common/jobs/journalEvent.js';
import { createEngineHarness, harnessJob, harnessQueue, harnessStep, type EngineHarness } from './engineHarness.js';
import { createModelHosts, type ModelHosts } from './modelHosts.js';

const JOB = '0000000000000001';
const HOST = 'host-1';

/** Its time is so short that it takes hosts of busy pools as well. */
const wave: MaintenanceWave = { wave: 1, hosts: [HOST], durationMs: 8_000, maximumDown: 1 };

/** A job whose only task takes most of a host and does not end by itself here. */
const longJob = harnessJob(harnessStep({ count: 1, demand: { milliCores: 24_000, memoryMb: 1_000, accelerators: 0 } }));

/** A leader of hosts that follow the platform's page, and of the workers on them. */
interface HostFleet {
	readonly harness: EngineHarness;
	readonly hosts: ModelHosts;
	/** Advances the clock. Starts are confirmed, orders to hosts are carried out, and lists of hosts are answered. */
	advance(milliseconds: number): void;
	/** Time of each start of the task. */
	readonly startTimes: readonly number[];
	/** Time of each answer to an order. */
	readonly answerTimes: readonly number[];
	/** Incarnations that the leader has taken for ended, with the time. */
	readonly endedWorkers: readonly { readonly worker: unknown; readonly at: number }[];
	/** Decides whether lists of hosts are answered; they are unless set. */
	answersLists: boolean;
}

/** Options of {@link createHostFleet}. */
interface HostFleetOptions {
	readonly journal?: readonly JournalEvent[];
	/** Whether the host of the wave has its maintenance behind it, and a second worker. */
	readonly isMaintained?: boolean;
}

/** Creates a leader of the host of the wave alone. */
function createHostFleet({ journal = [], isMaintained = false }: HostFleetOptions): HostFleet {
	const workers = new Map<string, ReturnType<EngineHarness['addWorker']>>();
	const endedWorkers: { worker: unknown; at: number }[] = [];
	let isReady = false;
	const join = (worker: string, host: string): void => {
		workers.set(worker, harness.addWorker(worker, 'desk', { host }));
	};
	const hosts = createModelHosts([{ name: HOST, pool: 'desk' }], {
		workerEnded: worker => {
			const ended = workers.get(worker);
			if (ended !== undefined) {
				harness.setSilent(ended, true);
			}
		},
		workerJoined: (worker, host) => {
			if (isReady) {
				join(worker, host);
			}
		},
		maintenanceBegan: () => undefined,
	});
	if (isMaintained) {
		hosts.order(HOST, { type: 'upkeep', wave: wave.wave }, 0);
		hosts.advance(5_000);
	}
	const harness = createEngineHarness({
		pools: [{ name: 'desk', isStandby: false, guardsRoom: false }],
		queues: [harnessQueue('desk')],
		journal,
		now: 5_000,
		logDecision: (decision, fields) => {
			if (decision === 'worker-ended') {
				endedWorkers.push({ worker: fields.worker, at: harness.now });
			}
		},
	});
	isReady = true;
	hosts.list().forEach(({ worker, host }) => join(worker, host));
	const startTimes: number[] = [];
	const answerTimes: number[] = [];

	const fleet: HostFleet = {
		harness,
		hosts,
		startTimes,
		answerTimes,
		endedWorkers,
		answersLists: true,
		advance: milliseconds => {
			for (const until = harness.now + milliseconds; harness.now < until;) {
				harness.advance(20);
				hosts.advance(harness.now);
				if (harness.confirmStarts() > 0) {
					startTimes.push(harness.now);
				}
				for (const effect of harness.takeEffects()) {
					if (effect.type === 'list-hosts') {
						harness.engine.hostsListed(fleet.answersLists ? hosts.list() : undefined, harness.now);
					} else if (effect.type === 'host-order') {
						answerTimes.push(harness.now);
						harness.engine.hostOrderAnswered(
							effect.host,
							hosts.order(effect.host, effect.action, harness.now),
							harness.now,
						);
					}
				}
			}
		},
	};
	return fleet;
}

/** Lets the task run on the host of the wave, and begins the wave. */
function startOnHostOfWave(fleet: HostFleet): void {
	fleet.harness.submit(JOB, 'desk', longJob);
	fleet.advance(200);
	expect(fleet.startTimes).toHaveLength(1);
	fleet.harness.engine.wavesChanged([wave], fleet.harness.now);
}

/** Advances until the order to the host of the wave has been answered. */
function advanceToAnswer(fleet: HostFleet): number {
	for (let step = 0; step < 500 && fleet.answerTimes.length === 0; step++) {
		fleet.advance(20);
	}
	expect(fleet.answerTimes).toHaveLength(1);
	return fleet.answerTimes[0] ?? 0;
}

describe('an upkeep that the host service accepts because it is done', () => {
	// Its acceptance was taken for the end of the worker that had joined after it, and the run there was started a second time.
	it('ends no run on the worker that has joined since', () => {
		const fleet = createHostFleet({ isMaintained: true });
		startOnHostOfWave(fleet);
		fleet.advance(10_000);
		expect(fleet.answerTimes).toHaveLength(1);
		expect(fleet.endedWorkers).toEqual([]);
		expect(fleet.startTimes).toHaveLength(1);
		expect(fleet.harness.journal).toContainEqual(expect.objectContaining({ type: 'host-settled', isDone: true }));
	});

	// A leader of an earlier version has journaled the present worker as ended by it.
	it('ends no run on the worker that a journaled acceptance names', () => {
		const journal: readonly JournalEvent[] = [
			{
				type: 'host-ordered',
				order: { host: HOST, action: { type: 'upkeep', wave: 1 }, term: 9, orderedAt: 4_000 },
			},
			{
				type: 'host-accepted',
				host: HOST,
				acceptance: { endedWorker: 'host-1-worker-2@1' },
				last: [HOST, 9, 4_010],
			},
		];
		const fleet = createHostFleet({ isMaintained: true, journal });
		fleet.harness.submit(JOB, 'desk', longJob);
		fleet.advance(5_000);
		expect(fleet.endedWorkers).toEqual([]);
		expect(fleet.startTimes).toHaveLength(1);
	});
});

describe('an upkeep that ends a run', () => {
	const ended = { worker: 'host-1-worker-1@1' };

	it('lets the run start again as soon as a list shows that the host is away', () => {
		const fleet = createHostFleet({});
		startOnHostOfWave(fleet);
		const acceptedAt = advanceToAnswer(fleet);
		expect(fleet.endedWorkers).toEqual([]);
		fleet.advance(200);
		expect(fleet.endedWorkers).toEqual([expect.objectContaining(ended)]);
		expect(fleet.endedWorkers[0]?.at).toBeLessThanOrEqual(acceptedAt + 150);
		// Leaders of the version before take `endedWorker` for proof.
		expect(fleet.harness.journal).toContainEqual(expect.objectContaining({ type: 'host-accepted', acceptance: ended }));
	});

	it('lets the run start again once a list shows another worker on the host', () => {
		const fleet = createHostFleet({});
		startOnHostOfWave(fleet);
		const acceptedAt = advanceToAnswer(fleet);
		fleet.answersLists = false;
		fleet.advance(2_300);
		expect(fleet.endedWorkers).toEqual([]);
		fleet.answersLists = true;
		fleet.advance(1_000);
		expect(fleet.endedWorkers).toEqual([expect.objectContaining(ended)]);
		expect(fleet.endedWorkers[0]?.at).toBeGreaterThan(acceptedAt + 2_300);
	});
});
