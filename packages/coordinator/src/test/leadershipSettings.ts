import type { LeaderElectionSettings } from '../common/coordinatorSettings.js';

/** Settings of leader election in the tests, as the platform's adapter sets them. */
export const leadershipSettings: LeaderElectionSettings = {
	aliveEveryMs: 250,
	silenceMs: 800,
	askPeersMs: 250,
	beatEveryMs: 1_000,
	standstillMs: 2_500,
	validMs: 5_000,
	standAfterMs: 0,
	standFirstAfterMs: 0,
};
