/**
 * Builds the key of one incarnation of a worker. A worker that restarts under the same name is a new incarnation
 * without knowledge of earlier orders.
 */
export function workerKey(worker: string, incarnation: number): string {
	return `${worker}@${incarnation}`;
}

/** Splits the key of an incarnation into the worker's name and the incarnation number. */
export function parseWorkerKey(key: string): { readonly worker: string; readonly incarnation: number } {
	const separator = key.lastIndexOf('@');
	return { worker: key.slice(0, separator), incarnation: Number(key.slice(separator + 1)) };
}
