import type { EngineContext } from '../engineContext.js';

/** Largest number of hosts whose last move is remembered. */
const MAXIMUM_HOSTS = 10_000;

/** Counts moves of hosts that did not pay: a host that moves on soon after it has arrived. */
export interface MoveLog {
	/** Records a move. @param isSwap whether the host goes from one pool to another without the standby pool */
	record(host: string, isSwap: boolean, now: number): void;
}

/**
 * Creates the log of moves.
 * @param worthKeepingMs time for which keeping a host costs less than two moves, in milliseconds
 */
export function createMoveLog({ counters, moveTime }: EngineContext, worthKeepingMs: number): MoveLog {
	const movedAt = new Map<string, number>();
	return {
		record: (host, isSwap, now) => {
			const last = movedAt.get(host);
			if (isSwap) {
				counters.add('host_swaps_total');
			}
			if (last !== undefined && now < last + moveTime.medianMs + worthKeepingMs) {
				counters.add('host_moves_repeated_total');
			}
			movedAt.delete(host);
			movedAt.set(host, now);
			const [oldest] = movedAt.keys();
			if (movedAt.size > MAXIMUM_HOSTS && oldest !== undefined) {
				movedAt.delete(oldest);
				counters.add('host_moves_not_followed_total');
			}
		},
	};
}
