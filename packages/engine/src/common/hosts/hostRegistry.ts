import type { MaintenanceWave } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type {
	HostAction,
	HostEvent,
	HostOrderAcceptance,
	LastHostOrder,
	PendingHostOrder,
	WaveProgress,
} from '../jobs/journalEvent.js';
import type { WorkerState } from '../workers/workerState.js';

/** Phase of an order to a host. */
export type HostOrderPhase =
	/** The host is cordoned and evacuated before the order is journaled. */
	| 'emptying'
	/** The order is being journaled, sent, or sent again. */
	| 'ordering'
	/** The host service has accepted the order, and the host will return by itself. */
	| 'away';

/** An order to a host, with its progress. */
export interface HostOrder {
	readonly host: string;
	readonly action: HostAction;
	phase: HostOrderPhase;
	/** Time when the current phase began. */
	phaseSince: number;
	/** Time before which the order is not sent. */
	notBefore: number;
	/** Time when the evacuation of the host began. */
	readonly startedAt: number;
	/** Whether a request to the host service is outstanding. */
	isInFlight: boolean;
	/** Whether the order is recorded in the journal. */
	isJournaled: boolean;
	/** Whether an earlier request may have been executed, so that an acceptance may refer to that one. */
	isRetry: boolean;
	/**
	 * Key of the worker incarnation that the order is to end; `undefined` while the host is being evacuated or without a
	 * worker. Only the list of hosts shows that it has ended.
	 */
	workerKey: string | undefined;
	/** Whether the effect that the host list shows of an accepted order was logged. */
	isEffectLogged: boolean;
	/** The last order to the host before this one; `undefined` if none is known. */
	previous: LastHostOrder | undefined;
	/** Wall-clock time when the host service accepted the order, in milliseconds since 1970. */
	acceptedAt: number | undefined;
}

/**
 * Creates an order to a host that is yet to be evacuated.
 * @param isInherited whether a previous leader has journaled it
 */
export function createHostOrder(host: string, action: HostAction, isInherited: boolean, now: number): HostOrder {
	return {
		host,
		action,
		phase: 'emptying',
		phaseSince: now,
		notBefore: 0,
		startedAt: now,
		isInFlight: false,
		isJournaled: isInherited,
		isRetry: isInherited,
		workerKey: undefined,
		isEffectLogged: false,
		previous: undefined,
		acceptedAt: undefined,
	};
}

/** A maintenance wave, with what was reported of it. */
export interface WaveState {
	readonly wave: MaintenanceWave;
	readonly seenAt: number;
	/** State that was reported last; `undefined` before the first report. */
	reportedState: 'running' | 'done' | undefined;
}

/** Registry of the hosts, the orders to them, and the progress of maintenance waves. */
export interface HostRegistry {
	/** Hosts in the newest list, by name; empty until the first list. */
	readonly hosts: ReadonlyMap<string, ListedHost>;
	/** Time when the newest list was requested. The list is at least as recent. */
	readonly listRequestedAt: number | undefined;
	readonly orders: Map<string, HostOrder>;
	/**
	 * Whether an order to its host keeps new work away from a worker. Until the host service has accepted the order, that
	 * holds for every incarnation, since a worker may restart before the order is carried out.
	 */
	isCordoned(worker: Pick<WorkerState, 'key' | 'entry'>): boolean;
	/** Whether an order to take the host down is recorded, so that it may have been carried out. */
	isOrdered(host: string): boolean;
	readonly waves: Map<number, WaveState>;
	/** Returns the hosts of a wave whose maintenance is complete. */
	settledHosts(wave: number): ReadonlySet<string>;
	/** Returns the hosts of unfinished waves whose maintenance is not complete. */
	hostsDueForMaintenance(): ReadonlySet<string>;
	/** The last known order to each host, by host. */
	readonly lastOrders: ReadonlyMap<string, LastHostOrder>;
	/**
	 * Records that the host service has refused to move the host to a pool, because the pool needs hosts of another kind.
	 */
	addIncompatiblePool(host: string, pool: string): void;
	isIncompatible(host: string, pool: string): boolean;
	/** Replaces the hosts by a newer list. @param requestedAt time when the list was requested */
	applyList(hosts: readonly ListedHost[], requestedAt: number): void;
	apply(event: HostEvent, offset: number, now: number): void;
	/** Creates an event from which the registry can be rebuilt, for journal compaction; `undefined` if it is empty. */
	rewrite(term: number): HostEvent | undefined;
	/** Journal offset from which the registry can be rebuilt; `undefined` if it needs no record. */
	readonly baseOffset: number | undefined;
	/** Earliest time at which that record may have been written; `-Infinity` if it is of an earlier leader, or unknown. */
	readonly baseAt: number;
	/** Whether the journal is being compacted, so that the registry must be rewritten as well. */
	isRewriteDue: boolean;
	/** Records that the rewritten registry is stored at an offset. @param recordedAt time before its append was sent */
	rebased(offset: number, recordedAt: number): void;
}

/** Creates an empty registry. */
export function createHostRegistry(): HostRegistry {
	let hosts: ReadonlyMap<string, ListedHost> = new Map();
	let listRequestedAt: number | undefined;
	const orders = new Map<string, HostOrder>();
	const waves = new Map<number, WaveState>();
	const settledByWave = new Map<number, Set<string>>();
	const incompatiblePools = new Set<string>();
	const lastOrders = new Map<string, LastHostOrder>();
	let baseOffset: number | undefined;
	let baseAt = -Infinity;

	const settledHosts = (wave: number): Set<string> => {
		const known = settledByWave.get(wave);
		if (known !== undefined) {
			return known;
		}
		const created = new Set<string>();
		settledByWave.set(wave, created);
		return created;
	};

	const addOrder = ({ host, action, acceptance }: PendingHostOrder, now: number): void => {
		const known = orders.get(host);
		if (known !== undefined) {
			known.phase = 'ordering';
			known.phaseSince = now;
			known.isJournaled = true;
			return;
		}
		orders.set(host, createHostOrder(host, action, true, now));
		if (acceptance !== undefined) {
			applyAcceptance(host, acceptance, now);
		}
	};

	const applyAcceptance = (host: string, { worker, endedWorker }: HostOrderAcceptance, now: number): void => {
		const order = orders.get(host);
		if (order !== undefined) {
			order.phase = 'away';
			order.phaseSince = now;
			order.workerKey = worker ?? endedWorker ?? order.workerKey;
		}
	};

	type Handlers = {
		readonly [Type in HostEvent['type']]: (event: Extract<HostEvent, { type: Type }>, now: number) => void;
	};
	const handlers: Handlers = {
		'host-ordered': ({ order }, now) => {
			lastOrders.set(order.host, [order.host, order.term, order.orderedAt]);
			addOrder(order, now);
		},
		'host-accepted': ({ host, acceptance, last }, now) => {
			lastOrders.set(host, last);
			applyAcceptance(host, acceptance, now);
		},
		'host-settled': ({ host, action, isDone, last }) => {
			orders.delete(host);
			if (last !== undefined) {
				lastOrders.set(host, last);
			}
			if (action.type === 'upkeep' && isDone) {
				settledHosts(action.wave).add(host);
			}
		},
		'hosts-rewritten': ({ orders: open, waves: progress, last }, now) => {
			last.forEach(order => lastOrders.set(order[0], order));
			// A leader knows more about its own orders than the journal holds, so known ones are kept.
			open.filter(({ host }) => !orders.has(host)).forEach(order => addOrder(order, now));
			progress.forEach(({ wave, settled }) => settled.forEach(host => settledHosts(wave).add(host)));
		},
	};

	return {
		get hosts() {
			return hosts;
		},
		get listRequestedAt() {
			return listRequestedAt;
		},
		orders,
		isCordoned: ({ key, entry }) => {
			const order = entry === undefined ? undefined : orders.get(entry.host);
			return order !== undefined && (order.phase !== 'away' || order.workerKey === key);
		},
		isOrdered: host => orders.get(host)?.isJournaled ?? false,
		waves,
		settledHosts,
		hostsDueForMaintenance: () => {
			const due = new Set<string>();
			for (const { wave, reportedState } of waves.values()) {
				if (reportedState !== 'done') {
					const settled = settledHosts(wave.wave);
					wave.hosts.filter(host => !settled.has(host)).forEach(host => due.add(host));
				}
			}
			return due;
		},
		lastOrders,
		addIncompatiblePool: (host, pool) => incompatiblePools.add(`${host} ${pool}`),
		isIncompatible: (host, pool) => incompatiblePools.has(`${host} ${pool}`),
		applyList: (list, requestedAt) => {
			hosts = new Map(list.map(host => [host.host, host]));
			listRequestedAt = requestedAt;
		},
		apply: (event, offset, now) => {
			(handlers[event.type] as (event: HostEvent, now: number) => void)(event, now);
			baseOffset ??= offset;
		},
		rewrite: term => {
			const open: PendingHostOrder[] = [...orders.values()]
				.filter(({ isJournaled }) => isJournaled)
				.map(({ host, action, phase, workerKey }) => ({
					host,
					action,
					term,
					orderedAt: lastOrders.get(host)?.[2] ?? 0,
					acceptance: phase === 'away' ? { worker: workerKey } : undefined,
				}));
			const progress: WaveProgress[] = [...settledByWave].map(([wave, settled]) => ({ wave, settled: [...settled] }));
			const last = [...lastOrders.values()];
			return open.length + progress.length + last.length === 0
				? undefined
				: { type: 'hosts-rewritten', orders: open, waves: progress, last };
		},
		get baseOffset() {
			return baseOffset;
		},
		get baseAt() {
			return baseAt;
		},
		isRewriteDue: false,
		rebased: (offset, recordedAt) => {
			baseOffset = offset;
			baseAt = recordedAt;
		},
	};
}
