import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Clock } from '@chestnutwheel/base/common/clock.js';

/** Number of turns of the event loop after which all continuations of a timer have run. */
const TURNS_PER_TIMER = 3;

interface Timer {
	readonly at: number;
	readonly fire: () => void;
}

/** Clock and timers that advance only on request, so that a test of many seconds is fast and repeatable. */
export interface VirtualTime {
	readonly clock: Clock;
	/** Waits on the virtual clock; resolves early when the signal is aborted. */
	sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
	/** Advances the clock, firing the timers that fall due in order. */
	advance(milliseconds: number): Promise<void>;
}

/** Creates a virtual time that begins at 1,000 ms. */
export function createVirtualTime(): VirtualTime {
	let now = 1_000;
	let timers: Timer[] = [];
	const settle = async (): Promise<void> => {
		for (let turn = 0; turn < TURNS_PER_TIMER; turn++) {
			await nextTurn();
		}
	};

	return {
		clock: { now: () => now, wallNow: () => now },
		sleep: (milliseconds, signal) =>
			new Promise(resolve => {
				if (signal?.aborted === true) {
					resolve();
					return;
				}
				const timer: Timer = {
					at: now + Math.max(0, milliseconds),
					fire: () => {
						timers = timers.filter(other => other !== timer);
						signal?.removeEventListener('abort', timer.fire);
						resolve();
					},
				};
				timers.push(timer);
				signal?.addEventListener('abort', timer.fire);
			}),
		advance: async milliseconds => {
			const until = now + milliseconds;
			await settle();
			for (;;) {
				const due = timers.reduce<Timer | undefined>(
					(first, timer) => (timer.at <= until && (first === undefined || timer.at < first.at) ? timer : first),
					undefined,
				);
				if (due === undefined) {
					break;
				}
				now = Math.max(now, due.at);
				due.fire();
				await settle();
			}
			now = until;
		},
	};
}
