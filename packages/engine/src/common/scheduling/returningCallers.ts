import type { Counters } from '@chestnutwheel/base/common/counters.js';

/** A caller that was refused and told when to return. */
export interface ReturningCaller {
	readonly job: string;
	readonly pool: string;
	readonly team: string;
	/** Time of its first refusal. */
	readonly firstRefusedAt: number;
	/** Time at which it was told to return. */
	readonly returnsAt: number;
	/** Work of its job, in milliseconds of the whole room of the pool. */
	readonly workMs: number;
}

/** Remembers the callers that were refused and are to return, so that their return times follow one another. */
export interface ReturningCallers {
	/** Returns the place of a job that was refused before; `undefined` if there is none or it has lapsed. */
	placeOf(job: string, now: number): ReturningCaller | undefined;
	/**
	 * Returns the work for which places are held in a pool, in milliseconds of its whole room. The place of the job itself
	 * does not count.
	 */
	heldMs(pool: string, team: string | undefined, exceptJob: string, now: number): number;
	/** Holds a place for a refused caller in exchange for the one that it had. */
	hold(caller: ReturningCaller, now: number): void;
	/** Frees the place of an accepted job. */
	release(job: string): void;
}

/** Time after its return time for which a place is held, in milliseconds. Callers are told whole seconds. */
const GRACE_MS = 1_500;

/** Largest number of places held. Beyond it, the oldest place is dropped. */
const MAXIMUM_PLACES = 2_000;

/**
 * Creates a table without places. Under a load beyond the room of a pool many callers are refused at the same time; were
 * they all told the same time, they would be refused together again. A second refusal of a job replaces its place, so that
 * the return times do not grow with the attempts of the same callers, and a place that is not claimed lapses. The table
 * is lost with the leader: callers that return to a new leader are treated as newcomers.
 */
export function createReturningCallers(counters: Counters): ReturningCallers {
	const places = new Map<string, ReturningCaller>();
	const isHeld = ({ returnsAt }: ReturningCaller, now: number): boolean => now <= returnsAt + GRACE_MS;
	const removeLapsed = (now: number): void => {
		for (const [job, place] of places) {
			if (!isHeld(place, now)) {
				places.delete(job);
				counters.add('retry_places_lapsed_total');
			}
		}
	};
	return {
		placeOf: (job, now) => {
			const place = places.get(job);
			return place !== undefined && isHeld(place, now) ? place : undefined;
		},
		heldMs: (pool, team, exceptJob, now) => {
			let sum = 0;
			for (const place of places.values()) {
				const isCounted = place.pool === pool && (team === undefined || place.team === team);
				sum += isCounted && place.job !== exceptJob && isHeld(place, now) ? place.workMs : 0;
			}
			return sum;
		},
		hold: (caller, now) => {
			removeLapsed(now);
			places.delete(caller.job);
			places.set(caller.job, caller);
			const oldest = places.size > MAXIMUM_PLACES ? places.keys().next().value : undefined;
			if (oldest !== undefined) {
				places.delete(oldest);
				counters.add('retry_places_dropped_total');
			}
			counters.set('retry_places', places.size);
		},
		release: job => {
			if (places.delete(job)) {
				counters.set('retry_places', places.size);
			}
		},
	};
}
