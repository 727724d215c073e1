import type { MonotonicTime } from '@chestnutwheel/base/common/clock.js';
import {
	CLOCK_DRIFT_MARGIN,
	PROMISE_DURATION_MS,
	type DaemonIdentity,
	type LeaseDenial,
	type LeaseRelease,
	type LeaseRequest,
	type LeaseResponse,
	type ViewReport,
} from './leaseMessages.js';

/** State of the voter's daemon when it answers a request. */
export interface VoterContext {
	readonly now: MonotonicTime;
	/** Offset of the entry set that this daemon has applied. */
	readonly entrySetOffset: number;
	readonly view: ViewReport;
}

/** Options of {@link createLeaseVoter}. */
export interface LeaseVoterOptions {
	readonly identity: DaemonIdentity;
	/** Start of the process. Promises of its previous incarnation may still be valid at this time. */
	readonly startedAt: MonotonicTime;
}

/**
 * Answers the lease requests of all daemons, including its own, and keeps one promise per cell, in memory only.
 * The daemon must not call it before it has caught up with the control stream.
 */
export interface LeaseVoter {
	/** Makes, renews or refuses a promise. */
	answer(request: LeaseRequest, context: VoterContext): LeaseResponse;
	/** Drops the promise named in the release. @returns whether a promise was dropped that was still valid */
	release(release: LeaseRelease, now: MonotonicTime): boolean;
	/**
	 * Returns whether `entry-acknowledged` may be appended for an entry set. The daemon calls it as soon as it has
	 * applied the set and repeats the call until it returns true. No promise made under an older set may outlast the
	 * acknowledgement, because the control state then accepts a set whose majorities need not share a voter with those
	 * of the older set.
	 */
	mayAcknowledge(entrySetOffset: number, now: MonotonicTime): boolean;
}

interface VoterPromise {
	readonly holder: DaemonIdentity;
	readonly term: number;
	readonly expiresAt: MonotonicTime;
}

interface CellVote {
	highestTerm: number;
	/** The last promise, which can be renewed under the same term after it has expired. */
	promise: VoterPromise | undefined;
	/** State before the first promise under the current term, restored when that term is released unused. */
	previous: { readonly highestTerm: number; readonly promise: VoterPromise | undefined };
}

/** Creates the voter of one daemon process. */
export function createLeaseVoter({ identity, startedAt }: LeaseVoterOptions): LeaseVoter {
	const votes = new Map<string, CellVote>();
	const predecessorExpiresAt = startedAt + PROMISE_DURATION_MS * (1 + CLOCK_DRIFT_MARGIN);
	let entrySet: { offset: number; since: MonotonicTime } | undefined;

	const voteOf = (cell: string): CellVote => {
		const known = votes.get(cell);
		if (known !== undefined) {
			return known;
		}
		const created: CellVote = {
			highestTerm: 0,
			promise: undefined,
			previous: { highestTerm: 0, promise: undefined },
		};
		votes.set(cell, created);
		return created;
	};

	const observeEntrySet = (offset: number, now: MonotonicTime): { offset: number; since: MonotonicTime } => {
		if (entrySet === undefined || offset > entrySet.offset) {
			entrySet = { offset, since: now };
		}
		return entrySet;
	};

	const denialOf = (request: LeaseRequest, vote: CellVote, context: VoterContext): LeaseDenial | undefined => {
		if (context.now < predecessorExpiresAt) {
			return 'starting';
		}
		// The first comparison refuses a superseded entry set, even if the caller passes one by mistake.
		if (
			observeEntrySet(context.entrySetOffset, context.now).offset !== context.entrySetOffset ||
			request.entrySetOffset !== context.entrySetOffset
		) {
			return 'other-entry-set';
		}
		const { promise } = vote;
		if (promise !== undefined && isSameDaemon(promise.holder, request)) {
			return request.term < vote.highestTerm ? 'term-too-low' : undefined;
		}
		if (promise !== undefined && context.now < promise.expiresAt) {
			return 'promised-to-other';
		}
		return request.term <= vote.highestTerm ? 'term-too-low' : undefined;
	};

	return {
		answer: (request, context) => {
			const vote = voteOf(request.cell);
			const denial = denialOf(request, vote, context);
			if (denial === undefined) {
				if (vote.promise?.term !== request.term) {
					vote.previous = { highestTerm: vote.highestTerm, promise: vote.promise };
				}
				vote.highestTerm = request.term;
				vote.promise = {
					holder: { entryHost: request.entryHost, incarnation: request.incarnation },
					term: request.term,
					expiresAt: context.now + PROMISE_DURATION_MS,
				};
			}
			const { promise } = vote;
			return {
				cell: request.cell,
				voter: identity.entryHost,
				term: request.term,
				promised: denial === undefined,
				denial,
				highestTerm: vote.highestTerm,
				holder: promise !== undefined && context.now < promise.expiresAt ? promise.holder.entryHost : undefined,
				view: context.view,
			};
		},
		release: (release, now) => {
			const vote = votes.get(release.cell);
			const promise = vote?.promise;
			// A delayed release of an earlier term must not drop the promise of a later one.
			if (promise?.term !== release.term || !isSameDaemon(promise.holder, release) || vote === undefined) {
				return false;
			}
			vote.promise = undefined;
			if (release.unused) {
				// Without the rollback, a candidate partitioned off together with this voter would leave a term that prevents
				// the leader from renewing here.
				vote.highestTerm = vote.previous.highestTerm;
				vote.promise =
					vote.previous.promise === undefined ? undefined : { ...vote.previous.promise, expiresAt: -Infinity };
			}
			return now < promise.expiresAt;
		},
		mayAcknowledge: (entrySetOffset, now) => {
			const { offset, since } = observeEntrySet(entrySetOffset, now);
			return (
				offset === entrySetOffset &&
				now >= Math.max(since + PROMISE_DURATION_MS * (1 + CLOCK_DRIFT_MARGIN), predecessorExpiresAt)
			);
		},
	};
}

function isSameDaemon(left: DaemonIdentity, right: DaemonIdentity): boolean {
	return left.entryHost === right.entryHost && left.incarnation === right.incarnation;
}
