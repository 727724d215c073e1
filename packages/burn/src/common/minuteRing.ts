/** Minutes that are kept: three days, the longest window of the report. */
export const MINUTES_KEPT = 3 * 24 * 60;

/** Counts of good and bad requests. */
export interface BurnCounts {
	readonly good: number;
	readonly bad: number;
	/** Bad requests by error kind, or `slow`. */
	readonly causes: Readonly<Record<string, number>>;
}

/** Counts by minute for the last three days, in bounded memory. */
export interface MinuteRing {
	/** @param cause error kind or `slow` of a bad request; `undefined` for a good one */
	add(minute: number, cause: string | undefined): void;
	/** Sum over the last `minutes` minutes, with the present one. */
	sum(minute: number, minutes: number): BurnCounts;
	/** Last minute in which something was added. */
	readonly lastMinute: number;
}

/** Creates an empty ring; it takes 34 KiB, and more only for minutes with bad requests. */
export function createMinuteRing(): MinuteRing {
	const good = new Uint32Array(MINUTES_KEPT);
	const bad = new Uint32Array(MINUTES_KEPT);
	const causesByMinute = new Map<number, Map<string, number>>();
	let lastMinute = -1;

	const moveTo = (minute: number): void => {
		const from = Math.max(lastMinute + 1, minute - MINUTES_KEPT + 1);
		for (let cleared = from; cleared <= minute; cleared++) {
			good[cleared % MINUTES_KEPT] = 0;
			bad[cleared % MINUTES_KEPT] = 0;
		}
		for (const known of causesByMinute.keys()) {
			if (known > minute - MINUTES_KEPT) {
				break;
			}
			causesByMinute.delete(known);
		}
		lastMinute = minute;
	};

	return {
		add: (minute, cause) => {
			if (minute > lastMinute) {
				moveTo(minute);
			}
			const slot = minute % MINUTES_KEPT;
			if (cause === undefined) {
				good[slot] = (good[slot] ?? 0) + 1;
				return;
			}
			bad[slot] = (bad[slot] ?? 0) + 1;
			const causes = causesByMinute.get(minute) ?? new Map<string, number>();
			causes.set(cause, (causes.get(cause) ?? 0) + 1);
			causesByMinute.set(minute, causes);
		},
		sum: (minute, minutes) => {
			const sums = { good: 0, bad: 0, causes: {} as Record<string, number> };
			const first = Math.max(0, minute - minutes + 1, lastMinute - MINUTES_KEPT + 1);
			for (let index = first; index <= Math.min(minute, lastMinute); index++) {
				sums.good += good[index % MINUTES_KEPT] ?? 0;
				sums.bad += bad[index % MINUTES_KEPT] ?? 0;
				for (const [cause, count] of causesByMinute.get(index) ?? []) {
					sums.causes[cause] = (sums.causes[cause] ?? 0) + count;
				}
			}
			return sums;
		},
		get lastMinute() {
			return lastMinute;
		},
	};
}
