/** A buffer of fixed capacity that overwrites its oldest item when it is full. */
export interface RingBuffer<Item> {
	/** Adds an item; overwrites the oldest one when the buffer is full. */
	push(item: Item): void;
	/** Returns the items from oldest to newest. */
	items(): readonly Item[];
	/** Number of items overwritten so far. */
	readonly dropped: number;
}

/** Creates an empty ring buffer. @param capacity largest number of items */
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
