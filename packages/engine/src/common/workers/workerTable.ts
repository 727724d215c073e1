import type { FeedChange } from '@chestnutwheel/ports/common/feeds.js';
import { addResources, noResources, subtractResources, type Resources } from '@chestnutwheel/ports/common/resources.js';
import type { WorkerEntry } from '@chestnutwheel/ports/common/workerService.js';
import type { TaskRun } from '../jobs/job.js';
import { parseWorkerKey } from './workerKey.js';
import { createWorkerState, runKey, type WorkerState } from './workerState.js';

/** What a run takes of its worker. Tasks that fill use only the processor time that others leave. */
export function demandOnWorker({ task }: TaskRun): Resources {
	const { demand, fills } = task.step.spec;
	return fills ? { ...demand, milliCores: 0 } : demand;
}

/** The lives of all workers, and the room that runs may take there. */
export interface WorkerTable {
	/** The newest life of each worker that is listed or may still run something. */
	current(): IterableIterator<WorkerState>;
	all(): IterableIterator<WorkerState>;
	get(key: string): WorkerState | undefined;
	/** The newest life of a worker. */
	byName(worker: string): WorkerState | undefined;
	/** The newest life on a host that is not over; entries of a worker that went with a move of its host may still stand. */
	byHost(host: string): WorkerState | undefined;
	/** The state of a life, made when it is new; a newer life ends the older ones. @returns the state */
	life(worker: string, life: number): WorkerState;
	/** Takes a change of the workers' entries. @returns the life that the change is about */
	entryChanged(change: FeedChange<WorkerEntry>, now: number): WorkerState | undefined;
	/** The store was read in full: entries that are not among the names are gone. */
	entriesRead(names: ReadonlySet<string>, now: number): void;
	/** Whether the entries were read in full at least once. */
	readonly isRead: boolean;
	attach(run: TaskRun): void;
	detach(run: TaskRun): void;
	/** Counts a run that no job accounts for. */
	addStray(state: WorkerState, key: string, demand: Resources): void;
	removeStray(state: WorkerState, key: string): void;
	/** Drops lives that are over or gone and run nothing. @returns the dropped lives */
	prune(now: number, goneAfterMs: number): readonly WorkerState[];
}

/** Creates a table without workers. */
export function createWorkerTable(): WorkerTable {
	const lives = new Map<string, WorkerState>();
	const newest = new Map<string, WorkerState>();
	/** Names of the workers that were ever seen on a host and are not dropped yet. */
	const namesByHost = new Map<string, Set<string>>();
	let isRead = false;

	const life = (worker: string, born: number): WorkerState => {
		const state = createWorkerState(worker, born);
		const known = lives.get(state.key);
		if (known !== undefined) {
			return known;
		}
		lives.set(state.key, state);
		const former = newest.get(worker);
		if (former === undefined || former.life < born) {
			newest.set(worker, state);
			if (former !== undefined) {
				former.isOver = true;
				former.isListed = false;
			}
		} else {
			state.isOver = true;
		}
		return state;
	};

	const noteHost = (worker: string, host: string): void => {
		const names = namesByHost.get(host) ?? new Set();
		namesByHost.set(host, names.add(worker));
	};

	const dropFromHost = ({ worker, entry }: WorkerState): void => {
		const names = entry === undefined ? undefined : namesByHost.get(entry.host);
		names?.delete(worker);
		if (names?.size === 0 && entry !== undefined) {
			namesByHost.delete(entry.host);
		}
	};

	const unlist = (state: WorkerState, now: number): void => {
		if (state.isListed) {
			state.isListed = false;
			state.missingSince = now;
		}
	};

	const giveBack = (state: WorkerState, demand: Resources): void => {
		state.used = state.runs.size + state.strays.size === 0 ? noResources : subtractResources(state.used, demand);
	};

	return {
		current: () => newest.values(),
		all: () => lives.values(),
		get: key => lives.get(key),
		byName: worker => newest.get(worker),
		byHost: host => {
			let found: WorkerState | undefined;
			for (const name of namesByHost.get(host) ?? []) {
				const state = newest.get(name);
				if (state?.isOver === false && state.entry !== undefined && state.life > (found?.life ?? -Infinity)) {
					found = state;
				}
			}
			return found;
		},
		life,
		entryChanged: ({ key, value }, now) => {
			if (value === undefined || value === 'unreadable') {
				const state = newest.get(key);
				if (state !== undefined) {
					unlist(state, now);
				}
				return state;
			}
			const state = life(value.worker, value.incarnation);
			if (state.isOver) {
				return state;
			}
			state.entry = value;
			noteHost(value.worker, value.host);
			state.isListed = true;
			state.missingSince = undefined;
			return state;
		},
		get isRead() {
			return isRead;
		},
		entriesRead: (names, now) => {
			isRead = true;
			for (const state of newest.values()) {
				if (!names.has(state.worker)) {
					unlist(state, now);
				}
			}
		},
		attach: run => {
			const { worker, life: born } = parseWorkerKey(run.workerKey);
			const state = life(worker, born);
			const key = runKey(run.task.name, run.run);
			if (!state.runs.has(key)) {
				state.runs.set(key, run);
				state.used = addResources(state.used, demandOnWorker(run));
			}
		},
		detach: run => {
			const state = lives.get(run.workerKey);
			const key = runKey(run.task.name, run.run);
			if (state?.runs.delete(key) === true) {
				giveBack(state, demandOnWorker(run));
			}
		},
		addStray: (state, key, demand) => {
			if (!state.strays.has(key)) {
				state.strays.set(key, demand);
				state.used = addResources(state.used, demand);
			}
		},
		removeStray: (state, key) => {
			const demand = state.strays.get(key);
			if (demand !== undefined) {
				state.strays.delete(key);
				giveBack(state, demand);
			}
		},
		prune: (now, goneAfterMs) => {
			const dropped: WorkerState[] = [];
			for (const state of lives.values()) {
				const isGone = state.missingSince !== undefined && now - state.missingSince > goneAfterMs;
				const isIdle = state.runs.size + state.strays.size + state.forbidden.size === 0;
				if (isIdle && (state.isOver || (isGone && state.contact !== 'answering'))) {
					lives.delete(state.key);
					if (newest.get(state.worker) === state) {
						newest.delete(state.worker);
						dropFromHost(state);
					}
					dropped.push(state);
				}
			}
			return dropped;
		},
	};
}
