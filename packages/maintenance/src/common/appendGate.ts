import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';

/** Decides when a record may be appended, and appended again when the state does not show it. */
export interface AppendGate {
	/** Tells whether the record with this key may be appended now, and if so counts it as sent. */
	tryTake(key: string, now: number): boolean;
	/** Tells whether a record with this key was sent and may still arrive. */
	isPending(key: string, now: number): boolean;
	/** The record was folded or refused, so it need not be waited for. */
	settle(key: string): void;
	/** An append failed or its answer was lost. */
	fail(now: number): void;
	/** A record of the stream was read, so the log works. */
	recover(): void;
	/** True after a failed append until the log is seen to work. */
	readonly isOutage: boolean;
	forget(): void;
	/** The earliest time at which a record may be sent again; `undefined` when nothing waits. */
	nextAt(now: number): number | undefined;
}

/** Time for which a record that was sent may still show up in the stream; the design page gives 5 s. */
export const APPEND_PENDING_MS = 5_000;

const FIRST_RETRY_MS = 1_000;
const LONGEST_RETRY_MS = 15_000;

/** Creates a gate. @param random spreads the retries of several daemons */
export function createAppendGate(random: SeededRandom): AppendGate {
	const pendingUntil = new Map<string, number>();
	let failures = 0;
	let probeAt = 0;

	const delayProbe = (now: number): void => {
		const longest = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** Math.min(failures - 1, 10));
		probeAt = now + longest / 2 + (random.next() * longest) / 2;
	};
	const isPending = (key: string, now: number): boolean => (pendingUntil.get(key) ?? 0) > now;

	return {
		tryTake: (key, now) => {
			if (isPending(key, now)) {
				return false;
			}
			if (failures > 0) {
				// In an outage a single record probes the log.
				if (now < probeAt) {
					return false;
				}
				failures++;
				delayProbe(now);
			}
			pendingUntil.set(key, now + APPEND_PENDING_MS);
			return true;
		},
		isPending,
		settle: key => pendingUntil.delete(key),
		fail: now => {
			// Several appends that fail together are one failure, and a probe has set its own delay when it was sent.
			if (failures === 0) {
				failures = 1;
				delayProbe(now);
			}
		},
		recover: () => {
			failures = 0;
		},
		get isOutage() {
			return failures > 0;
		},
		forget: () => {
			pendingUntil.clear();
			failures = 0;
		},
		nextAt: now => {
			for (const [key, until] of pendingUntil) {
				if (until <= now) {
					pendingUntil.delete(key);
				}
			}
			const times = [...pendingUntil.values(), ...(failures > 0 && probeAt > now ? [probeAt] : [])];
			return times.length === 0 ? undefined : Math.min(...times);
		},
	};
}
