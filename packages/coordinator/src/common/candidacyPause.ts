/**
 * Outcome of a term. `not-begun`: it ended before the journal was taken over. `stand-aside`: the store rejects this daemon,
 * so that another one should lead. `failed`: an unexpected error has left the state of the engine in doubt.
 */
export type TermOutcome = 'deposed' | 'resigned' | 'stand-aside' | 'not-begun' | 'failed';

/** Pause of a daemon whose term ended because the store rejects it, so that a daemon that is served leads. */
const STAND_ASIDE_PAUSE_MS = 3_000;

/** Pause after the first term that did not begin or failed; it doubles with each further one. */
const FIRST_PAUSE_MS = 250;
const MAXIMUM_PAUSE_MS = 2_000;

/**
 * Returns the time for which a daemon does not stand again after its term has ended, in milliseconds.
 * @param failedTerms number of consecutive terms of this daemon that did not begin or failed, including the one that has ended
 */
export function candidacyPause(outcome: TermOutcome, failedTerms: number): number {
	const growingPause = (): number => Math.min(MAXIMUM_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.max(0, failedTerms - 1));
	const pauses: Readonly<Record<TermOutcome, () => number>> = {
		deposed: () => 0,
		resigned: () => 0,
		'stand-aside': () => STAND_ASIDE_PAUSE_MS,
		'not-begun': growingPause,
		failed: growingPause,
	};
	return pauses[outcome]();
}
