import type { JobSpec, StepSpec } from '@chestnutwheel/ports/common/jobSpec.js';

/** Returns the duration of a step whose tasks all run at once, in milliseconds. */
export type StepTime = (step: StepSpec, number: number) => number;

/** Returns for each step the length of the critical path from its start to the end of the job, in milliseconds. */
export function remainingCriticalPaths({ steps }: JobSpec, stepTime: StepTime): readonly number[] {
	const times = steps.map(stepTime);
	const paths = [...times];
	// Steps depend on earlier steps only, so in reverse order each path is complete when it is used.
	for (let number = steps.length - 1; number >= 0; number--) {
		const remainingMs = paths[number] ?? 0;
		for (const dependency of steps[number]?.after ?? []) {
			paths[dependency] = Math.max(paths[dependency] ?? 0, (times[dependency] ?? 0) + remainingMs);
		}
	}
	return paths;
}

/** Returns the length of the critical path of a job, in milliseconds. */
export function criticalPathLength(remainingPathsMs: readonly number[]): number {
	return remainingPathsMs.reduce((longest, pathMs) => Math.max(longest, pathMs), 0);
}
