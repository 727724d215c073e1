/** An immutable list of the last items, to which an item can be added without copying the list. */
export interface RecentList<Item> {
	readonly length: number;
	/** The item at a position, 0 for the oldest. */
	at(index: number): Item | undefined;
	/** A new list with one more item, and the oldest item that it drops when this one is full. */
	add(item: Item): { readonly list: RecentList<Item>; readonly dropped: Item | undefined };
	/** The items, oldest first. The array is built on the first call and shared afterwards. */
	toArray(): readonly Item[];
}

/** Creates a list. @param capacity the largest number of items kept */
export function createRecentList<Item>(capacity: number, items: readonly Item[] = []): RecentList<Item> {
	const kept = items.slice(-capacity);
	return windowOf(kept, 0, kept.length, capacity);
}

/**
 * A list is a window on a buffer that its successors share. Only the list that ends where the buffer ends may extend
 * it; any other copies its window first, so no list ever sees an item that was added to another.
 */
function windowOf<Item>(buffer: Item[], start: number, end: number, capacity: number): RecentList<Item> {
	let array: readonly Item[] | undefined;
	const length = end - start;
	const list: RecentList<Item> = {
		length,
		at: index => (index < 0 || index >= length ? undefined : buffer[start + index]),
		add: item => {
			const isFull = length >= capacity;
			const dropped = isFull ? buffer[start] : undefined;
			const firstKept = isFull ? start + 1 : start;
			// A buffer with more dropped than kept items is copied, which costs one copy per `capacity` items.
			if (buffer.length !== end || firstKept > capacity) {
				const copy = buffer.slice(firstKept, end);
				copy.push(item);
				return { list: windowOf(copy, 0, copy.length, capacity), dropped };
			}
			buffer.push(item);
			return { list: windowOf(buffer, firstKept, end + 1, capacity), dropped };
		},
		toArray: () => (array ??= buffer.slice(start, end)),
	};
	return list;
}
