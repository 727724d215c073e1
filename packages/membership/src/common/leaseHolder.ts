import type { MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import {
	MAX_CANDIDATE_DELAY_MS,
	CLOCK_DRIFT_MARGIN,
	PROMISE_DURATION_MS,
	RENEWAL_INTERVAL_MS,
	type DaemonIdentity,
	type LeaseRelease,
	type LeaseRequest,
	type LeaseResponse,
	type ViewReport,
} from './leaseMessages.js';
import { majorityOf } from './majority.js';

/** A message to the voter of one entry host, which may be the daemon's own. */
export type LeaseCall =
	| { readonly to: string; readonly method: 'lease.request'; readonly request: LeaseRequest }
	| { readonly to: string; readonly method: 'lease.release'; readonly release: LeaseRelease };

/** State of the daemon that a tick depends on. */
export interface HolderContext {
	/** Names of the entry hosts in the accepted configuration. */
	readonly entryHosts: readonly string[];
	readonly entrySetOffset: number;
	readonly view: ViewReport;
}

/** A held lease, as measured by its holder. */
export interface HeldLease {
	readonly term: number;
	/** Exclusive end of the lease on the holder's clock. */
	readonly until: MonotonicTime;
}

/** Options of {@link createLeaseHolder}. */
export interface LeaseHolderOptions {
	readonly identity: DaemonIdentity;
	readonly cell: string;
	readonly random: SeededRandom;
}

/** Acquires, renews and releases the leader lease of one cell. */
export interface LeaseHolder {
	/**
	 * Returns the calls to send now. The caller reads `now` before it sends any of them. The daemon ticks at least
	 * every 50 ms and after each response.
	 */
	tick(now: MonotonicTime, context: HolderContext): readonly LeaseCall[];
	/**
	 * Processes a voter's response.
	 * @param sentAt `now` of the tick that returned the request
	 */
	receive(response: LeaseResponse, sentAt: MonotonicTime, now: MonotonicTime): void;
	/** Postpones the candidature after the local voter promised a daemon its vote or refused it as `starting`. */
	observeRenewal(entryHost: string, term: number, now: MonotonicTime): void;
	/** Schedules a candidature after a promise of the local voter was released. */
	observeRelease(now: MonotonicTime): void;
	/** Returns the lease while it is held. */
	lease(now: MonotonicTime): HeldLease | undefined;
	/** Returns the entry host that was last observed to lead the cell. */
	observedHolder(): string | undefined;
	/** Releases the lease or the candidature and starts no further rounds. */
	release(): readonly LeaseCall[];
	/** Records a term observed at a worker or in the work stream. A lease or candidature with a lower term is abandoned. */
	observeTerm(term: number): void;
}

/** A round without a majority after this time has failed. */
const ROUND_TIMEOUT_MS = RENEWAL_INTERVAL_MS;

/**
 * Upper bound of the random step between terms. Random steps make it unlikely that two leaders get the same term after
 * a majority of the voters has restarted and lost its in-memory state.
 */
const MAX_TERM_STEP = 1_000;

interface ElectionRound {
	readonly term: number;
	readonly startedAt: MonotonicTime;
	/** End of each voter's promise on the holder's clock, by voter. */
	readonly promises: Map<string, MonotonicTime>;
	/** Holder that each refusing voter reported, by voter. */
	readonly denials: Map<string, string | undefined>;
	/** Voters that received a request and may have made a promise. */
	readonly requestedVoters: Set<string>;
	sentAt: MonotonicTime;
	won: boolean;
	/** End of the lease, computed from the promises and the current entry hosts. */
	leaseUntil: MonotonicTime;
}

/** Creates the lease holder of one daemon for one cell. */
export function createLeaseHolder({ identity, cell, random }: LeaseHolderOptions): LeaseHolder {
	let entryHosts: readonly string[] = [];
	let highestTerm = 0;
	let round: ElectionRound | undefined;
	let nextRoundAt: MonotonicTime | undefined;
	let holder: string | undefined;
	let stopped = false;
	const releases: LeaseCall[] = [];

	const randomDelay = (): number => random.next() * MAX_CANDIDATE_DELAY_MS;

	/** Returns the latest time at which promises of a majority are still valid. */
	const leaseEndOf = ({ promises }: ElectionRound): MonotonicTime => {
		if (promises.size < majorityOf(entryHosts.length)) {
			return -Infinity;
		}
		const ends = entryHosts.map(name => promises.get(name) ?? -Infinity).sort((left, right) => right - left);
		return ends[majorityOf(entryHosts.length) - 1] ?? -Infinity;
	};

	const abandonRound = (lost: ElectionRound): void => {
		round = undefined;
		for (const to of lost.requestedVoters) {
			releases.push({
				to,
				method: 'lease.release',
				release: { ...identity, cell, term: lost.term, unused: !lost.won },
			});
		}
	};

	const observeHolder = (name: string, now: MonotonicTime): void => {
		holder = name;
		nextRoundAt = now + PROMISE_DURATION_MS + randomDelay();
	};

	/** Recomputes the end of the lease and abandons a round that has expired or can no longer reach a majority. */
	const updateRound = (now: MonotonicTime): void => {
		if (round === undefined) {
			return;
		}
		round.leaseUntil = leaseEndOf(round);
		if (round.leaseUntil > now) {
			round.won = true;
			holder = identity.entryHost;
			return;
		}
		if (round.won) {
			// Another daemon may have led in the meantime, so the next candidature needs a new term.
			abandonRound(round);
			holder = undefined;
			nextRoundAt = now + randomDelay();
			return;
		}
		const majority = majorityOf(entryHosts.length);
		const refusals = entryHosts.filter(name => round?.denials.has(name));
		if (refusals.length > entryHosts.length - majority || now >= round.startedAt + ROUND_TIMEOUT_MS) {
			const named = refusals.map(name => round?.denials.get(name));
			const leader = named.find(name => name !== undefined && named.filter(other => other === name).length >= majority);
			abandonRound(round);
			nextRoundAt = now + randomDelay();
			if (leader !== undefined && leader !== identity.entryHost) {
				observeHolder(leader, now);
			}
		}
	};

	const requestPromises = (asking: ElectionRound, names: readonly string[], context: HolderContext): LeaseCall[] => {
		const request: LeaseRequest = {
			...identity,
			cell,
			term: asking.term,
			entrySetOffset: context.entrySetOffset,
			view: context.view,
		};
		names.forEach(name => asking.requestedVoters.add(name));
		return names.map(to => ({ to, method: 'lease.request', request }));
	};

	const startRound = (now: MonotonicTime): ElectionRound => {
		highestTerm += 1 + random.nextInteger(MAX_TERM_STEP);
		return {
			term: highestTerm,
			startedAt: now,
			promises: new Map(),
			denials: new Map(),
			requestedVoters: new Set(),
			sentAt: now,
			won: false,
			leaseUntil: -Infinity,
		};
	};

	const nextRequests = (now: MonotonicTime, context: HolderContext): LeaseCall[] => {
		if (round !== undefined) {
			if (round.won && now >= round.sentAt + RENEWAL_INTERVAL_MS) {
				round.sentAt = now;
				return requestPromises(round, entryHosts, context);
			}
			const self = identity.entryHost;
			// The local voter is requested last, because a candidature that fails would raise its term above the leader's.
			const ready = !round.requestedVoters.has(self) && round.promises.size >= majorityOf(entryHosts.length) - 1;
			return ready && entryHosts.includes(self) ? requestPromises(round, [self], context) : [];
		}
		nextRoundAt ??= now + PROMISE_DURATION_MS + randomDelay();
		if (now < nextRoundAt || !entryHosts.includes(identity.entryHost)) {
			return [];
		}
		round = startRound(now);
		const others = entryHosts.filter(name => name !== identity.entryHost);
		return requestPromises(round, others.length === 0 ? entryHosts : others, context);
	};

	return {
		tick: (now, context) => {
			entryHosts = context.entryHosts;
			updateRound(now);
			const calls = stopped ? [] : nextRequests(now, context);
			return [...releases.splice(0), ...calls];
		},
		receive: (response, sentAt, now) => {
			highestTerm = Math.max(highestTerm, response.highestTerm);
			updateRound(now);
			if (round === undefined || response.cell !== cell || response.term !== round.term) {
				return;
			}
			if (response.promised) {
				// Measured from the send time, which precedes the voter's response, and reduced by the clock drift margin.
				const until = sentAt + PROMISE_DURATION_MS * (1 - CLOCK_DRIFT_MARGIN);
				round.promises.set(response.voter, Math.max(until, round.promises.get(response.voter) ?? until));
				round.denials.delete(response.voter);
			} else {
				round.denials.set(response.voter, response.holder);
			}
			updateRound(now);
		},
		observeRenewal: (entryHost, term, now) => {
			highestTerm = Math.max(highestTerm, term);
			if (entryHost !== identity.entryHost) {
				observeHolder(entryHost, now);
			}
		},
		observeRelease: now => {
			holder = round?.won === true ? holder : undefined;
			nextRoundAt = now + randomDelay();
		},
		lease: now =>
			round !== undefined && round.leaseUntil > now ? { term: round.term, until: round.leaseUntil } : undefined,
		observedHolder: () => holder,
		release: () => {
			stopped = true;
			if (round !== undefined) {
				holder = undefined;
				abandonRound(round);
			}
			return releases.splice(0);
		},
		observeTerm: term => {
			highestTerm = Math.max(highestTerm, term);
			if (round !== undefined && round.term < term) {
				abandonRound(round);
				holder = undefined;
				nextRoundAt = -Infinity;
			}
		},
	};
}
