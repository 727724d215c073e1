import { fitsInto, type Resources } from '@chestnutwheel/ports/common/resources.js';

/**
 * Set of demands that cannot be met at present, reduced to its smallest elements. During an overload most steps of a backlog
 * are at least as large as one that has just failed, so that they need no search of their own.
 */
export interface DemandFrontier {
	/** Whether a demand is at least as large as one that was added. */
	covers(demand: Resources): boolean;
	add(demand: Resources): void;
}

/** Creates an empty set. */
export function createDemandFrontier(): DemandFrontier {
	let smallest: readonly Resources[] = [];
	const covers = (demand: Resources): boolean => smallest.some(known => fitsInto(known, demand));
	return {
		covers,
		add: demand => {
			if (!covers(demand)) {
				smallest = [...smallest.filter(known => !fitsInto(demand, known)), demand];
			}
		},
	};
}
