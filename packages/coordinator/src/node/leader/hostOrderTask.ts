import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { Engine } from '@chestnutwheel/engine/common/engine.js';
import type { HostAction } from '@chestnutwheel/engine/common/jobs/journalEvent.js';
import type { HostOrderOutcome, HostService, WaveStatusPublisher } from '@chestnutwheel/ports/common/hostService.js';
import { confirmationAge, type TermConfirmation } from '../journal/journalWriter.js';

/** An order to a host is sent only this shortly after the store proved that the term holds: a successor waits longer. */
const MAXIMUM_CONFIRMATION_AGE_MS = 1_500;

/** Pause before a report that the store did not take is written again. */
const REPORT_RETRY_DELAY_MS = 300;

/** Options of {@link createHostOrderTask}. */
export interface HostOrderTaskOptions {
	readonly engine: Engine;
	readonly hosts: HostService;
	readonly waveReports: WaveStatusPublisher;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly flush: () => void;
	readonly term: number;
	readonly holder: string;
	readonly confirmation: () => TermConfirmation;
}

/** Sends orders to hosts, and reports to the operator. */
export interface HostOrderTask {
	send(host: string, action: HostAction): Promise<void>;
	report(wave: number, state: 'running' | 'done'): Promise<void>;
}

/** Creates the task of one term. */
export function createHostOrderTask(options: HostOrderTaskOptions, signal: AbortSignal): HostOrderTask {
	const { engine, hosts, waveReports, clock, counters, flush, term, holder, confirmation } = options;
	const issuer = { holder, fencingToken: term };

	const order = (host: string, action: HostAction): Promise<HostOrderOutcome> =>
		action.type === 'move'
			? hosts.move(host, action.pool, issuer, signal)
			: hosts.startMaintenance(host, action.wave, issuer, signal);

	return {
		send: async (host, action) => {
			const isFresh = confirmationAge(confirmation(), clock) < MAXIMUM_CONFIRMATION_AGE_MS;
			const answer = isFresh ? await order(host, action) : ({ type: 'not-sent' } as const);
			if (!signal.aborted) {
				counters.add('host_orders_total', { action: action.type, outcome: answer.type });
				engine.hostAnswered(host, answer, clock.now());
				flush();
			}
		},
		report: async (wave, state) => {
			while (!signal.aborted && !(await waveReports.publish(wave, state, signal))) {
				await delay(REPORT_RETRY_DELAY_MS, signal);
			}
		},
	};
}
