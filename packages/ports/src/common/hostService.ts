import type { Resources } from './resources.js';

/** State of a host as the platform's host service lists it. */
export type HostState = 'up' | 'moving' | 'upkeep' | 'down';

/** One host of the platform. */
export interface ListedHost {
	readonly host: string;
	readonly pool: string;
	readonly state: HostState;
	readonly dataCentre: string;
	readonly labels: readonly string[];
	readonly resources: Resources;
	/** Its worker; empty while it has none. */
	readonly worker: string;
}

/** Who orders, as the host service checks it for each host by itself. */
export interface LeaderCredentials {
	readonly holder: string;
	/** The orderer's term. */
	readonly fencingToken: number;
}

/** How an order to a host ended. */
export type HostOrderOutcome =
	| { readonly type: 'accepted' }
	/** `busy`: the host is not up or is leaving. */
	| { readonly type: 'refused'; readonly reason: 'fenced' | 'busy' | 'not-of-wave' | 'unknown-host' }
	/** Too many calls; nothing was done. */
	| { readonly type: 'throttled' }
	| { readonly type: 'silent'; readonly reason: string };

/** The platform's service that moves hosts between pools and takes them down for upkeep. Calls never reject. */
export interface HostService {
	/** All hosts; `undefined` when the service did not answer in full. */
	list(signal: AbortSignal): Promise<readonly ListedHost[] | undefined>;
	move(host: string, pool: string, orderer: LeaderCredentials, signal: AbortSignal): Promise<HostOrderOutcome>;
	startMaintenance(
		host: string,
		wave: number,
		orderer: LeaderCredentials,
		signal: AbortSignal,
	): Promise<HostOrderOutcome>;
}

/** Where the operator reads how far waves are. Calls never reject. */
export interface WaveStatusPublisher {
	/** @returns whether the operator can read it now */
	publish(wave: number, state: 'running' | 'done', signal: AbortSignal): Promise<boolean>;
}

/** A worker that may run a step. */
export interface AdvisedWorker {
	readonly worker: string;
	readonly ticket: string;
}

/** How a question to the advice service ended. */
export type AdviceOutcome =
	| { readonly type: 'advised'; readonly workers: readonly AdvisedWorker[]; readonly validMs: number }
	| { readonly type: 'throttled' }
	| { readonly type: 'failed'; readonly reason: string };

/** An outside service that says which workers may run a step. Calls never reject. */
export interface AdviceService {
	/** @param step identifies job, occurrence and step @param workers at most 100 */
	advise(step: string, workers: readonly string[], signal: AbortSignal): Promise<AdviceOutcome>;
}
