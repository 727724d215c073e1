/**
 * Workers on which a leader has started runs while a lease could be longer than it asks for, because a call that was meant for
 * another incarnation may have reached them. A successor that cannot reach such a worker waits for the longest lease.
 */
export interface LongLeases {
	/** Whether a former leader has recorded the incarnation. @param workerKey see `workerKey` */
	has(workerKey: string): boolean;
	/** Reads what a former leader has recorded. */
	read(workerKeys: readonly string[]): void;
	/** Adds an incarnation until its lease has ended. @returns whether it was not known, and has to be recorded */
	add(workerKey: string, until: number): boolean;
	/** Returns all incarnations that a successor has to know, and forgets the others. @param inheritedUntil end of the inherited leases */
	current(now: number, inheritedUntil: number): readonly string[];
}

/** Creates an empty set. */
export function createLongLeases(): LongLeases {
	const inherited = new Set<string>();
	const added = new Map<string, number>();
	return {
		has: workerKey => inherited.has(workerKey),
		read: workerKeys => {
			workerKeys.forEach(key => inherited.add(key));
		},
		add: (workerKey, until) => {
			const known = added.get(workerKey);
			added.set(workerKey, Math.max(known ?? until, until));
			return known === undefined;
		},
		current: (now, inheritedUntil) => {
			for (const [key, until] of added) {
				if (now > until) {
					added.delete(key);
				}
			}
			return [...new Set([...(now > inheritedUntil ? [] : inherited), ...added.keys()])];
		},
	};
}
