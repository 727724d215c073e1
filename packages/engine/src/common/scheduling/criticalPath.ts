import type { JobSpec, StepSpec } from '@chestnutwheel/ports/common/jobSpec.js';

/** Time that a step takes once it has room for all of its tasks, in milliseconds. */
export type StepTime = (step: StepSpec, number: number) => number;

/** For each step the time from its start to the end of the job along the longest chain of steps, in milliseconds. */
export function remainingCriticalPaths({ steps }: JobSpec, stepTime: StepTime): readonly number[] {
	const times = steps.map(stepTime);
	const paths = [...times];
	// Steps name only earlier steps, so that going backwards sees every chain in full.
	for (let number = steps.length - 1; number >= 0; number--) {
		const remainingMs = paths[number] ?? 0;
		for (const dependency of steps[number]?.after ?? []) {
			paths[dependency] = Math.max(paths[dependency] ?? 0, (times[dependency] ?? 0) + remainingMs);
		}
	}
	return paths;
}

/** The longest chain of work of a job, in milliseconds. */
export function criticalPathLength(remainingPathsMs: readonly number[]): number {
	return remainingPathsMs.reduce((longest, pathMs) => Math.max(longest, pathMs), 0);
}
