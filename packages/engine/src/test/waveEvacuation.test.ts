import { describe, expect, it } from 'vitest';
import {
	createEngineHarness,
	harnessJob,
	harnessQueue,
	harnessStep,
	type EngineHarness,
	type HarnessWorker,
} from './engineHarness.js';

const names = ['w0', 'w1', 'w2', 'w3', 'w4', 'w5'];
const dueNames = ['w0', 'w1', 'w2'];
const hostOf = (name: string): string => `host-${name}`;

const serviceStep = harnessStep({
	count: 3,
	demand: { milliCores: 1_000, memoryMb: 100, accelerators: 0 },
	isLasting: true,
	maximumAway: 1,
	maximumPerWorker: 1,
});

/** Fills most of a host, so that a wave defers the hosts of the pool. */
const batchStep = harnessStep({ count: 6, demand: { milliCores: 22_000, memoryMb: 100, accelerators: 0 } });

interface Fleet {
	readonly harness: EngineHarness;
	readonly workers: readonly HarnessWorker[];
	/** Lets time pass while workers stop tasks as ordered and begin the tasks that they are sent. */
	readonly play: (milliseconds: number) => void;
	/** Names of the workers that run service tasks. */
	readonly serving: () => readonly string[];
}

function createFleet(): Fleet {
	const harness = createEngineHarness({
		pools: [{ name: 'desk', isStandby: false, guardsRoom: false }],
		queues: [harnessQueue('desk')],
	});
	const workers = dueNames.map(name => harness.addWorker(name, 'desk'));
	harness.submit('service', 'desk', harnessJob(serviceStep));
	const play = (milliseconds: number): void => {
		for (let passed = 0; passed < milliseconds; passed += 100) {
			harness.advance(100);
			harness.confirmStarts();
			for (const effect of harness.takeEffects()) {
				const worker =
					effect.type === 'stop' ? workers.find(({ name }) => effect.workerKey === `${name}@1`) : undefined;
				if (effect.type === 'stop' && worker !== undefined) {
					harness.endRun(worker, effect.task, 'stopped');
				}
			}
		}
	};
	harness.advance(20);
	harness.confirmStarts();
	names.slice(dueNames.length).forEach(name => workers.push(harness.addWorker(name, 'desk')));
	harness.listHosts(names.map(name => ({ host: hostOf(name), pool: 'desk', worker: name })));
	harness.submit('batch', 'desk', harnessJob(batchStep));
	harness.advance(20);
	harness.confirmStarts();
	return {
		harness,
		workers,
		play,
		serving: () =>
			workers
				.filter(({ running }) => [...running.keys()].some(task => task.startsWith('service')))
				.map(({ name }) => name),
	};
}

describe('a wave over busy hosts that serve a step of which one task may be away', () => {
	it('has moved the service tasks to hosts outside the wave long before the hosts are taken down', () => {
		const { harness, play, serving } = createFleet();
		expect([...serving()].sort()).toEqual(dueNames);
		harness.engine.wavesChanged(
			[{ wave: 1, hosts: dueNames.map(hostOf), durationMs: 60_000, maximumDown: 3 }],
			harness.now,
		);
		play(3_000);
		expect(serving().filter(name => dueNames.includes(name))).toEqual([]);
		expect(serving()).toHaveLength(3);
	});

	it('leaves them where they are while no host outside the wave has room', () => {
		const { harness, play, serving } = createFleet();
		harness.engine.wavesChanged(
			[{ wave: 1, hosts: names.map(hostOf), durationMs: 60_000, maximumDown: 3 }],
			harness.now,
		);
		play(3_000);
		expect([...serving()].sort()).toEqual(dueNames);
	});
});
