import { noResources, type Resources } from '@chestnutwheel/ports/common/resources.js';
import type { TurnForecast } from './turnForecast.js';

/** What the forecast of a pool's peaks means for its hosts now. */
export interface TurnStance {
	/** Resources that hosts ordered now must provide; none if no peak needs them yet. */
	readonly expected: Resources;
	/** Resources of a peak for which hosts are about to be ordered, so that surplus hosts of any pool wait for it. */
	readonly upcoming: Resources;
	/** Whether the pool is in a peak whose height is known, so that a cluster of arrivals is no sign of more to come. */
	readonly isKnownPeak: boolean;
	/** Whether hosts ordered now for work that is yet to arrive would come after the peak. */
	readonly endsBeforeMove: boolean;
	/** Whether the pool gives up hosts as soon as it does not need them, since its turn has passed to another. */
	readonly releasesAtOnce: boolean;
	/** Time before which arrivals do not count, as they belong to a peak that is over; `undefined` if all count. */
	readonly calmSince: number | undefined;
}

/**
 * Derives from the forecast what a pool needs now. The hosts of a peak are ordered one move before it begins. Hosts that are
 * left over shortly before stay where they are, since a move to the standby pool and back costs more than to keep them.
 * @param moveMs time that a move takes now, in milliseconds
 * @param worthKeepingMs time for which keeping a host costs less than two moves, in milliseconds
 */
export function turnStance(
	forecast: Pick<TurnForecast, 'forecast' | 'calmSince'>,
	pool: string,
	moveMs: number,
	worthKeepingMs: number,
	now: number,
): TurnStance {
	const turn = forecast.forecast(pool, now);
	const calmSince = forecast.calmSince(pool, now);
	const orderAt = turn === undefined ? Infinity : turn.beginsAt - moveMs;
	if (turn !== undefined && now >= orderAt) {
		// A host ordered less than one move before the end would arrive after the peak.
		const isUseful = now < Math.max(turn.beginsAt, turn.endsAt - moveMs);
		const expected = isUseful ? turn.resources : noResources;
		return {
			expected,
			upcoming: noResources,
			isKnownPeak: true,
			endsBeforeMove: turn.hasBegun && !isUseful,
			releasesAtOnce: false,
			calmSince,
		};
	}
	const isSoon = turn !== undefined && now >= orderAt - worthKeepingMs;
	return {
		expected: noResources,
		upcoming: isSoon ? turn.resources : noResources,
		isKnownPeak: false,
		endsBeforeMove: false,
		releasesAtOnce: calmSince !== undefined && !isSoon,
		calmSince,
	};
}
