import type { MaintenanceWave } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { HostAction, HostEvent, LastHostOrder, PendingHostOrder, WaveProgress } from '../jobs/journalEvent.js';

/** How far an order to a host is. */
export type HostOrderPhase =
	/** New work is kept away and lasting tasks leave, before the order is written. */
	| 'emptying'
	/** Written to the journal, or to be sent again. */
	| 'ordering'
	/** The host service has accepted it; the host comes back by itself. */
	| 'away';

/** An order to a host. */
export interface HostOrder {
	readonly host: string;
	readonly action: HostAction;
	phase: HostOrderPhase;
	/** When the phase began. */
	phaseSince: number;
	/** The order is not sent before this time. */
	notBefore: number;
	/** When emptying began. */
	readonly startedAt: number;
	/** Whether an order is on its way. */
	isInFlight: boolean;
	/** Whether the order is in the journal. */
	isJournaled: boolean;
	/** Whether it may have been carried out before, so that its acceptance may mean that nothing was done now. */
	isRetry: boolean;
	/** When the list showed that the host had been taken from its worker. */
	workerEndedAt: number | undefined;
	/** Life of the worker that the order ends; `undefined` while the host is emptied or when it has none. */
	workerKey: string | undefined;
	/** Wall clock when the host service accepted the order. */
	acceptedAt: number | undefined;
}

/** Creates an order whose host is still to be emptied. @param isInherited whether a predecessor has written it */
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
		workerEndedAt: undefined,
		workerKey: undefined,
		acceptedAt: undefined,
	};
}

/** A wave with what is done of it. */
export interface WaveState {
	readonly wave: MaintenanceWave;
	readonly seenAt: number;
	/** State that was reported last; `undefined` when nothing was. */
	reportedState: 'running' | 'done' | undefined;
}

/** The hosts, the orders to them, and how far the waves are. */
export interface HostRegistry {
	/** Hosts as listed last; empty until the first list. */
	readonly hosts: ReadonlyMap<string, ListedHost>;
	/** When the newest list was asked for; the list is at least as new. */
	readonly listRequestedAt: number | undefined;
	readonly orders: Map<string, HostOrder>;
	readonly waves: Map<number, WaveState>;
	/** Hosts of a wave that are settled. */
	settledHosts(wave: number): ReadonlySet<string>;
	/** When the host was ordered about last; `undefined` when it is not known to have been. */
	lastOrder(host: string): LastHostOrder | undefined;
	/** The host service has refused the host for a pool, which is one of other hosts. */
	addIncompatiblePool(host: string, pool: string): void;
	isIncompatible(host: string, pool: string): boolean;
	/** @param requestedAt when the list was asked for */
	applyList(hosts: readonly ListedHost[], requestedAt: number): void;
	apply(event: HostEvent, offset: number, now: number): void;
	/** Everything needed to rebuild the book; `undefined` when there is nothing. */
	rewrite(term: number): HostEvent | undefined;
	/** Offset of the record from which the book can be rebuilt; `undefined` when it needs none. */
	readonly baseOffset: number | undefined;
	readonly baseAt: number;
	/** Whether the journal is being rewritten, so that the book has to be as well. */
	isRewriteDue: boolean;
	/** The rewritten book is stored. */
	rebased(offset: number, now: number): void;
}

/** Creates an empty book. */
export function createHostRegistry(): HostRegistry {
	let hosts: ReadonlyMap<string, ListedHost> = new Map();
	let listRequestedAt: number | undefined;
	const orders = new Map<string, HostOrder>();
	const waves = new Map<number, WaveState>();
	const settledByWave = new Map<number, Set<string>>();
	const incompatiblePools = new Set<string>();
	const lastOrders = new Map<string, LastHostOrder>();
	let baseOffset: number | undefined;
	let baseAt = 0;

	const settledHosts = (wave: number): Set<string> => {
		const known = settledByWave.get(wave);
		if (known !== undefined) {
			return known;
		}
		const created = new Set<string>();
		settledByWave.set(wave, created);
		return created;
	};

	const addOrder = ({ host, action }: PendingHostOrder, now: number): void => {
		const known = orders.get(host);
		if (known !== undefined) {
			known.phase = 'ordering';
			known.phaseSince = now;
			known.isJournaled = true;
			return;
		}
		orders.set(host, createHostOrder(host, action, true, now));
	};

	type Handlers = {
		readonly [Type in HostEvent['type']]: (event: Extract<HostEvent, { type: Type }>, now: number) => void;
	};
	const handlers: Handlers = {
		'host-ordered': ({ order }, now) => {
			lastOrders.set(order.host, [order.host, order.term, order.orderedAt]);
			addOrder(order, now);
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
			// While this daemon leads it knows more of its orders than it writes down.
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
		waves,
		settledHosts,
		lastOrder: host => lastOrders.get(host),
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
				.filter(({ isJournaled: isWritten }) => isWritten)
				.map(({ host, action }) => ({ host, action, term, orderedAt: lastOrders.get(host)?.[2] ?? 0 }));
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
		rebased: (offset, now) => {
			baseOffset = offset;
			baseAt = now;
		},
	};
}
