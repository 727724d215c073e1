import type { FeedChange } from '@chestnutwheel/ports/common/feeds.js';
import { addResources, noResources, subtractResources, type Resources } from '@chestnutwheel/ports/common/resources.js';
import type { WorkerEntry } from '@chestnutwheel/ports/common/workerService.js';
import type { TaskRun } from '../jobs/job.js';
import { parseWorkerKey } from './workerKey.js';
import { createWorkerState, runKey, type WorkerState } from './workerState.js';

/**
 * Returns the resources a run takes on its worker. Best-effort tasks use only processor time that others leave idle.
 */
export function demandOnWorker({ task }: TaskRun): Resources {
	const { demand, fills } = task.step.spec;
	return fills ? { ...demand, milliCores: 0 } : demand;
}

/** The incarnations of all workers, with the resources that runs may use on them. */
export interface WorkerTable {
	/** Returns the newest incarnation of each worker that is listed or may still run something. */
	newest(): IterableIterator<WorkerState>;
	all(): IterableIterator<WorkerState>;
	get(key: string): WorkerState | undefined;
	/** Returns the newest incarnation of a worker. */
	byName(worker: string): WorkerState | undefined;
	/**
	 * Returns the newest incarnation on a host that has not ended. Entries of a worker whose host has moved away may
	 * still be listed.
	 */
	byHost(host: string): WorkerState | undefined;
	/** Returns the state of an incarnation, creating it if needed. A newer incarnation ends the older ones. */
	getOrCreate(worker: string, incarnation: number): WorkerState;
	/** Applies a change of the workers' entries. @returns the incarnation affected by the change */
	applyEntryChange(change: FeedChange<WorkerEntry>, now: number): WorkerState | undefined;
	/** Applies a full read of the store: entries that are not among the names have been removed. */
	applyFullRead(names: ReadonlySet<string>, now: number): void;
	/** Whether the entries have been read in full at least once. */
	readonly hasReadEntries: boolean;
	addRun(run: TaskRun): void;
	removeRun(run: TaskRun): void;
	/** Reserves the resources of a run that belongs to no known job. */
	addOrphanedRun(state: WorkerState, key: string, demand: Resources): void;
	removeOrphanedRun(state: WorkerState, key: string): void;
	/** Removes idle incarnations that have ended or disappeared. @returns the removed incarnations */
	prune(now: number, goneAfterMs: number): readonly WorkerState[];
}

/** Creates a table without workers. */
export function createWorkerTable(): WorkerTable {
	const incarnations = new Map<string, WorkerState>();
	const newestByName = new Map<string, WorkerState>();
	/** Names of the workers that were seen on a host and have not been removed yet. */
	const namesByHost = new Map<string, Set<string>>();
	let hasReadEntries = false;

	const getOrCreate = (worker: string, incarnation: number): WorkerState => {
		const state = createWorkerState(worker, incarnation);
		const known = incarnations.get(state.key);
		if (known !== undefined) {
			return known;
		}
		incarnations.set(state.key, state);
		const previous = newestByName.get(worker);
		if (previous === undefined || previous.incarnation < incarnation) {
			newestByName.set(worker, state);
			if (previous !== undefined) {
				previous.hasEnded = true;
				previous.isListed = false;
			}
		} else {
			state.hasEnded = true;
		}
		return state;
	};

	const recordHost = (worker: string, host: string): void => {
		const names = namesByHost.get(host) ?? new Set();
		namesByHost.set(host, names.add(worker));
	};

	const removeFromHost = ({ worker, entry }: WorkerState): void => {
		const names = entry === undefined ? undefined : namesByHost.get(entry.host);
		names?.delete(worker);
		if (names?.size === 0 && entry !== undefined) {
			namesByHost.delete(entry.host);
		}
	};

	const markUnlisted = (state: WorkerState, now: number): void => {
		if (state.isListed) {
			state.isListed = false;
			state.unlistedSince = now;
		}
	};

	const releaseResources = (state: WorkerState, demand: Resources): void => {
		state.usedResources =
			state.runs.size + state.orphanedRuns.size === 0 ? noResources : subtractResources(state.usedResources, demand);
	};

	return {
		newest: () => newestByName.values(),
		all: () => incarnations.values(),
		get: key => incarnations.get(key),
		byName: worker => newestByName.get(worker),
		byHost: host => {
			let found: WorkerState | undefined;
			for (const name of namesByHost.get(host) ?? []) {
				const state = newestByName.get(name);
				if (
					state?.hasEnded === false &&
					state.entry !== undefined &&
					state.incarnation > (found?.incarnation ?? -Infinity)
				) {
					found = state;
				}
			}
			return found;
		},
		getOrCreate,
		applyEntryChange: ({ key, value }, now) => {
			if (value === undefined || value === 'unreadable') {
				const state = newestByName.get(key);
				if (state !== undefined) {
					markUnlisted(state, now);
				}
				return state;
			}
			const state = getOrCreate(value.worker, value.incarnation);
			if (state.hasEnded) {
				return state;
			}
			state.entry = value;
			recordHost(value.worker, value.host);
			state.isListed = true;
			state.unlistedSince = undefined;
			return state;
		},
		get hasReadEntries() {
			return hasReadEntries;
		},
		applyFullRead: (names, now) => {
			hasReadEntries = true;
			for (const state of newestByName.values()) {
				if (!names.has(state.worker)) {
					markUnlisted(state, now);
				}
			}
		},
		addRun: run => {
			const { worker, incarnation } = parseWorkerKey(run.workerKey);
			const state = getOrCreate(worker, incarnation);
			const key = runKey(run.task.name, run.run);
			if (!state.runs.has(key)) {
				state.runs.set(key, run);
				state.usedResources = addResources(state.usedResources, demandOnWorker(run));
			}
		},
		removeRun: run => {
			const state = incarnations.get(run.workerKey);
			const key = runKey(run.task.name, run.run);
			if (state?.runs.delete(key) === true) {
				releaseResources(state, demandOnWorker(run));
			}
		},
		addOrphanedRun: (state, key, demand) => {
			if (!state.orphanedRuns.has(key)) {
				state.orphanedRuns.set(key, demand);
				state.usedResources = addResources(state.usedResources, demand);
			}
		},
		removeOrphanedRun: (state, key) => {
			const demand = state.orphanedRuns.get(key);
			if (demand !== undefined) {
				state.orphanedRuns.delete(key);
				releaseResources(state, demand);
			}
		},
		prune: (now, goneAfterMs) => {
			const removed: WorkerState[] = [];
			for (const state of incarnations.values()) {
				const hasDisappeared = state.unlistedSince !== undefined && now - state.unlistedSince > goneAfterMs;
				const isIdle = state.runs.size + state.orphanedRuns.size + state.blockedStarts.size === 0;
				if (isIdle && (state.hasEnded || (hasDisappeared && state.reachability !== 'answering'))) {
					incarnations.delete(state.key);
					if (newestByName.get(state.worker) === state) {
						newestByName.delete(state.worker);
						removeFromHost(state);
					}
					removed.push(state);
				}
			}
			return removed;
		},
	};
}
