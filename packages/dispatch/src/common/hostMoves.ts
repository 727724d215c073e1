/** A host that is moved from a spare pool. */
export interface HostMove {
	readonly host: string;
	readonly from: string;
	readonly to: string;
	readonly queue: string;
}

/** Work of a queue that finds no slot. */
export interface FullQueue {
	/** Pools that the queue may use, in order. */
	readonly pools: readonly string[];
	/** Requests that wait in the queue. */
	readonly waiting: number;
}

/** Decides when lending is not enough and an idle spare host should change its pool. */
export interface HostMoves {
	/**
	 * Notes what is full and what is idle now, and returns a move when both have lasted long enough.
	 * @param fullQueues queues with waiting work that found no slot, of teams below their limits
	 * @param idleSpareHosts open spare hosts that run nothing, with their pool
	 */
	observe(
		fullQueues: ReadonlyMap<string, FullQueue>,
		idleSpareHosts: ReadonlyMap<string, string>,
		now: number,
	): HostMove | undefined;
	/** The next time at which an observation may cause a move. */
	nextChangeAt(): number | undefined;
}

/** Demand has to last this long before a host moves, because a move costs a log record and a drain. */
const DEMAND_MS = 60_000;

/** A queue that shrank below this part of its length within that time is already getting enough. */
const STILL_FULL = 0.9;

/** Creates the rule without observations. */
export function createHostMoves(): HostMoves {
	const fullSince = new Map<string, number>();
	/** Requests that waited when the time in `fullSince` began. */
	const waitingThen = new Map<string, number>();
	const idleSince = new Map<string, number>();

	const update = (since: Map<string, number>, names: ReadonlyMap<string, unknown>, now: number): void => {
		for (const name of [...since.keys()].filter(known => !names.has(known))) {
			since.delete(name);
		}
		for (const name of names.keys()) {
			if (!since.has(name)) {
				since.set(name, now);
			}
		}
	};

	return {
		observe: (fullQueues, idleSpareHosts, now) => {
			update(fullSince, fullQueues, now);
			for (const [queue, since] of fullSince) {
				const waiting = fullQueues.get(queue)?.waiting ?? 0;
				const shrank = now - since >= DEMAND_MS && waiting < STILL_FULL * (waitingThen.get(queue) ?? 0);
				if (since === now || shrank) {
					fullSince.set(queue, now);
					waitingThen.set(queue, waiting);
				}
			}
			update(idleSince, idleSpareHosts, now);
			const lasting = (since: ReadonlyMap<string, number>): string[] =>
				[...since].filter(([, from]) => now - from >= DEMAND_MS).map(([name]) => name);
			const [idleHost] = lasting(idleSince).sort();
			for (const queue of lasting(fullSince).sort()) {
				const { pools, waiting } = fullQueues.get(queue) ?? { pools: [], waiting: 0 };
				const from = idleHost === undefined ? undefined : idleSpareHosts.get(idleHost);
				const [to] = pools;
				if (idleHost === undefined || from === undefined || to === undefined || pools.includes(from)) {
					continue;
				}
				// The demand has to last again before the next host moves for this queue.
				fullSince.set(queue, now);
				waitingThen.set(queue, waiting);
				idleSince.set(idleHost, now);
				return { host: idleHost, from, to, queue };
			}
			return undefined;
		},
		nextChangeAt: () => {
			if (fullSince.size === 0 || idleSince.size === 0) {
				return undefined;
			}
			return Math.max(Math.min(...fullSince.values()), Math.min(...idleSince.values())) + DEMAND_MS;
		},
	};
}
