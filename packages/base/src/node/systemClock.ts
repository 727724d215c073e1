import { performance } from 'node:perf_hooks';
import type { Clock } from '../common/clock.js';

/** Creates the clock of the running process. */
export function createSystemClock(): Clock {
	return {
		now: () => performance.now(),
		wallNow: () => Date.now(),
	};
}
