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

/** What the voter's daemon knows at the moment of an answer. */
export interface VoterContext {
	readonly now: MonotonicTime;
	/** Entry set that this daemon has folded. */
	readonly entrySetOffset: number;
	readonly view: ViewReport;
}

/** Options of {@link createLeaseVoter}. */
export interface LeaseVoterOptions {
	readonly identity: DaemonIdentity;
	/** Start of the process; promises of a predecessor on the same entry host may last a while longer. */
	readonly startedAt: MonotonicTime;
}

/**
 * Answers lease requests of all daemons, its own included. It keeps one promise per cell, in memory only.
 * The daemon must not ask it for answers before it has caught up with the control stream.
 */
export interface LeaseVoter {
	answer(request: LeaseRequest, context: VoterContext): LeaseResponse;
	/** Drops the promise that the release names. @returns whether a promise was dropped */
	release(release: LeaseRelease, now: MonotonicTime): boolean;
	/**
	 * Whether `entry-acknowledged` may be appended for an entry set. Must be called as soon as the set is folded and
	 * then until it returns true: no promise made under an older set may last beyond the acknowledgement, since the
	 * fold then accepts a set whose majorities need not share a voter with those of the older set.
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
	/** The last promise; it may be renewed under the same term after it has run out. */
	promise: VoterPromise | undefined;
	/** What was there before the first promise under the present term. */
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
		// The first comparison refuses a set that this voter has left, even when the caller passes it by mistake.
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
				// Otherwise a leader could not renew at this voter again after a candidate that was cut off together with it.
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
