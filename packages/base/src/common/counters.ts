/** Labels of one series. Values must come from a small set, never request identifiers, to bound the number of series. */
export type CounterLabels = Readonly<Record<string, string>>;

/** One series with its current value. */
export interface CounterSample {
	readonly name: string;
	readonly labels: CounterLabels;
	readonly value: number;
}

/** Registry of the counters and gauges of one process. */
export interface Counters {
	/** Adds to a counter. */
	add(name: string, labels?: CounterLabels, amount?: number): void;
	/** Sets a gauge. */
	set(name: string, value: number, labels?: CounterLabels): void;
	/** Returns the value of one series; 0 when it was never written. */
	value(name: string, labels?: CounterLabels): number;
	/** Returns all series, sorted by name and labels. */
	samples(): readonly CounterSample[];
}

/** Writes to further series are dropped and counted under `counters_refused_total`. */
const MAXIMUM_SERIES = 5_000;

/** Creates an empty registry. */
export function createCounters(): Counters {
	const series = new Map<string, { name: string; labels: CounterLabels; value: number }>();
	let refused = 0;

	const keyOf = (name: string, labels: CounterLabels): string => {
		const pairs = Object.entries(labels);
		if (pairs.length > 1) {
			pairs.sort(([left], [right]) => left.localeCompare(right));
		}
		return pairs.length === 0 ? name : `${name}{${pairs.map(([key, value]) => `${key}=${value}`).join(',')}}`;
	};

	const find = (name: string, labels: CounterLabels): { value: number } | undefined => {
		const key = keyOf(name, labels);
		const known = series.get(key);
		if (known !== undefined) {
			return known;
		}
		if (series.size >= MAXIMUM_SERIES) {
			refused++;
			return undefined;
		}
		const created = { name, labels, value: 0 };
		series.set(key, created);
		return created;
	};

	return {
		add: (name, labels = {}, amount = 1) => {
			const found = find(name, labels);
			if (found !== undefined) {
				found.value += amount;
			}
		},
		set: (name, value, labels = {}) => {
			const found = find(name, labels);
			if (found !== undefined) {
				found.value = value;
			}
		},
		value: (name, labels = {}) => series.get(keyOf(name, labels))?.value ?? 0,
		samples: () => {
			const sorted = [...series.entries()]
				.sort(([left], [right]) => (left < right ? -1 : 1))
				.map(([, sample]) => sample);
			return refused === 0 ? sorted : [...sorted, { name: 'counters_refused_total', labels: {}, value: refused }];
		},
	};
}
