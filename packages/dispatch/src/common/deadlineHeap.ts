/** A priority queue of items by time. Items are removed lazily: `isDead` tells which no longer count. */
export interface DeadlineHeap<Item> {
	push(at: number, item: Item): void;
	/** The earliest time of a live item. */
	earliestAt(): number | undefined;
	/** Removes and returns the live items whose time is at or before `now`, earliest first. */
	takeUntil(now: number): readonly Item[];
	/** Tells the heap that one of its items died, so that it drops dead items before they outnumber the live ones. */
	noteDead(): void;
}

/** Heaps below this size are not compacted. */
const SMALLEST_COMPACTED = 64;

/** Creates an empty heap. */
export function createDeadlineHeap<Item>(isDead: (item: Item) => boolean): DeadlineHeap<Item> {
	let nodes: { readonly at: number; readonly item: Item }[] = [];
	let dead = 0;

	const atOf = (index: number): number => nodes[index]?.at ?? Infinity;
	const swap = (left: number, right: number): void => {
		const first = nodes[left];
		const second = nodes[right];
		if (first !== undefined && second !== undefined) {
			nodes[left] = second;
			nodes[right] = first;
		}
	};
	const sinkFrom = (start: number): void => {
		let index = start;
		for (;;) {
			const left = 2 * index + 1;
			const smallest = atOf(left + 1) < atOf(left) ? left + 1 : left;
			if (atOf(smallest) >= atOf(index)) {
				return;
			}
			swap(index, smallest);
			index = smallest;
		}
	};
	const takeFirst = (): Item | undefined => {
		const first = nodes[0];
		const last = nodes.pop();
		if (nodes.length > 0 && last !== undefined) {
			nodes[0] = last;
			sinkFrom(0);
		}
		return first?.item;
	};
	const dropDeadHead = (): void => {
		for (let head = nodes[0]; head !== undefined && isDead(head.item); head = nodes[0]) {
			takeFirst();
			dead = Math.max(0, dead - 1);
		}
	};

	return {
		push: (at, item) => {
			nodes.push({ at, item });
			let index = nodes.length - 1;
			while (index > 0) {
				const parent = (index - 1) >> 1;
				if (atOf(parent) <= atOf(index)) {
					break;
				}
				swap(index, parent);
				index = parent;
			}
		},
		earliestAt: () => {
			dropDeadHead();
			return nodes[0]?.at;
		},
		takeUntil: now => {
			const taken: Item[] = [];
			dropDeadHead();
			while (atOf(0) <= now) {
				const item = takeFirst();
				if (item !== undefined) {
					taken.push(item);
				}
				dropDeadHead();
			}
			return taken;
		},
		noteDead: () => {
			dead++;
			if (nodes.length >= SMALLEST_COMPACTED && dead * 2 > nodes.length) {
				nodes = nodes.filter(node => !isDead(node.item)).sort((left, right) => left.at - right.at);
				dead = 0;
			}
		},
	};
}
