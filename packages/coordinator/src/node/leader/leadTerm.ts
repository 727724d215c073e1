import { setMaxListeners } from 'node:events';
import { kindError } from '@chestnutwheel/base/common/kindError.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { TermOutcome } from '../../common/candidacyPause.js';
import type { LeaderIdentity } from '../../common/peerProtocol.js';
import { createTermProof, type TermProof } from '../../common/termProof.js';
import type { BlockedListener } from '../journal/readJournal.js';
import type { Predecessor } from '../leadership/leaderElection.js';
import { maintainTerm, type MaintainedTerm, type MaintainTermOptions } from './maintainTerm.js';

/** Options of {@link createTermLeader}. */
export interface TermLeaderOptions<Term extends MaintainedTerm> extends Omit<
	MaintainTermOptions,
	'identity' | 'predecessor' | 'proof' | 'begun' | 'blockedSince' | 'failure'
> {
	/** Takes over the journal and starts the engine. Repeats calls that the store does not serve. */
	readonly begin: (
		identity: LeaderIdentity,
		proof: TermProof,
		onBlocked: BlockedListener,
		signal: AbortSignal,
	) => Promise<Term>;
}

/** Leads the terms that this daemon obtains, one at a time. */
export interface TermLeader<Term extends MaintainedTerm> {
	/** Leads until the signal is aborted or the term ends. The leader topic ends at the term when it is called. */
	lead(identity: LeaderIdentity, predecessor: Predecessor, signal: AbortSignal): Promise<TermOutcome>;
	/**
	 * Resolves with the current term once its engine runs; with `undefined` if this daemon does not lead, or the journal is not
	 * taken over within the given time.
	 */
	whenBegun(withinMs: number): Promise<Term | undefined>;
	/** Gives up the current term, if there is one, because of an unexpected error. */
	fail(error: unknown): void;
	/** Returns the time since which the store does not serve the takeover of the journal, if it does not. */
	blockedSince(): number | undefined;
}

/** Creates the term leader of a daemon. */
export function createTermLeader<Term extends MaintainedTerm>(options: TermLeaderOptions<Term>): TermLeader<Term> {
	const { clock, logDecision } = options;
	let term: Term | undefined;
	let blockedSince: number | undefined;
	let takeover: Promise<unknown> | undefined;
	let failure = new AbortController();

	return {
		blockedSince: () => blockedSince,
		whenBegun: async withinMs => {
			if (term === undefined && takeover !== undefined && blockedSince === undefined) {
				const waiting = new AbortController();
				await Promise.race([takeover, delay(withinMs, waiting.signal)]);
				waiting.abort();
			}
			return term;
		},
		fail: error => failure.abort(error),
		lead: async (identity, predecessor, signal) => {
			const controller = new AbortController();
			const termSignal = AbortSignal.any([signal, controller.signal]);
			setMaxListeners(0, termSignal);
			failure = new AbortController();
			const proof = createTermProof(clock);
			const onBlocked: BlockedListener = isBlocked => {
				if (termSignal.aborted) {
					return;
				}
				if (isBlocked && blockedSince === undefined) {
					logDecision('term-blocked', { term: identity.term });
				}
				blockedSince = isBlocked ? (blockedSince ?? clock.now()) : undefined;
			};
			const begin = async (): Promise<Term> => {
				const begun = await options.begin(identity, proof, onBlocked, termSignal);
				if (termSignal.aborted) {
					throw kindError('not-ready', `term ${identity.term} ended while the journal was taken over`);
				}
				term = begun;
				return begun;
			};
			const begun = begin();
			takeover = begun.catch(() => undefined);
			try {
				return await maintainTerm(
					{
						...options,
						identity,
						predecessor,
						proof,
						begun,
						blockedSince: () => blockedSince,
						failure: failure.signal,
					},
					termSignal,
				);
			} finally {
				controller.abort();
				term = undefined;
				takeover = undefined;
				blockedSince = undefined;
			}
		},
	};
}
