/** Names one life of a worker. A worker that starts again under its name is another life and knows nothing of before. */
export function workerKey(worker: string, incarnation: number): string {
	return `${worker}@${incarnation}`;
}

/** Splits the key of a life. */
export function parseWorkerKey(key: string): { readonly worker: string; readonly incarnation: number } {
	const separator = key.lastIndexOf('@');
	return { worker: key.slice(0, separator), incarnation: Number(key.slice(separator + 1)) };
}
