import type { EvacuationRequest } from '@chestnutwheel/ports/common/fleetPlan.js';

/** A request with the offset at which the operator wrote it. Of two requests for a data centre, the later one holds. */
export interface EvacuationRecord extends EvacuationRequest {
	readonly offset: number;
}

/** The operator's requests to evacuate data centres, merged from the store and from peers. */
export interface EvacuationRequests {
	/** Applies records that the store holds. @returns whether the evacuations that stand have changed */
	apply(records: readonly EvacuationRecord[]): boolean;
	/**
	 * Applies records that a peer holds, which may be cut off from the store: one from before the last full read that the read
	 * did not show was taken back. @returns whether the evacuations that stand have changed
	 */
	applyFromPeer(records: readonly EvacuationRecord[]): boolean;
	/**
	 * Applies a full read of the store: evacuations of which it holds no record were taken back before its end.
	 * @param present data centres of which the store holds a record
	 * @returns whether the evacuations that stand have changed
	 */
	applySnapshot(end: number, present: ReadonlySet<string>): boolean;
	/** Returns the data centres whose evacuation stands. */
	standing(): readonly string[];
	records(): readonly EvacuationRecord[];
	/** Highest offset of all records that were applied; -1 if there is none. */
	readonly newestOffset: number;
}

/** Largest number of data centres of which a request is kept. */
const MAXIMUM_RECORDS = 1_000;

/**
 * Creates requests of which none is known.
 * @param onTurnedAway called for each record that is not kept, because too many evacuations stand
 */
export function createEvacuationRequests(onTurnedAway: () => void): EvacuationRequests {
	const records = new Map<string, EvacuationRecord>();
	let newestOffset = -1;
	/** End of the newest full read. */
	let readEnd = 0;

	const makeRoom = (): boolean => {
		if (records.size < MAXIMUM_RECORDS) {
			return true;
		}
		const withdrawn = [...records.values()].find(({ isRequested }) => !isRequested);
		return withdrawn !== undefined && records.delete(withdrawn.dataCentre);
	};

	const applyOne = (record: EvacuationRecord): boolean => {
		const known = records.get(record.dataCentre);
		newestOffset = Math.max(newestOffset, record.offset);
		if (known !== undefined && record.offset <= known.offset) {
			return false;
		}
		if (known === undefined && !makeRoom()) {
			onTurnedAway();
			return false;
		}
		records.set(record.dataCentre, record);
		return record.isRequested !== (known?.isRequested ?? false);
	};

	const apply = (added: readonly EvacuationRecord[]): boolean => added.filter(applyOne).length > 0;

	const isTakenBack = ({ dataCentre, offset }: EvacuationRecord): boolean =>
		offset < readEnd && !records.has(dataCentre);

	return {
		apply,
		applyFromPeer: added => {
			newestOffset = added.reduce((newest, { offset }) => Math.max(newest, offset), newestOffset);
			return apply(added.filter(record => !isTakenBack(record)));
		},
		applySnapshot: (end, present) => {
			readEnd = Math.max(readEnd, end);
			const withdrawn = [...records.values()].filter(
				({ dataCentre, isRequested, offset }) => isRequested && offset < end && !present.has(dataCentre),
			);
			// The deletion lies before the end, at an offset that is not known any more.
			for (const { dataCentre, offset } of withdrawn) {
				records.set(dataCentre, { dataCentre, isRequested: false, offset: Math.max(offset, end - 1) });
				newestOffset = Math.max(newestOffset, end - 1);
			}
			return withdrawn.length > 0;
		},
		standing: () => [...records.values()].filter(({ isRequested }) => isRequested).map(({ dataCentre }) => dataCentre),
		records: () => [...records.values()],
		get newestOffset() {
			return newestOffset;
		},
	};
}
