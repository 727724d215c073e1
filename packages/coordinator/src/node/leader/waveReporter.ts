import type { Clock } from '@chestnutwheel/base/common/clock.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { WaveStatusPublisher } from '@chestnutwheel/ports/common/hostService.js';
import type { TermProof } from '../../common/termProof.js';

/** Delay before a report that the store did not accept is retried. */
const RETRY_DELAY_MS = 300;

/** State of a wave as the operator reads it. */
export type ReportedWaveState = 'running' | 'done';

/** Options of {@link createWaveReporter}. */
export interface WaveReporterOptions {
	readonly waveReports: WaveStatusPublisher;
	readonly clock: Clock;
	readonly proof: TermProof;
}

/** Reports the states of maintenance waves to the operator, one after the other and of each wave only the newest. */
export interface WaveReporter {
	/** Reports the state of a wave. Resolves when no report is left to be stored, or when the term ends. */
	report(wave: number, state: ReportedWaveState): Promise<void>;
}

/** Creates the wave reporter of one term. It stops when the signal is aborted. */
export function createWaveReporter(options: WaveReporterOptions, signal: AbortSignal): WaveReporter {
	const { waveReports, clock, proof } = options;
	/** Newest states that are not known to be stored, by wave. */
	const pending = new Map<number, ReportedWaveState>();
	let isRunning = false;
	let lastRun = Promise.resolve();

	/**
	 * Resolves with `true` once a state may be reported, and with `false` when the term ends first. A completion remains true
	 * in later terms.
	 */
	const whenCurrent = (state: ReportedWaveState): Promise<boolean> =>
		state === 'done' ? Promise.resolve(true) : proof.whenConfirmed(clock.now(), signal);

	const storePending = async (): Promise<void> => {
		for (let [next] = pending; next !== undefined && !signal.aborted; [next] = pending) {
			const [wave, state] = next;
			if (!(await whenCurrent(state)) || pending.get(wave) !== state) {
				continue;
			}
			const isStored = await waveReports.publish(wave, state, signal);
			if (!isStored) {
				await delay(RETRY_DELAY_MS, signal);
			} else if (pending.get(wave) === state) {
				pending.delete(wave);
			}
		}
		isRunning = false;
	};

	return {
		report: (wave, state) => {
			pending.set(wave, state);
			if (!isRunning) {
				isRunning = true;
				lastRun = storePending();
			}
			return lastRun;
		},
	};
}
