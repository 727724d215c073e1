import type { MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import {
	CANDIDATE_DELAY_MS,
	CLOCK_RATE_MARGIN,
	PROMISE_MS,
	RENEW_EVERY_MS,
	type DaemonIdentity,
	type LeaseRelease,
	type LeaseRequest,
	type LeaseResponse,
	type ViewReport,
} from './leaseMessages.js';
import { majorityOf } from './majority.js';

/** A message to the voter of one entry host; the own entry host is among them. */
export type LeaseCall =
	| { readonly to: string; readonly method: 'lease.request'; readonly request: LeaseRequest }
	| { readonly to: string; readonly method: 'lease.release'; readonly release: LeaseRelease };

/** What the holder's daemon knows at a tick. */
export interface HolderContext {
	/** Names of the entry hosts in the accepted configuration. */
	readonly entryHosts: readonly string[];
	readonly entrySetOffset: number;
	readonly view: ViewReport;
}

/** A lease as its holder sees it. */
export interface HeldLease {
	readonly term: number;
	/** The holder leads before this time on its own clock and not at it. */
	readonly until: MonotonicTime;
}

/** Options of {@link createLeaseHolder}. */
export interface LeaseHolderOptions {
	readonly identity: DaemonIdentity;
	readonly cell: string;
	readonly random: SeededRandom;
}

/** Seeks, renews and gives up the leader lease of one cell. */
export interface LeaseHolder {
	/**
	 * Returns the calls to send now. `now` must be read before any of them is sent. The daemon ticks at least every
	 * 50 ms and after each response.
	 */
	tick(now: MonotonicTime, context: HolderContext): readonly LeaseCall[];
	/** @param sentAt the `now` of the tick that returned the request */
	receive(response: LeaseResponse, sentAt: MonotonicTime, now: MonotonicTime): void;
	/** The own voter has promised another daemon, or refused one as `starting`; puts the own candidature off. */
	observeRenewal(entryHost: string, term: number, now: MonotonicTime): void;
	/** The own voter's promise to another daemon was released. */
	voterReleased(now: MonotonicTime): void;
	/** The lease, while it is held. */
	lease(now: MonotonicTime): HeldLease | undefined;
	/** Entry host that was last seen to lead the cell. */
	observedHolder(): string | undefined;
	/** Gives the lease or the candidature up and seeks it no more. */
	release(): readonly LeaseCall[];
	/** A term seen at a worker or in the work stream; a lease under a lower term is given up for a higher one. */
	observeTerm(term: number): void;
}

/** A round that has no majority after this time is lost. */
const ROUND_MS = RENEW_EVERY_MS;

/**
 * Terms grow by a random step of at most this, so that two leaders are unlikely to get the same term after a majority
 * of the voters has lost its memory.
 */
const TERM_STEP = 1_000;

interface Round {
	readonly term: number;
	readonly startedAt: MonotonicTime;
	/** Voter to the end of its promise, on the holder's clock. */
	readonly promises: Map<string, MonotonicTime>;
	/** Voter to the holder that it named when it refused. */
	readonly denials: Map<string, string | undefined>;
	/** Every voter that was asked and may have promised. */
	readonly asked: Set<string>;
	sentAt: MonotonicTime;
	won: boolean;
	/** End of the lease by the promises and the entry hosts known. */
	until: MonotonicTime;
}

/** Creates the holder of one daemon for one cell. */
export function createLeaseHolder({ identity, cell, random }: LeaseHolderOptions): LeaseHolder {
	let entryHosts: readonly string[] = [];
	let highestTerm = 0;
	let round: Round | undefined;
	let askAt: MonotonicTime | undefined;
	let holder: string | undefined;
	let stopped = false;
	const releases: LeaseCall[] = [];

	const randomDelay = (): number => random.next() * CANDIDATE_DELAY_MS;

	/** End of the lease: the majority that lasts longest ends with its earliest promise. */
	const untilOf = ({ promises }: Round): MonotonicTime => {
		if (promises.size < majorityOf(entryHosts.length)) {
			return -Infinity;
		}
		const ends = entryHosts.map(name => promises.get(name) ?? -Infinity).sort((left, right) => right - left);
		return ends[majorityOf(entryHosts.length) - 1] ?? -Infinity;
	};

	const giveUp = (lost: Round): void => {
		round = undefined;
		for (const to of lost.asked) {
			releases.push({
				to,
				method: 'lease.release',
				release: { ...identity, cell, term: lost.term, unused: !lost.won },
			});
		}
	};

	const sawHolder = (name: string, now: MonotonicTime): void => {
		holder = name;
		askAt = now + PROMISE_MS + randomDelay();
	};

	/** Ends a round that has run out, or that can no longer be won. */
	const settle = (now: MonotonicTime): void => {
		if (round === undefined) {
			return;
		}
		round.until = untilOf(round);
		if (round.until > now) {
			round.won = true;
			holder = identity.entryHost;
			return;
		}
		if (round.won) {
			// Another daemon may have led since, so that the lease is sought again under a new term.
			giveUp(round);
			holder = undefined;
			askAt = now + randomDelay();
			return;
		}
		const majority = majorityOf(entryHosts.length);
		const refusals = entryHosts.filter(name => round?.denials.has(name));
		if (refusals.length > entryHosts.length - majority || now >= round.startedAt + ROUND_MS) {
			const named = refusals.map(name => round?.denials.get(name));
			const leader = named.find(name => name !== undefined && named.filter(other => other === name).length >= majority);
			giveUp(round);
			askAt = now + randomDelay();
			if (leader !== undefined && leader !== identity.entryHost) {
				sawHolder(leader, now);
			}
		}
	};

	const ask = (asking: Round, names: readonly string[], context: HolderContext): LeaseCall[] => {
		const request: LeaseRequest = {
			...identity,
			cell,
			term: asking.term,
			entrySetOffset: context.entrySetOffset,
			view: context.view,
		};
		names.forEach(name => asking.asked.add(name));
		return names.map(to => ({ to, method: 'lease.request', request }));
	};

	const startRound = (now: MonotonicTime): Round => {
		highestTerm += 1 + random.nextInteger(TERM_STEP);
		return {
			term: highestTerm,
			startedAt: now,
			promises: new Map(),
			denials: new Map(),
			asked: new Set(),
			sentAt: now,
			won: false,
			until: -Infinity,
		};
	};

	const requests = (now: MonotonicTime, context: HolderContext): LeaseCall[] => {
		if (round !== undefined) {
			if (round.won && now >= round.sentAt + RENEW_EVERY_MS) {
				round.sentAt = now;
				return ask(round, entryHosts, context);
			}
			const self = identity.entryHost;
			// The own voter is asked last: a candidate without a chance would raise the voter's term above the leader's.
			const ready = !round.asked.has(self) && round.promises.size >= majorityOf(entryHosts.length) - 1;
			return ready && entryHosts.includes(self) ? ask(round, [self], context) : [];
		}
		askAt ??= now + PROMISE_MS + randomDelay();
		if (now < askAt || !entryHosts.includes(identity.entryHost)) {
			return [];
		}
		round = startRound(now);
		const others = entryHosts.filter(name => name !== identity.entryHost);
		return ask(round, others.length === 0 ? entryHosts : others, context);
	};

	return {
		tick: (now, context) => {
			entryHosts = context.entryHosts;
			settle(now);
			const calls = stopped ? [] : requests(now, context);
			return [...releases.splice(0), ...calls];
		},
		receive: (response, sentAt, now) => {
			highestTerm = Math.max(highestTerm, response.highestTerm);
			settle(now);
			if (round === undefined || response.cell !== cell || response.term !== round.term) {
				return;
			}
			if (response.promised) {
				// Counted from the sending, which is before the voter's answer, and shorter by the clock margin.
				const until = sentAt + PROMISE_MS * (1 - CLOCK_RATE_MARGIN);
				round.promises.set(response.voter, Math.max(until, round.promises.get(response.voter) ?? until));
				round.denials.delete(response.voter);
			} else {
				round.denials.set(response.voter, response.holder);
			}
			settle(now);
		},
		observeRenewal: (entryHost, term, now) => {
			highestTerm = Math.max(highestTerm, term);
			if (entryHost !== identity.entryHost) {
				sawHolder(entryHost, now);
			}
		},
		voterReleased: now => {
			holder = round?.won === true ? holder : undefined;
			askAt = now + randomDelay();
		},
		lease: now => (round !== undefined && round.until > now ? { term: round.term, until: round.until } : undefined),
		observedHolder: () => holder,
		release: () => {
			stopped = true;
			if (round !== undefined) {
				holder = undefined;
				giveUp(round);
			}
			return releases.splice(0);
		},
		observeTerm: term => {
			highestTerm = Math.max(highestTerm, term);
			if (round !== undefined && round.term < term) {
				giveUp(round);
				holder = undefined;
				askAt = -Infinity;
			}
		},
	};
}
