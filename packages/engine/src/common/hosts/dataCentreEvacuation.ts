import { subtractResources } from '@chestnutwheel/ports/common/resources.js';
import type { EngineContext } from '../engineContext.js';
import type { Step, Task, TaskRun } from '../jobs/job.js';
import type { RunTerminator } from '../jobs/runTerminator.js';
import type { WorkerState } from '../workers/workerState.js';
import { createDestinationRoom, type Destination, type DestinationRoom } from './destinationRoom.js';
import type { Evacuation } from './evacuation.js';

/** Interval between two passes over the tasks of evacuated data centres, in milliseconds. */
const ADVANCE_INTERVAL_MS = 200;

/** Interval between two lines about the progress of an evacuation, in milliseconds. */
const PROGRESS_INTERVAL_MS = 2_000;

/** Time for finite tasks to complete before those that save their progress are stopped, in milliseconds. */
const COMPLETION_GRACE_MS = 1_500;

/**
 * Moves the work of data centres that the operator evacuates to others. It answers the loss of a whole data centre's workers
 * at once under full load: a task is stopped only if a worker elsewhere has room for it that is promised to no other task.
 * Tasks for which there is no room go on where they are.
 */
export interface DataCentreEvacuation {
	/** Replaces the evacuations by those that the operator asks for now. */
	handleChange(dataCentres: readonly string[], now: number): void;
	advance(now: number): void;
}

/** Tasks that remain in a data centre, by what keeps them there. */
interface RemainingTasks {
	/** All runs, also those that are being stopped. */
	runs: number;
	service: number;
	/** Runs that could move by their terms, but that no worker elsewhere has room for. */
	withoutRoom: number;
	/** Gangs that no workers elsewhere have room for. */
	readonly gangsWithoutRoom: Set<Step>;
}

interface EvacuationProgress {
	reportedAt: number;
	isEmpty: boolean;
	isUnknown: boolean;
}

/** Creates the component that evacuates data centres. */
export function createDataCentreEvacuation(
	context: EngineContext,
	endRuns: RunTerminator,
	evacuation: Evacuation,
): DataCentreEvacuation {
	const { evacuated, hosts, workers, counters, logDecision } = context;
	const progressOf = new Map<string, EvacuationProgress>();
	let nextAdvanceAt = 0;

	const workersIn = (dataCentre: string): readonly WorkerState[] =>
		[...workers.all()].filter(({ entry, hasEnded }) => entry?.dataCentre === dataCentre && !hasEnded);

	const hostsIn = (dataCentre: string): number =>
		[...hosts.hosts.values()].filter(host => host.dataCentre === dataCentre).length;

	const poolOf = ({ occurrence }: Step): string => context.queueTermsOf(occurrence.job.accepted).pool;

	const isDestination = (state: WorkerState, dueHosts: ReadonlySet<string>): boolean =>
		state.entry !== undefined &&
		state.isListed &&
		!state.hasEnded &&
		state.reachability === 'answering' &&
		!state.entry.isDraining &&
		!dueHosts.has(state.entry.host) &&
		!hosts.isCordoned(state) &&
		!evacuated.has(state.entry.dataCentre);

	/** Returns the room outside the evacuated data centres that no waiting or stopping task needs. */
	const freeRoom = (): DestinationRoom => {
		const dueHosts = hosts.hostsDueForMaintenance();
		const destinations = [...workers.current()].flatMap((state): Destination[] => {
			const { key, entry, usedResources } = state;
			return entry !== undefined && isDestination(state, dueHosts)
				? [{ key, pool: entry.pool, labels: entry.labels, free: subtractResources(entry.resources, usedResources) }]
				: [];
		});
		const room = createDestinationRoom(destinations);
		for (const step of context.readySteps) {
			if (step.occurrence.job.state === 'open' && (step.spec.isLasting || step.spec.isGang)) {
				room.claim(step, poolOf(step), step.waitingCount);
			}
		}
		for (const { runs } of workers.all()) {
			for (const { phase, stopReason, task } of runs.values()) {
				if (phase === 'stopping' && stopReason === 'host-leaves') {
					room.claim(task.step, poolOf(task.step), 1);
				}
			}
		}
		return room;
	};

	/** Whether all members of a gang run, so that stopping them loses nothing that is not saved. */
	const runsWhole = ({ tasks }: Step): boolean =>
		tasks.every(({ runs }) => runs.length === 1 && runs[0]?.phase === 'running');

	const stopGang = (step: Step, room: DestinationRoom, remaining: RemainingTasks): void => {
		if (remaining.gangsWithoutRoom.has(step)) {
			return;
		}
		if (!room.takeGang(step, poolOf(step))) {
			remaining.gangsWithoutRoom.add(step);
			remaining.withoutRoom += step.tasks.length;
			return;
		}
		counters.add('evacuation_moves_total', { kind: 'gang' });
		logDecision('gang-moves', { task: step.tasks[0]?.name, tasks: step.tasks.length });
		step.tasks.forEach(({ runs }) => runs.forEach(run => endRuns.stop(run, 'host-leaves')));
	};

	/** Whether a run that ends by itself, or belongs to a gang, is to be stopped rather than waited for. */
	const isSavedElsewhere = ({ task: { step }, phase }: TaskRun): boolean =>
		phase === 'running' &&
		(step.spec.isGang
			? (step.spec.isLasting || step.spec.savesProgress) && step.spec.maximumAway === undefined && runsWhole(step)
			: !step.spec.isLasting && step.spec.savesProgress);

	const stopFiniteTasks = (state: WorkerState, room: DestinationRoom, remaining: RemainingTasks): void => {
		for (const run of [...state.runs.values()].filter(isSavedElsewhere)) {
			const { task } = run;
			if (run.phase !== 'running') {
				// Another member of its gang has been stopped in this pass.
				continue;
			}
			if (task.step.spec.isGang) {
				stopGang(task.step, room, remaining);
			} else if (room.take(task, poolOf(task.step))) {
				counters.add('evacuation_moves_total', { kind: 'saved' });
				endRuns.stop(run, 'host-leaves');
			} else {
				remaining.withoutRoom++;
			}
		}
	};

	const moveServiceTasks = (
		state: WorkerState,
		room: DestinationRoom,
		remaining: RemainingTasks,
		now: number,
	): void => {
		const hasDestination = ({ task }: { readonly task: Task }): boolean => {
			const { isGang, maximumAway } = task.step.spec;
			if (isGang) {
				// A gang ends as one, so that none of it may move if only some of it may be away.
				remaining.withoutRoom += maximumAway === undefined ? 0 : 1;
				return false;
			}
			const isMoving = room.take(task, poolOf(task.step));
			if (isMoving) {
				counters.add('evacuation_moves_total', { kind: 'service' });
			} else {
				remaining.withoutRoom++;
			}
			return isMoving;
		};
		evacuation.moveServiceTasksTo(state, hasDestination, now);
	};

	const report = (dataCentre: string, since: number, remaining: RemainingTasks, now: number): void => {
		const progress = progressOf.get(dataCentre) ?? { reportedAt: since, isEmpty: false, isUnknown: false };
		progressOf.set(dataCentre, progress);
		const isKnownInFull = hosts.listRequestedAt !== undefined && workers.hasReadEntries;
		const { runs, service, withoutRoom } = remaining;
		if (runs > 0) {
			progress.isEmpty = false;
			if (now >= progress.reportedAt + PROGRESS_INTERVAL_MS) {
				progress.reportedAt = now;
				const afterMs = Math.round(now - since);
				logDecision('data-centre-evacuating', { dataCentre, runs, serviceTasks: service, withoutRoom, afterMs });
			}
		} else if (isKnownInFull && hostsIn(dataCentre) + workersIn(dataCentre).length === 0) {
			if (!progress.isUnknown) {
				progress.isUnknown = true;
				logDecision('data-centre-unknown', { dataCentre });
			}
		} else if (isKnownInFull && !progress.isEmpty) {
			progress.isEmpty = true;
			progress.isUnknown = false;
			logDecision('data-centre-empty', { dataCentre, afterMs: Math.round(now - since) });
		}
	};

	const evacuate = (dataCentre: string, since: number, room: DestinationRoom, now: number): RemainingTasks => {
		const remaining: RemainingTasks = { runs: 0, service: 0, withoutRoom: 0, gangsWithoutRoom: new Set() };
		// A start is stored before it is sent, so that no task could start elsewhere while the journal stalls.
		const mayMove = context.journalStalledSince === undefined;
		for (const state of workersIn(dataCentre)) {
			if (mayMove && workers.byName(state.worker) === state) {
				moveServiceTasks(state, room, remaining, now);
				if (now >= since + COMPLETION_GRACE_MS) {
					stopFiniteTasks(state, room, remaining);
				}
			}
			remaining.runs += state.runs.size;
			remaining.service += [...state.runs.values()].filter(({ task }) => task.step.spec.isLasting).length;
		}
		report(dataCentre, since, remaining, now);
		return remaining;
	};

	return {
		handleChange: (dataCentres, now) => {
			const { begun, takenBack } = evacuated.replace(dataCentres, now);
			for (const dataCentre of begun) {
				const inside = workersIn(dataCentre);
				logDecision('data-centre-evacuated', {
					dataCentre,
					hosts: hostsIn(dataCentre),
					workers: inside.length,
					runs: inside.reduce((sum, { runs }) => sum + runs.size, 0),
				});
			}
			for (const { dataCentre, since } of takenBack) {
				progressOf.delete(dataCentre);
				logDecision('data-centre-taken-back', { dataCentre, afterMs: Math.round(now - since) });
			}
			if (begun.length + takenBack.length > 0) {
				counters.set('data_centres_evacuated', evacuated.size);
				counters.set('evacuation_tasks_without_room', 0);
				context.needsSchedulingPass = true;
				nextAdvanceAt = 0;
			}
		},
		advance: now => {
			if (evacuated.size === 0 || now < nextAdvanceAt) {
				return;
			}
			nextAdvanceAt = now + ADVANCE_INTERVAL_MS;
			const room = freeRoom();
			let withoutRoom = 0;
			for (const [dataCentre, since] of evacuated.all()) {
				withoutRoom += evacuate(dataCentre, since, room, now).withoutRoom;
			}
			counters.set('evacuation_tasks_without_room', withoutRoom);
		},
	};
}
