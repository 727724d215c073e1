import type { FeedChange } from '@chestnutwheel/ports/common/feeds.js';
import type { ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import { addResources, noResources, subtractResources, type Resources } from '@chestnutwheel/ports/common/resources.js';
import type { WorkerEntry } from '@chestnutwheel/ports/common/workerService.js';
import type { TaskRun } from '../jobs/job.js';
import { compareOccupants, correctEntry, isConfirmed } from './entryClaims.js';
import { parseWorkerKey } from './workerKey.js';
import { createWorkerState, runKey, type WorkerState } from './workerState.js';

/**
 * Time for which the last valid entry of a worker that answers holds after another writer has overwritten it, in milliseconds.
 * Workers write about every 1.5 s.
 */
const UNREADABLE_ENTRY_GRACE_MS = 3_000;

/**
 * Returns the resources a run takes on its worker. Best-effort tasks use only processor time that others leave idle.
 */
export function demandOnWorker({ task }: TaskRun): Resources {
	const { demand, fills } = task.step.spec;
	return fills ? { ...demand, milliCores: 0 } : demand;
}

/**
 * The incarnations of all workers, with the resources that runs may use on them. The current incarnation of a worker is the
 * one that the worker itself has confirmed; as long as it has confirmed none, the one that its newest entry claims. An entry
 * alone never ends an incarnation, since it may come from another writer.
 */
export interface WorkerTable {
	/** Returns the current incarnation of each worker. */
	current(): IterableIterator<WorkerState>;
	all(): IterableIterator<WorkerState>;
	get(key: string): WorkerState | undefined;
	/** Returns the current incarnation of a worker. */
	byName(worker: string): WorkerState | undefined;
	/** Returns all known incarnations of a worker. */
	incarnationsOf(worker: string): readonly WorkerState[];
	/**
	 * Returns the worker on a host that has not ended, as far as it is known. Entries of a worker whose host has moved away may
	 * still be listed.
	 */
	byHost(host: string): WorkerState | undefined;
	/** Whether a worker exists for certain: it answers, or the host service lists it. An entry alone may name none. */
	isCertain(state: WorkerState): boolean;
	/** Returns the state of an incarnation, creating it if needed. */
	getOrCreate(worker: string, incarnation: number): WorkerState;
	/**
	 * Whether an answer of the worker may make an incarnation the current one. A later start than the confirmed one always may.
	 * An earlier start may only if the newest entry names it too, as after a restart with a clock that was set back: an answer
	 * alone may be faulty, or a late one of a former incarnation.
	 */
	mayConfirm(state: WorkerState): boolean;
	/** Returns the incarnation that the newest entry of a worker names; `undefined` if the store lists none. */
	claimedIncarnation(worker: string): number | undefined;
	/** Makes an incarnation the current one, because the worker itself has confirmed it. */
	confirm(state: WorkerState): void;
	/** Gives an incarnation that has no entry the one of a former incarnation, so that it can be polled until its own is read. */
	inheritEntry(state: WorkerState, former: WorkerState): void;
	/** Applies a change of the workers' entries. @returns the incarnation affected by the change */
	applyEntryChange(change: FeedChange<WorkerEntry>, now: number): WorkerState | undefined;
	/** Applies a full read of the store: entries that are not among the names have been removed. */
	applyFullRead(names: ReadonlySet<string>, now: number): void;
	/** Applies a list of the hosts, by which entries are corrected. */
	applyHostList(hosts: readonly ListedHost[]): void;
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
	const incarnationsByName = new Map<string, Set<WorkerState>>();
	const currentByName = new Map<string, WorkerState>();
	/** Incarnation that the newest entry of each listed worker names. */
	const newestClaims = new Map<string, number>();
	/** Names of the workers that were seen on a host and have not been removed yet. */
	const namesByHost = new Map<string, Set<string>>();
	/** Hosts by the worker that the host service lists on them. */
	let listedByWorker: ReadonlyMap<string, ListedHost> = new Map();
	let listedWorkers: ReadonlyMap<string, string> = new Map();
	let hasReadEntries = false;

	const getOrCreate = (worker: string, incarnation: number): WorkerState => {
		const state = createWorkerState(worker, incarnation);
		const known = incarnations.get(state.key);
		if (known !== undefined) {
			return known;
		}
		incarnations.set(state.key, state);
		const ofWorker = incarnationsByName.get(worker) ?? new Set();
		incarnationsByName.set(worker, ofWorker.add(state));
		const current = currentByName.get(worker);
		if (current === undefined || (current.claimedEntry === undefined && current.incarnation < incarnation)) {
			currentByName.set(worker, state);
		}
		return state;
	};

	const removeFromHost = (worker: string, host: string): void => {
		const names = namesByHost.get(host);
		names?.delete(worker);
		if (names?.size === 0) {
			namesByHost.delete(host);
		}
	};

	const applyClaim = (state: WorkerState, claimed: WorkerEntry): void => {
		const before = state.entry;
		const entry = correctEntry(claimed, listedByWorker.get(state.worker), state);
		state.claimedEntry = claimed;
		state.entry = entry;
		if (before !== undefined && before.host !== entry.host) {
			removeFromHost(state.worker, before.host);
		}
		namesByHost.set(entry.host, (namesByHost.get(entry.host) ?? new Set()).add(state.worker));
	};

	const markListed = (state: WorkerState): void => {
		state.isListed = true;
		state.unlistedSince = undefined;
		state.unreadableSince = undefined;
	};

	const markUnlisted = (state: WorkerState, now: number): void => {
		state.isListed = false;
		state.unlistedSince ??= now;
		state.unreadableSince = undefined;
	};

	const incarnationsOf = (worker: string): readonly WorkerState[] => [...(incarnationsByName.get(worker) ?? [])];

	const applyMissingEntry = (worker: string, now: number): WorkerState | undefined => {
		newestClaims.delete(worker);
		incarnationsOf(worker).forEach(state => markUnlisted(state, now));
		return currentByName.get(worker);
	};

	/** An unreadable entry says nothing of the worker. It counts as missing if the worker does not answer, or stays unreadable. */
	const applyUnreadableEntry = (worker: string, now: number): WorkerState | undefined => {
		const state = currentByName.get(worker);
		if (state?.isListed !== true || state.reachability !== 'answering') {
			return applyMissingEntry(worker, now);
		}
		state.unreadableSince ??= now;
		return state;
	};

	const mayConfirm = (state: WorkerState): boolean => {
		const current = currentByName.get(state.worker);
		return (
			current === undefined ||
			!isConfirmed(current) ||
			state.incarnation >= current.incarnation ||
			newestClaims.get(state.worker) === state.incarnation
		);
	};

	const confirm = (state: WorkerState): void => {
		currentByName.set(state.worker, state);
		if (state.claimedEntry !== undefined) {
			markListed(state);
		}
	};

	const releaseResources = (state: WorkerState, demand: Resources): void => {
		state.usedResources =
			state.runs.size + state.orphanedRuns.size === 0 ? noResources : subtractResources(state.usedResources, demand);
	};

	const remove = (state: WorkerState): void => {
		incarnations.delete(state.key);
		incarnationsByName.get(state.worker)?.delete(state);
		if (currentByName.get(state.worker) !== state) {
			return;
		}
		currentByName.delete(state.worker);
		if (state.entry !== undefined) {
			removeFromHost(state.worker, state.entry.host);
		}
		const [next] = incarnationsOf(state.worker);
		if (next === undefined) {
			incarnationsByName.delete(state.worker);
			newestClaims.delete(state.worker);
		} else {
			currentByName.set(state.worker, next);
		}
	};

	return {
		current: () => currentByName.values(),
		all: () => incarnations.values(),
		get: key => incarnations.get(key),
		byName: worker => currentByName.get(worker),
		incarnationsOf,
		byHost: host => {
			const listedWorker = listedWorkers.get(host);
			let occupant: WorkerState | undefined;
			const consider = (name: string): void => {
				const state = currentByName.get(name);
				if (state === undefined || state.hasEnded || (state.entry?.host !== host && name !== listedWorker)) {
					return;
				}
				if (occupant === undefined || compareOccupants(state, occupant, listedWorker) < 0) {
					occupant = state;
				}
			};
			namesByHost.get(host)?.forEach(consider);
			if (listedWorker !== undefined) {
				consider(listedWorker);
			}
			return occupant;
		},
		isCertain: ({ reachability, worker }) => reachability === 'answering' || listedByWorker.has(worker),
		getOrCreate,
		mayConfirm,
		claimedIncarnation: worker => newestClaims.get(worker),
		confirm,
		inheritEntry: (state, { claimedEntry }) => {
			if (state.claimedEntry === undefined && claimedEntry !== undefined) {
				applyClaim(state, { ...claimedEntry, incarnation: state.incarnation });
				state.isEntryInherited = true;
			}
		},
		applyEntryChange: ({ key, value }, now) => {
			if (value === undefined) {
				return applyMissingEntry(key, now);
			}
			if (value === 'unreadable') {
				return applyUnreadableEntry(key, now);
			}
			const state = getOrCreate(value.worker, value.incarnation);
			newestClaims.set(value.worker, value.incarnation);
			if (state.hasEnded) {
				return state;
			}
			applyClaim(state, value);
			state.isEntryInherited = false;
			state.warmUntil = now + value.warmUpRemainingMs;
			const current = currentByName.get(state.worker);
			if (current === state) {
				markListed(state);
			} else if (current === undefined || !isConfirmed(current) || current.reachability !== 'answering') {
				currentByName.set(state.worker, state);
				markListed(state);
			}
			incarnationsOf(state.worker)
				.filter(other => other !== state && other !== currentByName.get(state.worker))
				.forEach(other => markUnlisted(other, now));
			return state;
		},
		get hasReadEntries() {
			return hasReadEntries;
		},
		applyFullRead: (names, now) => {
			hasReadEntries = true;
			for (const state of currentByName.values()) {
				if (!names.has(state.worker)) {
					applyMissingEntry(state.worker, now);
				}
			}
		},
		applyHostList: hosts => {
			const occupied = hosts.filter(({ worker }) => worker !== '');
			listedByWorker = new Map(occupied.map(host => [host.worker, host]));
			listedWorkers = new Map(occupied.map(({ host, worker }) => [host, worker]));
			for (const worker of listedByWorker.keys()) {
				for (const state of incarnationsByName.get(worker) ?? []) {
					if (state.claimedEntry !== undefined) {
						applyClaim(state, state.claimedEntry);
					}
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
				if (state.unreadableSince !== undefined && now - state.unreadableSince > UNREADABLE_ENTRY_GRACE_MS) {
					markUnlisted(state, now);
				}
				const hasDisappeared = state.unlistedSince !== undefined && now - state.unlistedSince > goneAfterMs;
				const isIdle = state.runs.size + state.orphanedRuns.size + state.blockedStarts.size === 0;
				if (isIdle && (state.hasEnded || (hasDisappeared && state.reachability !== 'answering'))) {
					remove(state);
					removed.push(state);
				}
			}
			return removed;
		},
	};
}
