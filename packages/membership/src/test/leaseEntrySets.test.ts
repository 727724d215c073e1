import { describe, it } from 'vitest';
import { expectLeaderAfterFaults, expectOneHolder, seeds, entrySetChanges } from './leaseArbitraries.js';

describe('lease cluster under changes of the entry set', () => {
	it.each(seeds)('never has two holders of a cell at the same real time (seed %i)', seed => {
		expectOneHolder(entrySetChanges, seed);
	});

	it('has one leader again after the faults end', () => {
		expectLeaderAfterFaults(entrySetChanges);
	});
});
