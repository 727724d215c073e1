import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { Engine } from '@chestnutwheel/engine/common/engine.js';
import type { HostAction } from '@chestnutwheel/engine/common/jobs/journalEvent.js';
import type { HostOrderOutcome, HostService, WaveStatusPublisher } from '@chestnutwheel/ports/common/hostService.js';
import type { TermProof } from '../../common/termProof.js';
import { createWaveReporter, type WaveReporter } from './waveReporter.js';

/**
 * Maximum age of the confirmation of the term by the store at which an order is sent to a host. A successor waits longer
 * than this, so that orders of two terms do not overlap.
 */
const MAXIMUM_CONFIRMATION_AGE_MS = 1_500;

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
	readonly proof: TermProof;
}

/** Sends orders to hosts and wave reports to the operator. */
export interface HostOrderTask extends WaveReporter {
	send(host: string, action: HostAction): Promise<void>;
}

/** Creates the host order task of one term. It stops when the signal is aborted. */
export function createHostOrderTask(options: HostOrderTaskOptions, signal: AbortSignal): HostOrderTask {
	const { engine, hosts, clock, counters, flush, term, holder, proof } = options;
	const issuer = { holder, fencingToken: term };

	const order = (host: string, action: HostAction): Promise<HostOrderOutcome> =>
		action.type === 'move'
			? hosts.move(host, action.pool, issuer, signal)
			: hosts.startMaintenance(host, action.wave, issuer, signal);

	return {
		...createWaveReporter(options, signal),
		send: async (host, action) => {
			const isFresh = proof.ageMs() < MAXIMUM_CONFIRMATION_AGE_MS;
			const answer = isFresh ? await order(host, action) : ({ type: 'not-sent' } as const);
			if (!signal.aborted) {
				counters.add('host_orders_total', { action: action.type, outcome: answer.type });
				engine.hostOrderAnswered(host, answer, clock.now());
				flush();
			}
		},
	};
}
