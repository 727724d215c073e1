import type { JobSpec, StepSpec } from '@chestnutwheel/ports/common/jobSpec.js';

/** Time that a step takes once it has room for all of its tasks, in milliseconds. */
export type StepTime = (step: StepSpec, number: number) => number;

/** For each step the time from its start to the end of the job along the longest chain of steps, in milliseconds. */
export function chainsFrom({ steps }: JobSpec, stepTime: StepTime): readonly number[] {
	const times = steps.map(stepTime);
	const chains = [...times];
	// Steps name only earlier steps, so that going backwards sees every chain in full.
	for (let number = steps.length - 1; number >= 0; number--) {
		const chain = chains[number] ?? 0;
		for (const before of steps[number]?.after ?? []) {
			chains[before] = Math.max(chains[before] ?? 0, (times[before] ?? 0) + chain);
		}
	}
	return chains;
}

/** The longest chain of work of a job, in milliseconds. */
export function longestChain(chains: readonly number[]): number {
	return chains.reduce((longest, chain) => Math.max(longest, chain), 0);
}
