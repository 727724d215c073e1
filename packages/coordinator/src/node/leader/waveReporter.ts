import { delay } from '@chestnutwheel/base/node/delay.js';
import type { WaveStatusPublisher } from '@chestnutwheel/ports/common/hostService.js';

/** Delay before a report that the store did not accept is retried. */
const RETRY_DELAY_MS = 300;

/** State of a wave as the operator reads it. */
export type ReportedWaveState = 'running' | 'done';

/** Reports the states of maintenance waves to the operator, one after the other and of each wave only the newest. */
export interface WaveReporter {
	/** Reports the state of a wave. Resolves when no report is left to be stored, or when the term ends. */
	report(wave: number, state: ReportedWaveState): Promise<void>;
}

/** Creates the wave reporter of one term. It stops when the signal is aborted. */
export function createWaveReporter(waveReports: WaveStatusPublisher, signal: AbortSignal): WaveReporter {
	/** Newest states that are not known to be stored, by wave. */
	const pending = new Map<number, ReportedWaveState>();
	let isRunning = false;
	let lastRun = Promise.resolve();

	const storePending = async (): Promise<void> => {
		for (let [next] = pending; next !== undefined && !signal.aborted; [next] = pending) {
			const [wave, state] = next;
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
