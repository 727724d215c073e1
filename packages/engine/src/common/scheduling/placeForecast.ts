import { addResources, fitsBeside, noResources, type Resources } from '@chestnutwheel/ports/common/resources.js';

/** Resources that a run uses on a worker, or will use once it has started there. */
export interface WorkerUse {
	readonly demand: Resources;
	/** Time from which on the resources are used. */
	readonly from: number;
	/** Expected time at which they are released; `Infinity` for service tasks. */
	readonly until: number;
}

/** A worker that may receive a task, now or once its host has arrived. */
export interface ForecastWorker {
	readonly resources: Resources;
	/** Time from which on the worker accepts tasks. */
	readonly availableAt: number;
	readonly uses: WorkerUse[];
}

/** The resources that waiting tasks need at the same time. */
export interface PlaceRequest {
	readonly demand: Resources;
	/** Number of tasks. */
	readonly count: number;
	/** Most tasks that one worker may receive; `undefined` for no limit. */
	readonly maximumPerWorker: number | undefined;
	/** Expected duration of a task there, in milliseconds. */
	readonly durationMs: number;
}

/** Forecast of the resources of some workers, with the tasks that already wait for them. */
export interface PlaceForecast {
	/** Returns the earliest time at which all requested tasks fit on the workers together; `Infinity` if they never do. */
	earliest(request: PlaceRequest, now: number): number;
	/** Reserves the resources from that time on, so that later requests are forecast behind this one. */
	reserve(request: PlaceRequest, at: number): void;
}

/**
 * Most reservations of a forecast. Each makes the next one more expensive, so that later requests are told the time of the
 * last reservation, which is the earliest that they can expect.
 */
export const MAXIMUM_PLACE_RESERVATIONS = 24;

/**
 * Creates the forecast of the workers of one rack: when the runs there end, when hosts on their way arrive, and which
 * places are taken by tasks that wait for the same rack and run before. It answers the load in which many jobs want the
 * same rack.
 */
export function createPlaceForecast(workers: readonly ForecastWorker[]): PlaceForecast {
	let reservations = 0;
	let lastReservedAt = 0;

	/** Returns a use for each task if all fit at the given time; `undefined` otherwise. */
	const placeAt = (
		at: number,
		{ demand, count, maximumPerWorker, durationMs }: PlaceRequest,
	): readonly (readonly [ForecastWorker, WorkerUse])[] | undefined => {
		const until = at + durationMs;
		const reserved: (readonly [ForecastWorker, WorkerUse])[] = [];
		for (const worker of workers) {
			if (worker.availableAt > at) {
				continue;
			}
			let used = usedBetween(worker.uses, at, until);
			for (
				let added = 0;
				reserved.length < count && added < (maximumPerWorker ?? Infinity) && fitsBeside(demand, used, worker.resources);
				added++
			) {
				reserved.push([worker, { demand, from: at, until }]);
				used = addResources(used, demand);
			}
		}
		return reserved.length < count ? undefined : reserved;
	};

	const couldHold = ({ demand }: PlaceRequest): boolean =>
		workers.some(({ resources }) => fitsBeside(demand, noResources, resources));

	return {
		earliest: (request, now) => {
			if (!couldHold(request)) {
				return Infinity;
			}
			if (reservations >= MAXIMUM_PLACE_RESERVATIONS) {
				return lastReservedAt;
			}
			const times = new Set([now]);
			for (const { availableAt, uses } of workers) {
				times.add(Math.max(now, availableAt));
				uses.filter(({ until }) => until > now && until < Infinity).forEach(({ until }) => times.add(until));
			}
			const sorted = [...times].sort((left, right) => left - right);
			return sorted.find(time => placeAt(time, request) !== undefined) ?? Infinity;
		},
		reserve: (request, at) => {
			if (reservations < MAXIMUM_PLACE_RESERVATIONS) {
				placeAt(at, request)?.forEach(([worker, use]) => worker.uses.push(use));
				reservations++;
				lastReservedAt = Math.max(lastReservedAt, at);
			}
		},
	};
}

/** Returns the resources that are used at some time of an interval. */
function usedBetween(uses: readonly WorkerUse[], from: number, until: number): Resources {
	return uses
		.filter(use => use.from < until && use.until > from)
		.reduce((sum, { demand }) => addResources(sum, demand), noResources);
}
