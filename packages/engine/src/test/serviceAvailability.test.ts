import { describe, expect, it } from 'vitest';
import type { JournalEvent } from '../common/jobs/journalEvent.js';
import type { ListedRun } from '@chestnutwheel/ports/common/workerService.js';
import {
	createEngineHarness,
	harnessJob,
	harnessQueue,
	harnessStep,
	type EngineHarness,
	type HarnessWorker,
} from './engineHarness.js';

const names = ['w0', 'w1', 'w2', 'w3', 'w4', 'w5'];

/** Three service tasks on different workers, of which one may be away. */
const serviceStep = harnessStep({
	count: 3,
	demand: { milliCores: 1_000, memoryMb: 100, accelerators: 0 },
	isLasting: true,
	maximumAway: 1,
	maximumPerWorker: 1,
});

const pools = [{ name: 'desk', isStandby: false, guardsRoom: false }];
const queues = [harnessQueue('desk')];

function listHosts(harness: EngineHarness, workers: readonly HarnessWorker[]): void {
	harness.listHosts(workers.map(({ name, host }) => ({ host, pool: 'desk', worker: name })));
}

/** Requests maintenance of the worker's host. */
function addWave(harness: EngineHarness, { host }: HarnessWorker): void {
	harness.engine.wavesChanged([{ wave: 1, hosts: [host], durationMs: 60_000, maximumDown: 1 }], harness.now);
}

/** Returns the tasks that the engine has ordered to stop since the last call. */
function stoppedTasks(harness: EngineHarness): readonly string[] {
	return harness.takeEffects().flatMap(effect => (effect.type === 'stop' ? [effect.task] : []));
}

function serviceTaskOn({ running }: HarnessWorker): ListedRun {
	const [run] = running.values();
	if (run === undefined) {
		throw new Error('the worker runs no task');
	}
	return run;
}

function setPercent(worker: HarnessWorker, percent: number): void {
	const run = serviceTaskOn(worker);
	worker.running.set(run.task, { ...run, percent });
}

interface ServingFleet {
	readonly harness: EngineHarness;
	/** The workers that run the three service tasks, which are ready. */
	readonly serving: readonly [HarnessWorker, HarnessWorker, HarnessWorker];
}

function createServingFleet(): ServingFleet {
	const harness = createEngineHarness({ pools, queues });
	const workers = names.map(name => harness.addWorker(name, 'desk'));
	listHosts(harness, workers);
	harness.submit('service', 'desk', harnessJob(serviceStep));
	harness.advance(20);
	harness.confirmStarts();
	harness.advance(200);
	harness.takeEffects();
	const [first, second, third] = workers.filter(({ running }) => running.size > 0);
	if (first === undefined || second === undefined || third === undefined) {
		throw new Error('the service tasks do not run on three workers');
	}
	return { harness, serving: [first, second, third] };
}

describe('a host that runs a task of a step of which one task may be away is taken down', () => {
	// A task that was listed as starting may be ready when its stop arrives, so that two tasks of the step were away.
	it('keeps a task that is listed as starting while another task of its step is away', () => {
		const { harness, serving } = createServingFleet();
		const [leaving, away] = serving;
		const { task } = serviceTaskOn(leaving);
		setPercent(leaving, 40);
		setPercent(away, 40);
		harness.pollWorker(leaving);
		harness.pollWorker(away);
		addWave(harness, leaving);
		harness.advance(500);
		expect(stoppedTasks(harness)).toEqual([]);
		setPercent(away, 100);
		harness.advance(200);
		expect(stoppedTasks(harness)).toEqual([task]);
	});

	// Answers to orders made an old list of runs count as recent, so that a task that had ended long ago counted as ready.
	it('does not rely on a list of runs that is old although the worker has answered other calls since', () => {
		const { harness, serving } = createServingFleet();
		const [leaving, lost] = serving;
		harness.setSilent(lost, true);
		harness.advance(1_900);
		harness.engine.monitor.stopAnswered(
			`${lost.name}@1`,
			'other',
			1,
			{ type: 'done', clockMs: harness.now },
			harness.now,
		);
		addWave(harness, leaving);
		harness.engine.tick(harness.now + 60);
		harness.advance(20);
		expect(stoppedTasks(harness)).toEqual([]);
	});

	// A stop that waited for the journal was carried out when other tasks of the step had been lost meanwhile.
	it('sends the stop of a task when it is decided, also while the journal stores nothing', () => {
		const { harness, serving } = createServingFleet();
		const [leaving] = serving;
		const { task } = serviceTaskOn(leaving);
		harness.setJournalAvailable(false);
		harness.submit('waiting', 'desk', harnessJob(harnessStep()));
		addWave(harness, leaving);
		harness.advance(100);
		expect(stoppedTasks(harness)).toEqual([task]);
	});

	// A stop that got no answer was sent again for many seconds, also when another task of the step had been lost meanwhile.
	it('does not repeat an unanswered stop while another task of the step is away', () => {
		const { harness, serving } = createServingFleet();
		const [leaving, lost] = serving;
		const { task, run } = serviceTaskOn(leaving);
		const other = serviceTaskOn(lost).task;
		addWave(harness, leaving);
		harness.advance(100);
		expect(stoppedTasks(harness)).toEqual([task]);
		const mayRepeat = (): boolean => harness.engine.mayRepeatStop(`${leaving.name}@1`, task, run, harness.now);
		expect(mayRepeat()).toBe(true);
		harness.endRun(lost, other, 'failed');
		expect(mayRepeat()).toBe(false);
		harness.advance(1_100);
		harness.confirmStarts();
		harness.advance(200);
		expect(mayRepeat()).toBe(true);
	});

	// A cancelled job has to stop in time, however many of its tasks are away.
	it('repeats an unanswered stop of a cancelled job while other tasks of the step are away', () => {
		const { harness, serving } = createServingFleet();
		const [leaving, lost] = serving;
		const { task, run } = serviceTaskOn(leaving);
		addWave(harness, leaving);
		harness.advance(100);
		harness.endRun(lost, serviceTaskOn(lost).task, 'failed');
		harness.engine.cancel('service', undefined, harness.now);
		expect(harness.engine.mayRepeatStop(`${leaving.name}@1`, task, run, harness.now)).toBe(true);
	});

	// Tasks that were stopped while the journal stalled could not start elsewhere before it stored batches again.
	it('stops no task while the journal stalls', () => {
		const { harness, serving } = createServingFleet();
		const [leaving] = serving;
		harness.engine.journalStalled(harness.now);
		addWave(harness, leaving);
		harness.advance(500);
		expect(stoppedTasks(harness)).toEqual([]);
		harness.engine.journalStalled(undefined);
		harness.advance(100);
		expect(stoppedTasks(harness)).toHaveLength(1);
	});
});

describe('a leader takes over while its predecessor stops a service task', () => {
	// A worker lists a stopped run as running until it has ended. The new leader counted it as ready and stopped another.
	it('stops no other task of the step before the lists of runs would show the stop', () => {
		const spec = harnessJob(serviceStep);
		const accepted = {
			id: 'service',
			queue: 'desk',
			terms: harnessQueue('desk'),
			team: undefined,
			acceptedAt: 0,
			spec,
		};
		const journal: JournalEvent[] = [
			{ type: 'accepted', job: accepted },
			{
				type: 'started',
				runs: [0, 1, 2].map(index => [`service.0.0.${index}`, 1, `w${index}`, 1, false] as const),
			},
		];
		const harness = createEngineHarness({ pools, queues, journal });
		const workers = names.map((name, index) =>
			harness.addWorker(
				name,
				'desk',
				{},
				index < 3 ? [{ task: `service.0.0.${index}`, run: 1, checkpoint: '', percent: 100, load: undefined }] : [],
			),
		);
		const [leaving, stopping] = workers;
		if (leaving === undefined || stopping === undefined) {
			throw new Error('the fleet has no workers');
		}
		listHosts(harness, workers);
		addWave(harness, leaving);
		harness.advance(300);
		expect(stoppedTasks(harness)).toEqual([]);
		harness.endRun(stopping, 'service.0.0.1', 'stopped');
		harness.advance(500);
		expect(harness.confirmStarts()).toBe(1);
		expect(stoppedTasks(harness)).toEqual([]);
		harness.advance(500);
		expect(stoppedTasks(harness)).toEqual(['service.0.0.0']);
	});
});

describe('the worker of a host restarts while the order to the host is refused', () => {
	// The mark that keeps tasks away belonged to the old worker. The order then ended tasks that had begun on the new one.
	it('starts no task on the new worker before the order is carried out', () => {
		const harness = createEngineHarness({ pools, queues });
		const [first, second] = ['w0', 'w1'].map(name => harness.addWorker(name, 'desk'));
		if (first === undefined || second === undefined) {
			throw new Error('the fleet has no workers');
		}
		listHosts(harness, [first, second]);
		addWave(harness, first);
		harness.advance(100);
		const ordered = harness.takeEffects().filter(({ type }) => type === 'host-order');
		expect(ordered).toHaveLength(1);
		harness.engine.hostOrderAnswered(first.host, { type: 'refused', reason: 'busy' }, harness.now);
		harness.engine.monitor.pollAnswered('w0@1', { type: 'other-worker' }, harness.now);
		const returned = harness.addWorker('w0-returned', 'desk', { host: first.host });
		harness.listHosts([
			{ host: first.host, pool: 'desk', worker: returned.name },
			{ host: second.host, pool: 'desk', worker: second.name },
		]);
		harness.submit('service', 'desk', harnessJob(serviceStep));
		harness.advance(300);
		const starts = harness.takeEffects().flatMap(effect => (effect.type === 'start' ? [effect.workerKey] : []));
		expect(starts).toEqual(['w1@1']);
	});
});
