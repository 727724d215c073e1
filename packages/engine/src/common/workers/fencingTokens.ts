import { LIVES_PER_TERM, workerFence } from '@chestnutwheel/ports/common/workerFence.js';
import type { EngineEffect } from '../engineMessages.js';

/**
 * Fencing tokens of the calls to workers. A worker refuses calls with a lower token than it has seen, but only the body of a
 * list says which of its lives has answered. Each life that is found out gets a higher token, so that once it has answered to
 * it, calls that were meant for a former life cannot reach it any more.
 */
export interface FencingTokens {
	/** Returns the highest token so far, which no worker refuses unless another daemon leads; `undefined` before the term begins. */
	newest(): number | undefined;
	/** Returns a token that is higher than all tokens so far. The term is given up when it has no more. */
	raise(): number | undefined;
}

/** Creates the tokens of a term. */
export function createFencingTokens(
	termOf: () => number | undefined,
	emitNow: (effect: EngineEffect) => void,
): FencingTokens {
	let lives = 0;

	const newest = (): number | undefined => {
		const term = termOf();
		return term === undefined ? undefined : workerFence(term, lives);
	};

	return {
		newest,
		raise: () => {
			if (lives + 1 >= LIVES_PER_TERM) {
				emitNow({ type: 'deposed', reason: 'the term has no more fencing tokens for workers' });
				return undefined;
			}
			lives++;
			return newest();
		},
	};
}
