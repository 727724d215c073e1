/** A pseudo-random number generator whose sequence depends only on its seed. */
export interface SeededRandom {
	/** Returns the next number, from 0 (inclusive) to 1 (exclusive). */
	next(): number;
	/** Returns the next integer, from 0 (inclusive) to the bound (exclusive). */
	nextInteger(bound: number): number;
}

/** Creates a generator that uses the mulberry32 algorithm (Tommy Ettinger, public domain). */
export function createSeededRandom(seed: number): SeededRandom {
	let state = seed >>> 0;
	const next = (): number => {
		state = (state + 0x6d2b79f5) >>> 0;
		let mixed = state;
		mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
	};
	return { next, nextInteger: bound => Math.floor(next() * bound) };
}
