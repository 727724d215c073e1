import type { Clock } from '@chestnutwheel/base/common/clock.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { WaveStatusPublisher } from '@chestnutwheel/ports/common/hostService.js';
import type { AppendOutcome } from '@chestnutwheel/ports/common/logService.js';
import type { TermProof } from '../../common/termProof.js';

/** Name of the idempotent writer. All leaders share it, so that a higher term fences off the lower ones. */
const WAVE_REPORT_WRITER = 'leader';

/** Delay before a report that the store did not accept is retried. */
const RETRY_DELAY_MS = 300;

/** State of a wave as the operator reads it. */
export type ReportedWaveState = 'running' | 'done';

/** Options of {@link createWaveReporter}. */
export interface WaveReporterOptions {
	readonly waveReports: WaveStatusPublisher;
	readonly clock: Clock;
	readonly term: number;
	readonly proof: TermProof;
}

/** Reports the states of maintenance waves to the operator, one after the other and of each wave only the newest. */
export interface WaveReporter {
	/** Reports the state of a wave. Resolves when no report is left to be stored, or when the term ends. */
	report(wave: number, state: ReportedWaveState): Promise<void>;
}

type Report = readonly [wave: number, state: ReportedWaveState];

/** Creates the wave reporter of one term. It stops when the signal is aborted. */
export function createWaveReporter(options: WaveReporterOptions, signal: AbortSignal): WaveReporter {
	const { waveReports, clock, term, proof } = options;
	/** Newest states that are not known to be stored, by wave. */
	const pending = new Map<number, ReportedWaveState>();
	/** Report that may be stored already or be stored later. Its sequence number is not used for another report. */
	let unanswered: Report | undefined;
	let sequence = 1;
	let isFenced = false;
	let isRunning = false;
	let lastRun = Promise.resolve();

	/**
	 * Resolves with `true` once a state may be reported, and with `false` when the term ends first. A completion remains true
	 * in later terms.
	 */
	const whenCurrent = (state: ReportedWaveState): Promise<boolean> =>
		state === 'done' ? Promise.resolve(true) : proof.whenConfirmed(clock.now(), signal);

	const retry = (): Promise<void> => delay(RETRY_DELAY_MS, signal);

	const reactions: {
		readonly [Type in AppendOutcome['type']]: (
			report: Report,
			outcome: Extract<AppendOutcome, { type: Type }>,
		) => Promise<void> | void;
	} = {
		appended: ([wave, state]) => {
			sequence++;
			unanswered = undefined;
			if (pending.get(wave) === state) {
				pending.delete(wave);
			}
		},
		conflict: retry,
		fenced: () => {
			isFenced = true;
		},
		'out-of-sequence': (_report, { expected }) => {
			sequence = expected;
			return retry();
		},
		refused: retry,
		rejected: retry,
		unknown: report => {
			unanswered = report;
			return retry();
		},
	};

	const storePending = async (): Promise<void> => {
		for (let [next] = pending; next !== undefined && !isFenced && !signal.aborted; [next] = pending) {
			const report = unanswered ?? next;
			const [wave, state] = report;
			if (!(await whenCurrent(state)) || (unanswered === undefined && pending.get(wave) !== state)) {
				continue;
			}
			const writer = { name: WAVE_REPORT_WRITER, epoch: term, sequence };
			const outcome = await waveReports.publish(wave, state, writer, signal);
			await (reactions[outcome.type] as (report: Report, outcome: AppendOutcome) => Promise<void> | void)(
				report,
				outcome,
			);
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
