import type { Counters } from '@chestnutwheel/base/common/counters.js';

/** Length of the longest checkpoint that is kept, in characters. It takes at most 6 KB in a record of the journal. */
export const MAXIMUM_CHECKPOINT_LENGTH = 1_000;

/**
 * Returns a checkpoint as it is kept: one that is too long counts as none, so that the next run starts from the one before it.
 * Load: a worker that lists checkpoints of any length, of which each must fit into a record of the journal.
 */
export function storableCheckpoint(checkpoint: string, counters: Counters): string {
	if (checkpoint.length <= MAXIMUM_CHECKPOINT_LENGTH) {
		return checkpoint;
	}
	counters.add('checkpoints_too_long_total');
	return '';
}
