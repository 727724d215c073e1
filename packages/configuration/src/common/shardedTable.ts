/** An immutable table by name, cheap to derive from a large predecessor. */
export interface ShardedTable<Value> {
	readonly size: number;
	get(key: string): Value | undefined;
	has(key: string): boolean;
	/** A new table with these entries set; a value of `undefined` removes the entry. */
	with(changes: ReadonlyMap<string, Value | undefined>): ShardedTable<Value>;
	/** The keys, in no particular order. */
	keys(): IterableIterator<string>;
	/** The whole table as a plain record. It is built on the first call and shared afterwards. */
	toRecord(): Readonly<Record<string, Value>>;
}

/** A change copies the list of shards and one shard, which has about 20 entries in a table of 20,000. */
const SHARD_COUNT = 1_024;

const emptyShards = Array.from({ length: SHARD_COUNT }, () => new Map<string, never>());

/** Creates a table from its entries. */
export function createShardedTable<Value>(entries: Iterable<readonly [string, Value]> = []): ShardedTable<Value> {
	return sharded<Value>(emptyShards, 0).with(new Map(entries));
}

/** FNV-1a over the code units, folded to the number of a shard. */
function shardOf(key: string): number {
	let hash = 0x811c9dc5;
	for (let index = 0; index < key.length; index++) {
		hash = Math.imul(hash ^ key.charCodeAt(index), 0x01000193);
	}
	return (hash ^ (hash >>> 15)) & (SHARD_COUNT - 1);
}

function sharded<Value>(shards: readonly ReadonlyMap<string, Value>[], size: number): ShardedTable<Value> {
	let record: Readonly<Record<string, Value>> | undefined;

	const table: ShardedTable<Value> = {
		size,
		get: key => shards[shardOf(key)]?.get(key),
		has: key => shards[shardOf(key)]?.has(key) ?? false,
		with: changes => {
			if (changes.size === 0) {
				return table;
			}
			const nextShards = [...shards];
			const copies = new Map<number, Map<string, Value>>();
			let nextSize = size;
			for (const [key, value] of changes) {
				const number = shardOf(key);
				const shard = copies.get(number) ?? new Map(shards[number]);
				copies.set(number, shard);
				nextShards[number] = shard;
				nextSize -= shard.size;
				if (value === undefined) {
					shard.delete(key);
				} else {
					shard.set(key, value);
				}
				nextSize += shard.size;
			}
			return sharded(nextShards, nextSize);
		},
		keys: function* () {
			for (const shard of shards) {
				yield* shard.keys();
			}
		},
		toRecord: () => {
			if (record === undefined) {
				const built: Record<string, Value> = {};
				for (const shard of shards) {
					for (const [key, value] of shard) {
						built[key] = value;
					}
				}
				record = built;
			}
			return record;
		},
	};
	return table;
}
