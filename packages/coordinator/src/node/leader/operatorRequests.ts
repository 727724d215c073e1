import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Engine } from '@chestnutwheel/engine/common/engine.js';
import type { PlanCache } from '../plan/planCache.js';

/** Options of {@link followOperatorRequests}. */
export interface OperatorRequestsOptions {
	readonly planCache: PlanCache;
	readonly engine: Pick<Engine, 'planChanged' | 'wavesChanged' | 'evacuationsChanged'>;
	readonly flush: () => void;
	readonly clock: Clock;
}

/** Passes to the engine what the operator asks for, now and whenever it changes, until the signal is aborted. */
export function followOperatorRequests(options: OperatorRequestsOptions, signal: AbortSignal): void {
	const { planCache, engine, flush, clock } = options;
	const current = planCache.current();
	if (current !== undefined) {
		engine.planChanged(current);
	}
	planCache.onPlanChange(changed => {
		engine.planChanged(changed);
		flush();
	}, signal);
	engine.wavesChanged(planCache.waves(), clock.now());
	planCache.onWavesChange(waves => {
		engine.wavesChanged(waves, clock.now());
		flush();
	}, signal);
	engine.evacuationsChanged(planCache.evacuations(), clock.now());
	planCache.onEvacuationsChange(dataCentres => {
		engine.evacuationsChanged(dataCentres, clock.now());
		flush();
	}, signal);
}
