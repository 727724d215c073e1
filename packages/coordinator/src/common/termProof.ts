import type { Clock } from '@chestnutwheel/base/common/clock.js';

/** Send time of an append by which the store confirmed a term. */
export interface TermConfirmation {
	readonly monotonicAt: number;
	/** Wall-clock time, which also advances while the process is suspended. */
	readonly wallAt: number;
}

/**
 * Newest confirmation of a term by the store. Both an append to the journal and a renewal of the leader record confirm it,
 * since each fails once a successor has obtained a later term.
 */
export interface TermProof {
	/** Returns the current time on both clocks, to be read before an append is sent. */
	sendTime(): TermConfirmation;
	/** Records that the store accepted an append. @param sentAt send time of the append */
	confirm(sentAt: TermConfirmation): void;
	/** Send time of the newest confirmed append, on the monotonic clock. */
	readonly confirmedAt: number;
	/**
	 * Returns the time since the newest confirmation, in milliseconds. It is the larger age by the two clocks, because one of
	 * them may stand still while the process is suspended.
	 */
	ageMs(): number;
}

/** Creates the proof of a term that the store has just confirmed. */
export function createTermProof(clock: Clock): TermProof {
	const sendTime = (): TermConfirmation => ({ monotonicAt: clock.now(), wallAt: clock.wallNow() });
	let newest = sendTime();
	return {
		sendTime,
		confirm: sentAt => {
			if (sentAt.monotonicAt > newest.monotonicAt) {
				newest = sentAt;
			}
		},
		get confirmedAt() {
			return newest.monotonicAt;
		},
		ageMs: () => Math.max(clock.now() - newest.monotonicAt, clock.wallNow() - newest.wallAt),
	};
}
