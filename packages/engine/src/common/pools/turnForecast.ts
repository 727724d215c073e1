import { addResources, noResources, scaleResources, type Resources } from '@chestnutwheel/ports/common/resources.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { DecisionLogger } from '../engineMessages.js';
import type { StoredTurns, TurnShape } from '../jobs/journalEvent.js';
import {
	createTurnDetector,
	turnResources,
	type ArrivedWork,
	type Turn,
	type TurnChange,
	type TurnDetector,
} from './turnDetector.js';
import { createTurnPattern, type TurnPattern } from './turnPattern.js';

/** Number of pools whose peaks are followed; the peaks of further ones are not forecast. */
const MAXIMUM_POOLS = 64;

/** Weight of the newest peak in the average length and height of a pool's peaks. */
const NEWEST_WEIGHT = 0.5;

/** Peak that is forecast for a pool, or that it has now. */
export interface ForecastTurn {
	readonly beginsAt: number;
	readonly endsAt: number;
	/** Resources that the work of the peak keeps busy. */
	readonly resources: Resources;
	/** Whether the arrivals show that the peak has begun. */
	readonly hasBegun: boolean;
}

/**
 * Forecasts the peaks of pools whose demand rises and falls by turns, so that hosts are ordered before a peak begins. Nothing
 * is forecast for a load without a repeated pattern.
 */
export interface TurnForecast {
	/** Counts the work that a pool received since the previous call. */
	observe(pool: string, arrived: ArrivedWork, now: number): void;
	/**
	 * Returns the peak that the pool has now or will have next; `undefined` if none is forecast. A begin once forecast stays until
	 * the peak has begun or is given up.
	 */
	forecast(pool: string, now: number): ForecastTurn | undefined;
	/**
	 * Returns the time of the last arrivals of the pool's newest peak, if its turn has passed to another pool: that pool's peak
	 * has begun since, or the pattern says that the peak is over.
	 */
	calmSince(pool: string, now: number): number | undefined;
	/** Returns the pattern, to be stored. */
	exportTurns(): StoredTurns;
	/** Restores a stored pattern. It applies once a peak shows its phase. */
	restore(stored: StoredTurns): void;
	/** Whether the pattern became known or was forgotten since it was exported. */
	readonly isExportDue: boolean;
}

interface PeakShape {
	readonly lengthMs: number;
	readonly resources: Resources;
}

interface PoolTurns {
	readonly detector: TurnDetector;
	current: Turn | undefined;
	/** Newest completed peak. */
	last: Turn | undefined;
	/** Average length and resources of the completed peaks; `undefined` before the first. */
	shape: PeakShape | undefined;
	/** The same without the newest peak, which may go on. */
	earlierShape: PeakShape | undefined;
	/** Begin of the newest forecast peak whose outcome is open. */
	awaited: number | undefined;
	hasArrivals: boolean;
}

/** Creates a forecast that knows no peaks. */
export function createTurnForecast(counters: Counters, logDecision: DecisionLogger): TurnForecast {
	const pools = new Map<string, PoolTurns>();
	let pattern: TurnPattern = createTurnPattern();
	let restored: StoredTurns | undefined;
	let exportedPeriodMs = 0;

	const poolTurns = (pool: string): PoolTurns | undefined => {
		const known = pools.get(pool);
		if (known !== undefined || pools.size >= MAXIMUM_POOLS) {
			return known;
		}
		const created: PoolTurns = {
			detector: createTurnDetector(),
			current: undefined,
			last: undefined,
			shape: undefined,
			earlierShape: undefined,
			awaited: undefined,
			hasArrivals: false,
		};
		pools.set(pool, created);
		return created;
	};

	const withArrivals = (): readonly string[] =>
		[...pools].filter(([, { hasArrivals }]) => hasArrivals).map(([name]) => name);

	const averageLength = (): number | undefined => {
		const lengths = [...pools.values()].flatMap(({ shape }) => (shape === undefined ? [] : [shape.lengthMs]));
		return lengths.length === 0 ? undefined : lengths.reduce((sum, length) => sum + length, 0) / lengths.length;
	};

	/** Adds two past rounds of a restored pattern, in the phase of a peak that begins now. */
	const alignRestored = (pool: string, beganAt: number, toleranceMs: number): void => {
		if (pattern.periodMs !== undefined) {
			// A pattern found since then is newer than the stored one.
			restored = undefined;
		}
		const own = restored?.turns.find(([name]) => name === pool);
		if (restored === undefined || own === undefined) {
			return;
		}
		const { periodMs, turns } = restored;
		restored = undefined;
		pattern = createTurnPattern();
		const earlier = turns
			.map(([name, offsetMs]) => {
				const beforeMs = (own[1] - offsetMs + periodMs) % periodMs;
				return { pool: name, at: beganAt - (beforeMs === 0 ? periodMs : beforeMs) };
			})
			.sort((left, right) => left.at - right.at);
		for (const round of [1, 0]) {
			for (const begin of earlier) {
				pattern.add({ pool: begin.pool, at: begin.at - round * periodMs }, withArrivals(), toleranceMs);
			}
		}
		logDecision('turns-aligned', { pool, periodMs: Math.round(periodMs) });
	};

	const began = (pool: string, state: PoolTurns, turn: Turn): void => {
		const { toleranceMs } = state.detector;
		state.current = turn;
		state.earlierShape = state.shape;
		alignRestored(pool, turn.beganAt, toleranceMs);
		const before = pattern.periodMs;
		if (state.awaited !== undefined) {
			const isRight = Math.abs(turn.beganAt - state.awaited) <= 2 * toleranceMs;
			judge(pool, state, isRight, turn.beganAt - state.awaited);
		}
		pattern.add({ pool, at: turn.beganAt }, withArrivals(), toleranceMs);
		noteChange(before);
	};

	const judge = (pool: string, state: PoolTurns, isRight: boolean, lateMs: number | undefined): void => {
		state.awaited = undefined;
		pattern.judge(isRight, pool);
		counters.add('turn_forecasts_total', { outcome: isRight ? 'right' : 'wrong' });
		logDecision('turn-judged', { pool, isRight, lateMs: lateMs === undefined ? undefined : Math.round(lateMs) });
	};

	const noteChange = (before: number | undefined): void => {
		const { periodMs, evidence } = pattern;
		if ((before === undefined) !== (periodMs === undefined)) {
			logDecision(periodMs === undefined ? 'turns-forgotten' : 'turns-known', {
				periodMs: Math.round(periodMs ?? before ?? 0),
				evidence,
			});
		}
	};

	const ended = (_pool: string, state: PoolTurns, turn: Turn): void => {
		state.current = undefined;
		state.last = turn;
		const lengthMs = (turn.endedAt ?? turn.beganAt) - turn.beganAt;
		const resources = turnResources(turn, turn.beganAt);
		const { earlierShape } = state;
		state.shape =
			earlierShape === undefined
				? { lengthMs, resources }
				: {
						lengthMs: earlierShape.lengthMs + NEWEST_WEIGHT * (lengthMs - earlierShape.lengthMs),
						resources: addResources(
							scaleResources(earlierShape.resources, 1 - NEWEST_WEIGHT),
							scaleResources(resources, NEWEST_WEIGHT),
						),
					};
	};

	const resumed = (_pool: string, state: PoolTurns, turn: Turn): void => {
		state.current = turn;
	};

	const changeHandlers: Readonly<Record<TurnChange['kind'], typeof began>> = { began, ended, resumed };

	/** Returns the latest begin of the pool's peaks by the pattern that is not after a time. */
	const phase = (pool: string, periodMs: number, now: number): number | undefined => {
		const last = pattern.lastBegin(pool);
		return last === undefined ? undefined : last + Math.max(0, Math.floor((now - last) / periodMs)) * periodMs;
	};

	/** Returns the first peak of the last pool of a round, as low as the lowest of the others' peaks. */
	const firstTurn = (pool: string, state: PoolTurns, lengthMs: number, now: number): ForecastTurn | undefined => {
		const { lastOfRound } = pattern;
		const heights = [...pools.values()].flatMap(({ shape }) => (shape === undefined ? [] : [shape.resources]));
		const [first, ...others] = heights;
		const inTurn = [...pools.values()].filter(({ current }) => current !== undefined).length;
		if (lastOfRound?.pool !== pool || state.current !== undefined || first === undefined || inTurn > 1) {
			return undefined;
		}
		const { at } = lastOfRound;
		if (state.awaited === undefined && now > at) {
			return undefined;
		}
		awaitTurn(pool, state, at, now);
		return { beginsAt: at, endsAt: at + lengthMs, resources: others.reduce(minimumResources, first), hasBegun: false };
	};

	const awaitTurn = (pool: string, state: PoolTurns, beginsAt: number, now: number): void => {
		if (state.awaited === undefined) {
			state.awaited = beginsAt;
			logDecision('turn-expected', { pool, inMs: Math.round(beginsAt - now) });
			counters.add('turn_forecasts_total', { outcome: 'made' });
		}
	};

	return {
		observe: (pool, arrived, now) => {
			const state = poolTurns(pool);
			if (state === undefined) {
				return;
			}
			state.hasArrivals ||= arrived.jobs > 0;
			const change = state.detector.observe(arrived, now);
			if (change !== undefined) {
				const { kind, turn } = change;
				logDecision(`turn-${kind}`, {
					pool,
					jobs: turn.jobs,
					lastedMs: Math.round((turn.endedAt ?? now) - turn.beganAt),
				});
				changeHandlers[kind](pool, state, turn);
			}
			const { awaited } = state;
			if (awaited !== undefined && state.current === undefined && now > awaited + state.detector.missingAfterMs) {
				const before = pattern.periodMs;
				judge(pool, state, false, undefined);
				noteChange(before);
			}
		},
		forecast: (pool, now) => {
			const state = pools.get(pool);
			const { periodMs } = pattern;
			const lengthMs = state?.shape?.lengthMs ?? averageLength();
			const resources = state?.shape?.resources;
			if (state === undefined || lengthMs === undefined) {
				return undefined;
			}
			if (periodMs === undefined || resources === undefined) {
				return firstTurn(pool, state, lengthMs, now);
			}
			const beganAt = state.current?.beganAt ?? phase(pool, periodMs, now);
			if (beganAt === undefined) {
				return undefined;
			}
			if (state.current !== undefined && now < beganAt + lengthMs) {
				return { beginsAt: beganAt, endsAt: beganAt + lengthMs, resources, hasBegun: true };
			}
			const beginsAt = state.awaited ?? beganAt + periodMs;
			if (state.current === undefined) {
				awaitTurn(pool, state, beginsAt, now);
			}
			return { beginsAt, endsAt: beginsAt + lengthMs, resources, hasBegun: false };
		},
		calmSince: (pool, now) => {
			const state = pools.get(pool);
			if (state === undefined) {
				return undefined;
			}
			const { current, last, detector } = state;
			// A peak that outlasts the earlier ones goes on until its arrivals say otherwise.
			if (current !== undefined || last?.endedAt === undefined || !detector.isCalm) {
				return undefined;
			}
			const { beganAt, endedAt } = last;
			const hasPassedOn = [...pools.values()].some(
				({ current: other }) =>
					other !== undefined && other.beganAt > beganAt && other.beganAt - endedAt <= endedAt - beganAt,
			);
			const isWithinPeriod = pattern.periodMs !== undefined && now < beganAt + pattern.periodMs;
			return hasPassedOn || isWithinPeriod ? endedAt : undefined;
		},
		exportTurns: () => {
			const { periodMs } = pattern;
			if (restored !== undefined) {
				return restored;
			}
			exportedPeriodMs = periodMs ?? 0;
			if (periodMs === undefined) {
				return { periodMs: 0, turns: [] };
			}
			const turns = [...pools].flatMap(([pool, { shape }]): TurnShape[] => {
				const begin = pattern.lastBegin(pool);
				if (shape === undefined || begin === undefined) {
					return [];
				}
				const { milliCores, memoryMb, accelerators } = shape.resources;
				const offsetMs = ((begin % periodMs) + periodMs) % periodMs;
				return [
					[
						pool,
						Math.round(offsetMs),
						Math.round(shape.lengthMs),
						Math.round(milliCores),
						Math.round(memoryMb),
						accelerators,
					],
				];
			});
			return { periodMs: Math.round(periodMs), turns };
		},
		restore: stored => {
			restored = stored.periodMs > 0 ? stored : undefined;
			exportedPeriodMs = stored.periodMs;
			for (const [pool, , lengthMs, milliCores, memoryMb, accelerators] of stored.turns) {
				const state = poolTurns(pool);
				if (state !== undefined) {
					state.hasArrivals = true;
					state.shape = { lengthMs, resources: { ...noResources, milliCores, memoryMb, accelerators } };
				}
			}
		},
		get isExportDue() {
			return restored === undefined && (pattern.periodMs === undefined) !== (exportedPeriodMs === 0);
		},
	};
}

function minimumResources(left: Resources, right: Resources): Resources {
	return {
		milliCores: Math.min(left.milliCores, right.milliCores),
		memoryMb: Math.min(left.memoryMb, right.memoryMb),
		accelerators: Math.min(left.accelerators, right.accelerators),
	};
}
