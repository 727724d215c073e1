import type { CellWave } from './cellWaves.js';

/** Where a wave stands and why it does not go on faster. */
export interface WaveStanding {
	readonly reason: string;
	readonly details: Readonly<Record<string, string | number>>;
}

/**
 * Says why a wave has not ended.
 * @param waitingFor number of waiting hosts by what they wait for
 * @param waitsForLog whether a record of the wave waits for the end of a log outage
 */
export function explainWave(
	{ wave, waiting, claimed, returned }: CellWave,
	waitingFor: Readonly<Record<string, number>>,
	overdueHosts: readonly string[],
	waitsForLog: boolean,
): WaveStanding {
	const counts = { waiting: waiting.length, claimed: claimed.length, returned: returned.length, ...waitingFor };
	if (waitsForLog) {
		return { reason: 'log-outage', details: counts };
	}
	if (wave.state === 'stopped') {
		return { reason: 'stopped', details: { ...counts, cause: wave.reason ?? '' } };
	}
	if (overdueHosts.length > 0) {
		return { reason: 'host-overdue', details: { ...counts, hosts: overdueHosts.join(', ') } };
	}
	if (claimed.length > 0 || wave.state === 'withdrawn') {
		return { reason: wave.state === 'withdrawn' ? 'withdrawn' : 'hosts-claimed', details: counts };
	}
	// Nothing is on its way, so the most frequent obstacle is what the wave waits for.
	const [first] = Object.entries(waitingFor).sort(([, left], [, right]) => right - left);
	return { reason: first?.[0] ?? 'claiming', details: counts };
}
