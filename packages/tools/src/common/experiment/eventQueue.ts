import { createDeadlineHeap } from '@chestnutwheel/dispatch/common/deadlineHeap.js';

/** Actions at points of the stepped clock; actions at the same time run in the order in which they were added. */
export interface EventQueue {
	at(time: number, action: () => void): void;
	/** Runs everything up to and including `until`. */
	run(until: number): void;
	readonly now: number;
}

/** Creates an empty queue that starts at zero. */
export function createEventQueue(): EventQueue {
	const heap = createDeadlineHeap<readonly (() => void)[]>(() => false);
	const byTime = new Map<number, (() => void)[]>();
	let now = 0;
	return {
		at: (time, action) => {
			const due = Math.max(time, now);
			const known = byTime.get(due);
			if (known !== undefined) {
				known.push(action);
				return;
			}
			const actions = [action];
			byTime.set(due, actions);
			heap.push(due, actions);
		},
		run: until => {
			for (let next = heap.earliestAt(); next !== undefined && next <= until; next = heap.earliestAt()) {
				now = next;
				const [actions = []] = heap.takeUntil(next);
				// Actions may add others for the same time; the loop reaches those as well.
				for (const action of actions) {
					action();
				}
				byTime.delete(next);
			}
			now = until;
		},
		get now() {
			return now;
		},
	};
}
