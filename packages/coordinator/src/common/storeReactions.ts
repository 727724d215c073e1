import type { AppendOutcome } from '@chestnutwheel/ports/common/logService.js';

/** Append on which an election or a term depends. */
export type TermAppend =
	/** A candidate appends its record to the leader topic, on condition that the topic has not grown. */
	| 'obtain-term'
	/** A new leader raises the writer epoch of the journal to its term. */
	| 'fence-journal'
	/** A leader appends a batch to the journal. */
	| 'write-journal'
	/** A leader renews its record in the leader topic, on condition that the topic has not grown. */
	| 'renew-term';

/**
 * Reaction to the outcome of an append. `proceed`: the append took effect. `repeat`: send the same append again after a
 * delay; nothing was stored, or the append is idempotent. `verify`: read the topic to learn who holds the term. `lost`:
 * another daemon holds a later term. `reduce`: send smaller appends, since this one will never be stored.
 */
export type TermReaction = 'proceed' | 'repeat' | 'verify' | 'lost' | 'reduce';

/**
 * Reactions by append and outcome. Only a fence and a failed condition prove that a rival exists. A store that refuses an
 * append for the moment proves nothing about the term, so the daemon keeps the term and repeats the append: a daemon that
 * gave up its term on such a refusal would obtain one term after the other for as long as the refusals last.
 */
export const termReactions: Readonly<Record<TermAppend, Readonly<Record<AppendOutcome['type'], TermReaction>>>> = {
	'obtain-term': {
		appended: 'proceed',
		conflict: 'lost',
		fenced: 'lost',
		'out-of-sequence': 'lost',
		refused: 'repeat',
		rejected: 'repeat',
		unknown: 'verify',
	},
	'fence-journal': {
		appended: 'proceed',
		conflict: 'lost',
		fenced: 'lost',
		'out-of-sequence': 'lost',
		refused: 'repeat',
		rejected: 'repeat',
		unknown: 'repeat',
	},
	'write-journal': {
		appended: 'proceed',
		conflict: 'lost',
		fenced: 'lost',
		'out-of-sequence': 'lost',
		refused: 'repeat',
		rejected: 'reduce',
		unknown: 'repeat',
	},
	'renew-term': {
		appended: 'proceed',
		conflict: 'verify',
		fenced: 'verify',
		'out-of-sequence': 'verify',
		refused: 'repeat',
		rejected: 'repeat',
		unknown: 'verify',
	},
};
