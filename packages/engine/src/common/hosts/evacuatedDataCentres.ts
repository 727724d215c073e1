/** The data centres that the operator has asked to evacuate. No task starts there as long as the request stands. */
export interface EvacuatedDataCentres {
	/** Whether a data centre is evacuated; one that is not known is not. */
	has(dataCentre: string | undefined): boolean;
	/** Returns the data centres and the times from which this leader has known of their evacuations. */
	all(): IterableIterator<readonly [dataCentre: string, since: number]>;
	/** Replaces the evacuations by those that stand now. @returns what has changed */
	replace(dataCentres: readonly string[], now: number): EvacuationChanges;
	readonly size: number;
}

/** The evacuations that have begun, and those that were taken back. */
export interface EvacuationChanges {
	readonly begun: readonly string[];
	readonly takenBack: readonly { readonly dataCentre: string; readonly since: number }[];
}

/** Creates a table in which no evacuation stands. */
export function createEvacuatedDataCentres(): EvacuatedDataCentres {
	const knownSince = new Map<string, number>();
	return {
		has: dataCentre => dataCentre !== undefined && knownSince.has(dataCentre),
		all: () => knownSince.entries(),
		replace: (dataCentres, now) => {
			const standing = new Set(dataCentres);
			const begun = [...standing].filter(dataCentre => !knownSince.has(dataCentre));
			const takenBack = [...knownSince]
				.filter(([dataCentre]) => !standing.has(dataCentre))
				.map(([dataCentre, since]) => ({ dataCentre, since }));
			takenBack.forEach(({ dataCentre }) => knownSince.delete(dataCentre));
			begun.forEach(dataCentre => knownSince.set(dataCentre, now));
			return { begun, takenBack };
		},
		get size() {
			return knownSince.size;
		},
	};
}
