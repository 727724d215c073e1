/** Number of fencing tokens that a term has, and thereby of the lives of workers that it can tell apart. */
export const LIVES_PER_TERM = 1_000_000;

/**
 * Returns the fencing token that a leader sends to one life of a worker. It is higher than every token of an earlier term.
 * @param term term of the leader, from 1 on
 * @param number number of the life, from 0 on. Lives beyond the last number share its token, which is still one of the term.
 */
export function workerFence(term: number, number: number): number {
	return term * LIVES_PER_TERM + Math.min(number, LIVES_PER_TERM - 1);
}

/** Returns the term of the leader that sent a fencing token. A leader of an earlier version sends its term alone. */
export function termOfWorkerFence(fence: number): number {
	return fence < LIVES_PER_TERM ? fence : Math.floor(fence / LIVES_PER_TERM);
}
