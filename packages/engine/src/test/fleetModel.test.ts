import { createSeededRandom, type SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { FleetPlan } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { JobSpec, StepSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { harnessStep } from './engineHarness.js';
import { createFleetModel, type FleetModel } from './fleetModel.js';
import type { ModelFaults } from './modelNetwork.js';

const resources = { milliCores: 8_000, memoryMb: 16_000, accelerators: 0 };

const plan: FleetPlan = {
	version: 1,
	queues: [
		{
			name: 'drafts',
			host: 'desk.example',
			pathPrefix: '/drafts/',
			pool: 'desk',
			priority: 0,
			attempts: 3,
			objectiveFactor: 2,
			objectiveMs: 500,
			isOpen: true,
			advice: undefined,
		},
	],
	pools: [{ name: 'desk', isStandby: false, guardsRoom: false }],
	// The id of a job begins with the name of its team.
	teams: [{ name: 'a', keys: [], weight: 1, cap: { milliCores: 12_000, memoryMb: 0, accelerators: 0 } }],
	limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

function stepOf(changes: Partial<StepSpec> = {}): StepSpec {
	return harnessStep({ demand: { milliCores: 2_000, memoryMb: 3_000, accelerators: 0 }, ...changes });
}

function jobOf(steps: readonly StepSpec[]): JobSpec {
	return { payload: 'x', steps, repeats: 0, firstDueAt: 0, intervalMs: 0 };
}

function randomJob(random: SeededRandom): JobSpec {
	const steps = Array.from({ length: 1 + random.nextInteger(3) }, (_, number) =>
		stepOf({
			count: 1 + random.nextInteger(5),
			demand: {
				milliCores: 500 + random.nextInteger(4_000),
				memoryMb: 500 + random.nextInteger(6_000),
				accelerators: 0,
			},
			after: number === 0 || random.next() < 0.2 ? [] : [number - 1],
		}),
	);
	return jobOf(random.next() < 0.15 ? [stepOf({ isLasting: true, maximumAway: 1, count: 3 })] : steps);
}

/** Selects tasks by a hash of their name, so that every run of a selected task fails. */
function isPoisoned(task: string, share: number): boolean {
	let hash = 0;
	for (const letter of task) {
		hash = (hash * 31 + letter.charCodeAt(0)) % 1_000;
	}
	return hash < share * 1_000;
}

/** Selects other tasks than {@link isPoisoned}, which crash each worker that starts them. */
function crashesWorker(task: string, share: number): boolean {
	return isPoisoned(`${task} crashes`, share);
}

interface ModelVariation {
	/** Share of the tasks whose runs all fail. */
	readonly poisonedShare?: number;
	/** Share of the tasks that crash each worker that starts them. */
	readonly crashingShare?: number;
	/** Number of ends that a worker lists at a time; unlimited unless given. */
	readonly listedEndsLimit?: number;
}

function createModel(
	seed: number,
	faults: ModelFaults,
	{ poisonedShare = 0.05, crashingShare = 0, listedEndsLimit = Infinity }: ModelVariation = {},
): FleetModel {
	const random = createSeededRandom(seed);
	return createFleetModel({
		random,
		plan,
		resources,
		faults,
		listedEndsLimit,
		workers: Array.from({ length: 6 }, (_, index) => ({
			name: `w${index}`,
			pool: 'desk',
			rack: `r${index % 3}`,
		})),
		behaviourOf: (task, spec) => {
			const step = spec.steps[Number(task.split('.')[2])] ?? stepOf();
			return {
				runMs: 100 + ((task.length * 7_919 + Number(task.split('.')[3]) * 131) % 1_200),
				fails: isPoisoned(task, poisonedShare),
				crashesWorker: crashesWorker(task, crashingShare),
				isService: step.isLasting,
				demand: step.demand,
			};
		},
	});
}

const noFaults: ModelFaults = { answerLossRate: 0, delayedExecutionRate: 0 };

type Incident =
	| 'crash'
	| 'cut'
	| 'leader-killed'
	| 'leader-deposed'
	| 'store-outage'
	| 'reborn-behind-cut'
	| 'cancel'
	| 'early-cancel'
	| 'lapse';

/** Runs 14 s of model time with randomly submitted jobs and the given incidents. */
function runHistory(
	seed: number,
	incidents: readonly { readonly type: Incident; readonly at: number }[],
	faults: ModelFaults,
	variation?: ModelVariation,
): FleetModel {
	const random = createSeededRandom(seed + 1);
	const model = createModel(seed, faults, variation);
	const pending = [...incidents].sort((left, right) => left.at - right.at);
	const delayed: { readonly at: number; readonly run: () => void }[] = [];
	let submittedJobs = 0;
	const inject: Record<Incident, () => void> = {
		crash: () => {
			const worker = model.workers[random.nextInteger(model.workers.length)];
			if (worker?.isUp === true) {
				worker.crash(model.now);
				delayed.push({
					at: model.now + 500 + random.nextInteger(4_000),
					run: () => {
						worker.restart(model.now);
						model.listWorker(worker);
					},
				});
			}
		},
		cut: () => {
			const worker = model.workers[random.nextInteger(model.workers.length)];
			if (worker !== undefined) {
				model.setPartitioned(worker.name, true);
				delayed.push({
					at: model.now + random.nextInteger(12_000),
					run: () => model.setPartitioned(worker.name, false),
				});
			}
		},
		'leader-killed': () => model.changeLeader(true),
		'leader-deposed': () => model.changeLeader(false),
		'store-outage': () => {
			model.setJournalAvailable(false);
			delayed.push({ at: model.now + random.nextInteger(4_000), run: () => model.setJournalAvailable(true) });
		},
		'reborn-behind-cut': () => {
			const worker = model.workers[random.nextInteger(model.workers.length)];
			if (worker?.isUp === true) {
				model.setPartitioned(worker.name, true);
				worker.crash(model.now);
				worker.restart(model.now + 5);
				delayed.push({
					at: model.now + random.nextInteger(5_000),
					run: () => {
						model.setPartitioned(worker.name, false);
						model.listWorker(worker);
					},
				});
			}
		},
		cancel: () => model.cancel(`a${Math.max(0, submittedJobs - 2)}`),
		// One of the next jobs, of which the team is not known yet.
		'early-cancel': () => {
			const number = submittedJobs + random.nextInteger(10);
			['a', 'b'].forEach(team => model.cancel(`${team}${number}`));
		},
		lapse: () => {
			model.workers.forEach(worker => model.setPartitioned(worker.name, true));
			delayed.push({
				at: model.now + 7_000,
				run: () => model.workers.forEach(worker => model.setPartitioned(worker.name, false)),
			});
		},
	};
	while (model.now < 14_000) {
		if (model.now < 9_000 && random.next() < 0.25) {
			model.submit(`${random.next() < 0.5 ? 'a' : 'b'}${submittedJobs++}`, randomJob(random));
		}
		while (pending[0] !== undefined && pending[0].at <= model.now) {
			inject[pending[0].type]();
			pending.shift();
		}
		for (const entry of delayed.splice(0)) {
			if (entry.at <= model.now) {
				entry.run();
			} else {
				delayed.push(entry);
			}
		}
		model.advance(100);
	}
	return model;
}

const incidentTypes: readonly Incident[] = [
	'crash',
	'cut',
	'leader-killed',
	'leader-deposed',
	'store-outage',
	'reborn-behind-cut',
	'cancel',
	'lapse',
];

describe('a fleet under the engine', () => {
	it('runs each task of a job once, in the order of the steps', () => {
		const model = createModel(1, noFaults, { poisonedShare: 0 });
		model.submit(
			'b0',
			jobOf([stepOf({ count: 4 }), stepOf({ count: 3, after: [0] }), stepOf({ count: 1, after: [1] })]),
		);
		model.advance(6_000);
		expect(model.checker.violations).toEqual([]);
		expect(model.checker.startCount).toBe(8);
		expect(model.engine.state('b0', undefined)).toEqual({ type: 'state', state: 'done' });
	});

	it('fails a job when a task has used all attempts that the queue allows', () => {
		const model = createModel(2, noFaults, { poisonedShare: 1 });
		model.submit('b0', jobOf([stepOf({ count: 1 })]));
		model.advance(8_000);
		expect(model.checker.violations).toEqual([]);
		expect(model.checker.startCount).toBe(3);
		expect(model.engine.state('b0', undefined)).toEqual({ type: 'state', state: 'failed' });
	});

	it('restarts service tasks after their worker has crashed', () => {
		const model = createModel(3, noFaults, { poisonedShare: 0 });
		model.submit('b0', jobOf([stepOf({ isLasting: true, count: 3 })]));
		model.advance(2_000);
		const worker = model.workers.find(({ runs }) => runs.size > 0);
		worker?.crash(model.now);
		model.advance(5_000);
		expect(model.checker.violations).toEqual([]);
		expect(model.workers.reduce((sum, { runs }) => sum + runs.size, 0)).toBe(3);
	});

	it('completes every job after a change of leader, without duplicate starts', () => {
		const model = createModel(4, noFaults, { poisonedShare: 0 });
		for (let job = 0; job < 10; job++) {
			model.submit(`b${job}`, jobOf([stepOf({ count: 3 }), stepOf({ count: 2, after: [0] })]));
		}
		model.advance(400);
		model.changeLeader(true);
		model.advance(9_000);
		expect(model.checker.violations).toEqual([]);
		for (let job = 0; job < 10; job++) {
			expect(model.engine.state(`b${job}`, undefined)).toEqual({ type: 'state', state: 'done' });
		}
	});

	it('reserves resources for a repeated start that reaches a new incarnation before its stop order', () => {
		const incidents = [
			{ type: 'store-outage', at: 801 },
			{ type: 'reborn-behind-cut', at: 4_501 },
		] as const;
		expect(
			runHistory(116_792, incidents, { answerLossRate: 0.05, delayedExecutionRate: 0 }).checker.violations,
		).toEqual([]);
	});

	it('forbids a start that was confirmed by an incarnation unknown to the leader', () => {
		const incidents = [
			{ type: 'cancel', at: 1 },
			{ type: 'cut', at: 3_401 },
			{ type: 'crash', at: 1 },
			{ type: 'reborn-behind-cut', at: 3_501 },
		] as const;
		expect(runHistory(240_344, incidents, noFaults).checker.violations).toEqual([]);
	});

	it('does not fail a job for a start that reached its worker after a crash', () => {
		expect(runHistory(829_942, [], noFaults, { crashingShare: 0.1 }).checker.violations).toEqual([]);
	});

	it('does not fail a job whose worker has crashed once for another reason', () => {
		const incidents = [
			{ type: 'crash', at: 4_201 },
			{ type: 'crash', at: 1_201 },
		] as const;
		expect(runHistory(331_141, incidents, noFaults).checker.violations).toEqual([]);
	});

	// docs/PROOFS.md lists the mutations of the engine that these histories detect.
	const histories = Number(process.env.FLEET_HISTORIES ?? 120);
	it(`holds its invariants in ${histories} histories with random incidents`, { timeout: 3_600_000 }, () => {
		const incident = fc.record({
			type: fc.constantFrom(...incidentTypes),
			at: fc.integer({ min: 0, max: 10_000 }),
		});
		fc.assert(
			fc.property(
				fc.integer({ min: 0, max: 1_000_000 }),
				fc.array(incident, { maxLength: 6 }),
				fc.constantFrom<ModelFaults>(
					noFaults,
					{ answerLossRate: 0.05, delayedExecutionRate: 0 },
					{ answerLossRate: 0.02, delayedExecutionRate: 0.05 },
				),
				(seed, incidents, faults) => {
					expect(runHistory(seed, incidents, faults).checker.violations).toEqual([]);
				},
			),
			{ numRuns: histories, seed: Number(process.env.FLEET_SEED ?? 20_261_204) },
		);
	});

	const cutOffHistories = Math.ceil(histories / 2);
	it(
		`starts no ended task again in ${cutOffHistories} histories with workers that list few ends at a time`,
		{ timeout: 3_600_000 },
		() => {
			const incident = fc.record({ type: fc.constantFrom(...incidentTypes), at: fc.integer({ min: 0, max: 10_000 }) });
			fc.assert(
				fc.property(
					fc.integer({ min: 0, max: 1_000_000 }),
					fc.array(incident, { maxLength: 6 }),
					fc.constantFrom<ModelFaults>(noFaults, { answerLossRate: 0.05, delayedExecutionRate: 0 }),
					fc.constantFrom(1, 3),
					(seed, incidents, faults, listedEndsLimit) => {
						expect(runHistory(seed, incidents, faults, { listedEndsLimit }).checker.violations).toEqual([]);
					},
				),
				{ numRuns: cutOffHistories, seed: Number(process.env.FLEET_SEED ?? 20_261_204) },
			);
		},
	);

	const earlyCancelHistories = Math.ceil(histories / 2);
	it(
		`starts nothing of a job that was cancelled before its submission in ${earlyCancelHistories} histories`,
		{ timeout: 3_600_000 },
		() => {
			const types: readonly Incident[] = ['early-cancel', 'leader-killed', 'leader-deposed', 'store-outage'];
			const incident = fc.record({ type: fc.constantFrom(...types), at: fc.integer({ min: 0, max: 9_000 }) });
			fc.assert(
				fc.property(
					fc.integer({ min: 0, max: 1_000_000 }),
					fc.array(incident, { minLength: 4, maxLength: 12 }),
					(seed, incidents) => {
						expect(runHistory(seed, incidents, noFaults).checker.violations).toEqual([]);
					},
				),
				{ numRuns: earlyCancelHistories, seed: Number(process.env.FLEET_SEED ?? 20_261_204) },
			);
		},
	);

	const crashHistories = Math.ceil(histories / 2);
	it(
		`limits the crashes by one task in ${crashHistories} histories with random incidents`,
		{ timeout: 3_600_000 },
		() => {
			const incident = fc.record({
				type: fc.constantFrom<Incident>('crash', 'cut', 'leader-killed', 'leader-deposed', 'store-outage', 'lapse'),
				at: fc.integer({ min: 0, max: 10_000 }),
			});
			fc.assert(
				fc.property(
					fc.integer({ min: 0, max: 1_000_000 }),
					fc.array(incident, { maxLength: 6 }),
					fc.constantFrom<ModelFaults>(noFaults, { answerLossRate: 0.05, delayedExecutionRate: 0 }),
					fc.constantFrom(0.02, 0.1),
					(seed, incidents, faults, crashingShare) => {
						expect(runHistory(seed, incidents, faults, { crashingShare }).checker.violations).toEqual([]);
					},
				),
				{ numRuns: crashHistories, seed: Number(process.env.FLEET_SEED ?? 20_261_204) },
			);
		},
	);
});
