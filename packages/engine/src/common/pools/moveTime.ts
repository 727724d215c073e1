/** Number of newest moves whose times are kept. */
const KEPT_MOVES = 31;

/** Number of moves before the measured time replaces the assumed one. */
const REQUIRED_MOVES = 5;

/** Time assumed before enough moves were seen, in milliseconds: the 1.5 s of a move and the registration of the worker. */
const ASSUMED_MS = 1_900;

/** Time from the decision to move a host until a worker answers on it, as moves take now. */
export interface MoveTime {
	/** Records a completed move. */
	record(tookMs: number): void;
	/** Median of the newest moves, in milliseconds. */
	readonly medianMs: number;
}

/** Creates a move time without moves. The median is not moved by a few hosts that do not return. */
export function createMoveTime(): MoveTime {
	let newest: number[] = [];
	let medianMs = ASSUMED_MS;
	return {
		record: tookMs => {
			newest = [...newest, tookMs].slice(-KEPT_MOVES);
			if (newest.length >= REQUIRED_MOVES) {
				medianMs = newest.toSorted((left, right) => left - right)[newest.length >> 1] ?? ASSUMED_MS;
			}
		},
		get medianMs() {
			return medianMs;
		},
	};
}
