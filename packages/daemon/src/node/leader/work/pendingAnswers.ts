/** Callers that wait for answers, by a key; several may wait for the same one. */
export interface PendingAnswers<Answer> {
	/**
	 * Waits for the answer to a key.
	 * @param late what to answer after the wait
	 */
	wait(key: string, waitMs: number, late: Answer): Promise<Answer>;
	/** Answers everyone who waits for a key. */
	answer(key: string, answer: Answer): void;
}

/** Creates an empty table. */
export function createPendingAnswers<Answer>(): PendingAnswers<Answer> {
	const waiting = new Map<string, Set<(answer: Answer) => void>>();
	return {
		wait: (key, waitMs, late) =>
			new Promise(resolve => {
				const listeners = waiting.get(key) ?? new Set<(answer: Answer) => void>();
				waiting.set(key, listeners);
				const finish = (answer: Answer): void => {
					clearTimeout(timer);
					listeners.delete(finish);
					if (listeners.size === 0 && waiting.get(key) === listeners) {
						waiting.delete(key);
					}
					resolve(answer);
				};
				const timer = setTimeout(() => finish(late), Math.max(0, waitMs));
				listeners.add(finish);
			}),
		answer: (key, answer) => {
			for (const listener of [...(waiting.get(key) ?? [])]) {
				listener(answer);
			}
		},
	};
}
