import type { FleetPlan } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { JobSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import { addResources, fitsInto, noResources } from '@chestnutwheel/ports/common/resources.js';
import type { ListedEnd } from '@chestnutwheel/ports/common/workerService.js';
import type { JournalEvent } from '../common/jobs/journalEvent.js';
import { parseTaskName } from '../common/jobs/taskName.js';
import type { ModelWorker, WorkerObserver } from './modelWorker.js';

/** Time that a cancelled job has until none of its tasks starts any more. */
const CANCEL_MS = 3_000;

/** Counts at the workers' side, apart from what the engine believes. */
export interface FleetChecker extends WorkerObserver {
	/** What was broken, in words; empty when nothing was. */
	readonly broken: readonly string[];
	readonly starts: number;
	/** Tasks that have ended well and whose end was acknowledged or seen. */
	readonly done: ReadonlySet<string>;
	journalled(events: readonly JournalEvent[], now: number): void;
	check(workers: readonly ModelWorker[], now: number): void;
}

/** Creates a checker that has seen nothing. */
export function createFleetChecker(plan: FleetPlan, specs: ReadonlyMap<string, JobSpec>): FleetChecker {
	const broken: string[] = [];
	let starts = 0;
	/** Where each task is at work, by task. */
	const atWork = new Map<string, Set<string>>();
	const ended = new Set<string>();
	const done = new Set<string>();
	const failures = new Map<string, number>();
	const cancelledAt = new Map<string, number>();
	const accepted = new Set<string>();

	const fault = (text: string): void => {
		if (broken.length < 20) {
			broken.push(text);
		}
	};

	return {
		broken,
		get starts() {
			return starts;
		},
		done,
		started: (worker, task, run, at) => {
			starts++;
			const place = parseTaskName(task);
			const spec = specs.get(place?.job ?? '');
			const step = spec?.steps[place?.step ?? -1];
			if (place === undefined || step === undefined || spec === undefined) {
				fault(`${at}: unasked: ${task}`);
				return;
			}
			if (!accepted.has(place.job)) {
				fault(`${at}: ${task} starts before its job is stored`);
			}
			const places = atWork.get(task) ?? new Set<string>();
			if (places.size > 0 && !step.allowsCopies) {
				fault(`${at}: twice: ${task} run ${run} starts on ${worker.name} beside ${[...places].join()}`);
			}
			places.add(`${worker.name}@${worker.life}`);
			atWork.set(task, places);
			if (done.has(task) && !step.allowsCopies) {
				fault(`${at}: twice: ${task} run ${run} starts after an acknowledged end`);
			}
			for (const before of step.after) {
				const count = spec.steps[before]?.count ?? 0;
				for (let index = 0; index < count; index++) {
					if (!ended.has(`${place.job}.${place.occurrence}.${before}.${index}`)) {
						fault(`${at}: order: ${task} starts before step ${before} is done`);
						return;
					}
				}
			}
			const cancelled = cancelledAt.get(place.job);
			if (cancelled !== undefined && at > cancelled + CANCEL_MS) {
				fault(`${at}: ${task} starts ${at - cancelled} ms after its job was cancelled`);
			}
			const attempts = plan.queues[0]?.attempts ?? 1;
			if (!step.isLasting && (failures.get(task) ?? 0) >= attempts) {
				fault(`${at}: budget: ${task} starts after ${attempts} failures`);
			}
		},
		ended: (worker, task, _run, end) => {
			const places = atWork.get(task);
			places?.delete(`${worker.name}@${worker.life}`);
			if (end === 'done') {
				ended.add(task);
			}
		},
		acknowledged: (_worker, end: ListedEnd) => {
			if (end.end === 'done') {
				done.add(end.task);
			}
			if (end.end === 'failed') {
				failures.set(end.task, (failures.get(end.task) ?? 0) + 1);
			}
		},
		journalled: (events, now) => {
			for (const event of events) {
				if (event.type === 'accepted') {
					accepted.add(event.job.id);
				}
				if (event.type === 'cancelled') {
					cancelledAt.set(event.job, now);
				}
			}
		},
		check: (workers, now) => {
			const byTeam = new Map<string, typeof noResources>();
			for (const worker of workers) {
				let used = noResources;
				for (const { nature, task } of worker.runs.values()) {
					used = addResources(used, nature.demand);
					const team = task.slice(0, 1);
					byTeam.set(team, addResources(byTeam.get(team) ?? noResources, nature.demand));
				}
				if (!fitsInto(used, worker.room)) {
					fault(`${now}: limit: ${worker.name} holds ${used.milliCores} of ${worker.room.milliCores}`);
				}
			}
			for (const team of plan.teams) {
				const used = byTeam.get(team.name.slice(0, 1));
				if (used !== undefined && team.cap.milliCores > 0 && used.milliCores > team.cap.milliCores) {
					fault(`${now}: quota: ${team.name} has ${used.milliCores} of ${team.cap.milliCores}`);
				}
			}
		},
	};
}
