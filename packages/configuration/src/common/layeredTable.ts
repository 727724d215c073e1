/** An immutable table by name, cheap to derive from a large predecessor. */
export interface LayeredTable<Value> {
	readonly size: number;
	get(key: string): Value | undefined;
	has(key: string): boolean;
	/** A new table with these entries set; a value of `undefined` removes the entry. */
	with(changes: ReadonlyMap<string, Value | undefined>): LayeredTable<Value>;
	entries(): IterableIterator<[string, Value]>;
	/** The whole table as a plain record. It is built on the first call and shared afterwards. */
	toRecord(): Readonly<Record<string, Value>>;
}

/**
 * The base is copied once for this many changes. At 20,000 entries the copy of the base and the copies of the change
 * layers then cost about the same.
 */
const MAXIMUM_LAYER = 256;

/** Creates a table from its entries. */
export function createLayeredTable<Value>(entries: Iterable<readonly [string, Value]> = []): LayeredTable<Value> {
	const base = new Map(entries);
	return layered<Value>(base, new Map(), base.size);
}

function layered<Value>(
	base: ReadonlyMap<string, Value>,
	layer: ReadonlyMap<string, Value | undefined>,
	size: number,
): LayeredTable<Value> {
	let record: Readonly<Record<string, Value>> | undefined;
	const get = (key: string): Value | undefined => (layer.has(key) ? layer.get(key) : base.get(key));
	const has = (key: string): boolean => (layer.has(key) ? layer.get(key) !== undefined : base.has(key));

	function* entries(): IterableIterator<[string, Value]> {
		for (const entry of base) {
			if (!layer.has(entry[0])) {
				yield entry;
			}
		}
		for (const [key, value] of layer) {
			if (value !== undefined) {
				yield [key, value];
			}
		}
	}

	return {
		size,
		get,
		has,
		with: changes => {
			if (changes.size === 0) {
				return layered(base, layer, size);
			}
			let nextSize = size;
			for (const [key, value] of changes) {
				nextSize += (value === undefined ? 0 : 1) - (has(key) ? 1 : 0);
			}
			if (layer.size + changes.size <= MAXIMUM_LAYER) {
				const nextLayer = new Map(layer);
				for (const [key, value] of changes) {
					nextLayer.set(key, value);
				}
				return layered(base, nextLayer, nextSize);
			}
			const nextBase = new Map(base);
			for (const [key, value] of [...layer, ...changes]) {
				if (value === undefined) {
					nextBase.delete(key);
				} else {
					nextBase.set(key, value);
				}
			}
			return layered<Value>(nextBase, new Map(), nextSize);
		},
		entries,
		toRecord: () => {
			if (record === undefined) {
				const built: Record<string, Value> = {};
				for (const [key, value] of entries()) {
					built[key] = value;
				}
				record = built;
			}
			return record;
		},
	};
}
