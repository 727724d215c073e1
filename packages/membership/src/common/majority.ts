/** Returns the smallest majority of a set of `size` members. Any two majorities of a set share a member. */
export function majorityOf(size: number): number {
	return Math.floor(size / 2) + 1;
}
