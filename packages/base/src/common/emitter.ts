/** Delivers events to listeners in the order in which they were added. */
export interface Emitter<Event> {
	/** Adds a listener until the signal is aborted. */
	listen(listener: (event: Event) => void, signal: AbortSignal): void;
	/** Delivers an event to all listeners. */
	emit(event: Event): void;
}

/** Creates an emitter without listeners. */
export function createEmitter<Event>(): Emitter<Event> {
	const listeners = new Set<(event: Event) => void>();
	return {
		listen: (listener, signal) => {
			if (signal.aborted) {
				return;
			}
			listeners.add(listener);
			signal.addEventListener('abort', () => listeners.delete(listener), { once: true });
		},
		emit: event => {
			for (const listener of [...listeners]) {
				listener(event);
			}
		},
	};
}
