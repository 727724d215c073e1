import type { AppendOutcome, WriterPosition } from './logService.js';
import type { Resources } from './resources.js';

/** State of a host as listed by the platform's host service. */
export type HostState = 'up' | 'moving' | 'upkeep' | 'down';

/** A host as listed by the host service. */
export interface ListedHost {
	readonly host: string;
	readonly pool: string;
	readonly state: HostState;
	readonly dataCentre: string;
	readonly labels: readonly string[];
	readonly resources: Resources;
	/** The worker on the host; empty when the host has none. */
	readonly worker: string;
}

/** Identity of the leader that issues an order. The host service checks it separately for each host. */
export interface LeaderCredentials {
	readonly holder: string;
	/** Term of the leader; an order with a lower term than the host has seen is refused. */
	readonly fencingToken: number;
}

/** Outcome of an order to a host. */
export type HostOrderOutcome =
	| { readonly type: 'accepted' }
	/** The reason `busy` means that the host is not up or is leaving. */
	| { readonly type: 'refused'; readonly reason: 'fenced' | 'busy' | 'not-of-wave' | 'unknown-host' }
	/** The rate limit was reached, and the order was not carried out. */
	| { readonly type: 'throttled' }
	/** No valid response; whether the order was carried out is unknown. */
	| { readonly type: 'silent'; readonly reason: string };

/** The platform's service that moves hosts between pools and takes them down for maintenance. Calls never reject. */
export interface HostService {
	/** Lists all hosts. @returns `undefined` when the response was missing or incomplete */
	list(signal: AbortSignal): Promise<readonly ListedHost[] | undefined>;
	/** Moves a host to another pool. */
	move(host: string, pool: string, credentials: LeaderCredentials, signal: AbortSignal): Promise<HostOrderOutcome>;
	startMaintenance(
		host: string,
		wave: number,
		credentials: LeaderCredentials,
		signal: AbortSignal,
	): Promise<HostOrderOutcome>;
}

/** Publishes the progress of maintenance waves to the operator. Calls never reject. */
export interface WaveStatusPublisher {
	/** Publishes the state of a wave where the operator reads it, unless a writer with a higher epoch has published before. */
	publish(wave: number, state: 'running' | 'done', writer: WriterPosition, signal: AbortSignal): Promise<AppendOutcome>;
}

/** A worker that may run a step, with the ticket that its start order has to carry. */
export interface AdvisedWorker {
	readonly worker: string;
	readonly ticket: string;
}

/** Outcome of a request to the advice service. */
export type AdviceOutcome =
	| { readonly type: 'advised'; readonly workers: readonly AdvisedWorker[]; readonly validMs: number }
	| { readonly type: 'throttled' }
	| { readonly type: 'failed'; readonly reason: string };

/** External service that decides which workers may run a step. Calls never reject. */
export interface AdviceService {
	/** Requests tickets for a step. @param step identifies job, occurrence and step @param workers at most 100 */
	advise(step: string, workers: readonly string[], signal: AbortSignal): Promise<AdviceOutcome>;
}
