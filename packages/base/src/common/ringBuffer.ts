/** A list of fixed size that drops its oldest item when it is full. */
export interface RingBuffer<Item> {
	/** Adds an item and drops the oldest one when the ring is full. */
	push(item: Item): void;
	/** The items from oldest to newest. */
	items(): readonly Item[];
	/** How many items were dropped so far. */
	readonly dropped: number;
}

/** Creates an empty ring. @param capacity the largest number of items kept */
export function createRingBuffer<Item>(capacity: number): RingBuffer<Item> {
	const slots: Item[] = [];
	let oldest = 0;
	let dropped = 0;
	return {
		push: item => {
			if (slots.length < capacity) {
				slots.push(item);
				return;
			}
			slots[oldest] = item;
			oldest = (oldest + 1) % capacity;
			dropped++;
		},
		items: () => [...slots.slice(oldest), ...slots.slice(0, oldest)],
		get dropped() {
			return dropped;
		},
	};
}
