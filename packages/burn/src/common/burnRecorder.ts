import type { ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import type { ServiceObjective } from '@chestnutwheel/configuration/common/fleetState.js';
import { burnWindows, type BurnWindowName } from './burnWindows.js';
import { createLatencyHistogram, type LatencyHistogram } from './latencyHistogram.js';
import { createMinuteRing, MINUTES_KEPT, type BurnCounts, type MinuteRing } from './minuteRing.js';

/** A request that has ended. */
export interface EndedRequest {
	/** `undefined` in an open queue. */
	readonly team: string | undefined;
	readonly queue: string;
	readonly latencyMs: number;
	/** `undefined` when the endpoint gave an answer without a server error. */
	readonly failure: ErrorKind | undefined;
}

/** What one daemon has counted of one team and queue. It travels between daemons as JSON. */
export interface BurnSeriesPart {
	readonly team: string | undefined;
	readonly queue: string;
	readonly windows: Readonly<Record<BurnWindowName, BurnCounts>>;
	/** Good and bad requests of the last 60 minutes, oldest first. */
	readonly lastHour: readonly (readonly [good: number, bad: number])[];
	/** Latencies of the present hour and the hour before. */
	readonly latencies: readonly string[];
}

/** What one daemon has counted; parts of several daemons can be merged. */
export interface BurnPart {
	readonly series: readonly BurnSeriesPart[];
	/** Requests that were not counted because there were too many series. */
	readonly refused: number;
}

/** Counts ended requests against the objectives of their queues, per team and queue. */
export interface BurnRecorder {
	/** @param objective of the queue; requests of a queue without one are not counted */
	record(ended: EndedRequest, objective: ServiceObjective | undefined, now: number): void;
	part(now: number): BurnPart;
}

/** Series that are kept; with 34 KiB each they stay under 20 MB. */
const MAXIMUM_SERIES = 512;
const MINUTE_MS = 60_000;

/** Errors that the caller made or asked for; they say nothing about the service. */
const notCounted: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
	'bad-request',
	'missing-deadline',
	'missing-request-key',
	'body-too-large',
	'unknown-key',
	'key-not-allowed',
	'unknown-queue',
	'request-key-used',
	'cancelled',
	'cancelled-running',
]);

interface Series {
	readonly team: string | undefined;
	readonly queue: string;
	readonly minutes: MinuteRing;
	readonly latencies: LatencyHistogram;
}

/** Creates an empty recorder. */
export function createBurnRecorder(): BurnRecorder {
	const seriesByKey = new Map<string, Series>();
	let refused = 0;

	const dropOld = (minute: number): void => {
		for (const [key, { minutes }] of seriesByKey) {
			if (minutes.lastMinute <= minute - MINUTES_KEPT) {
				seriesByKey.delete(key);
			}
		}
	};

	const seriesOf = ({ team, queue }: EndedRequest, minute: number): Series | undefined => {
		const key = JSON.stringify([team, queue]);
		const known = seriesByKey.get(key);
		if (known !== undefined) {
			return known;
		}
		if (seriesByKey.size >= MAXIMUM_SERIES) {
			dropOld(minute);
		}
		if (seriesByKey.size >= MAXIMUM_SERIES) {
			refused++;
			return undefined;
		}
		const created = { team, queue, minutes: createMinuteRing(), latencies: createLatencyHistogram() };
		seriesByKey.set(key, created);
		return created;
	};

	const partOf = ({ team, queue, minutes, latencies }: Series, minute: number): BurnSeriesPart => {
		const sumOf = (name: BurnWindowName): BurnCounts => minutes.sum(minute, burnWindows[name]);
		const encoded = latencies.encode(minute);
		return {
			team,
			queue,
			windows: { '5 min': sumOf('5 min'), '1 h': sumOf('1 h'), '6 h': sumOf('6 h'), '3 d': sumOf('3 d') },
			lastHour: Array.from({ length: 60 }, (_, index) => {
				const { good, bad } = minutes.sum(minute - 59 + index, 1);
				return [good, bad] as const;
			}),
			latencies: encoded === undefined ? [] : [encoded],
		};
	};

	return {
		record: (ended, objective, now) => {
			if (objective === undefined || (ended.failure !== undefined && notCounted.has(ended.failure))) {
				return;
			}
			const minute = Math.floor(now / MINUTE_MS);
			const series = seriesOf(ended, minute);
			const cause = ended.failure ?? (ended.latencyMs > objective.latencyMs ? 'slow' : undefined);
			series?.minutes.add(minute, cause);
			series?.latencies.record(minute, ended.latencyMs);
		},
		part: now => {
			const minute = Math.floor(now / MINUTE_MS);
			dropOld(minute);
			return { series: [...seriesByKey.values()].map(series => partOf(series, minute)), refused };
		},
	};
}
