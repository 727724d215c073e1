/** Smallest number of members that is more than half of a set. Any two majorities of a set share a member. */
export function majorityOf(size: number): number {
	return Math.floor(size / 2) + 1;
}
