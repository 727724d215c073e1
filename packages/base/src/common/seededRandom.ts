/** A generator of random numbers whose sequence depends on its seed alone. */
export interface SeededRandom {
	/** The next number, from 0 up to but not including 1. */
	next(): number;
	/** The next whole number, from 0 up to but not including the bound. */
	nextInteger(bound: number): number;
}

/** Creates a generator by the mulberry32 method (Tommy Ettinger, public domain). */
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
