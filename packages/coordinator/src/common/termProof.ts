import type { Clock, MonotonicTime } from '@chestnutwheel/base/common/clock.js';

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
	readonly confirmedAt: MonotonicTime;
	/**
	 * Resolves with `true` once the store has confirmed the term by a call that was sent at the given time or later. All waiters
	 * share the next confirmation. Resolves with `false` when the signal is aborted first.
	 */
	whenConfirmed(since: MonotonicTime, signal: AbortSignal): Promise<boolean>;
	/** Resolves when a waiter needs a confirmation, or when the signal is aborted. */
	whenNeeded(signal: AbortSignal): Promise<void>;
	/** Earliest time since which a waiter needs a confirmation; `undefined` if none waits. */
	readonly neededSince: MonotonicTime | undefined;
	/**
	 * Returns the time since the newest confirmation, in milliseconds. It is the larger age by the two clocks, because one of
	 * them may stand still while the process is suspended.
	 */
	ageMs(): number;
}

interface Waiter {
	readonly since: MonotonicTime;
	readonly settle: (isConfirmed: boolean) => void;
}

/** Creates the proof of a term that the store has just confirmed. */
export function createTermProof(clock: Clock): TermProof {
	const sendTime = (): TermConfirmation => ({ monotonicAt: clock.now(), wallAt: clock.wallNow() });
	let newest = sendTime();
	const waiters = new Set<Waiter>();
	const needListeners = new Set<() => void>();

	return {
		sendTime,
		confirm: sentAt => {
			if (sentAt.monotonicAt <= newest.monotonicAt) {
				return;
			}
			newest = sentAt;
			for (const waiter of [...waiters]) {
				if (waiter.since <= newest.monotonicAt) {
					waiter.settle(true);
				}
			}
		},
		get confirmedAt() {
			return newest.monotonicAt;
		},
		whenConfirmed: (since, signal) =>
			new Promise(resolve => {
				if (signal.aborted || since <= newest.monotonicAt) {
					resolve(!signal.aborted);
					return;
				}
				const onAbort = (): void => waiter.settle(false);
				const waiter: Waiter = {
					since,
					settle: isConfirmed => {
						waiters.delete(waiter);
						signal.removeEventListener('abort', onAbort);
						resolve(isConfirmed);
					},
				};
				waiters.add(waiter);
				signal.addEventListener('abort', onAbort, { once: true });
				[...needListeners].forEach(listener => listener());
			}),
		whenNeeded: signal =>
			new Promise(resolve => {
				if (signal.aborted || waiters.size > 0) {
					resolve();
					return;
				}
				const settle = (): void => {
					needListeners.delete(settle);
					signal.removeEventListener('abort', settle);
					resolve();
				};
				needListeners.add(settle);
				signal.addEventListener('abort', settle, { once: true });
			}),
		get neededSince() {
			// A call that arrived first may begin to wait later.
			return waiters.size === 0 ? undefined : Math.min(...[...waiters].map(({ since }) => since));
		},
		ageMs: () => Math.max(clock.now() - newest.monotonicAt, clock.wallNow() - newest.wallAt),
	};
}
