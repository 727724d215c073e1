import type { JobSpec, StepSpec } from '@chestnutwheel/ports/common/jobSpec.js';

/** Returns the duration of a step whose tasks all run at once, in milliseconds. */
export type StepTime = (step: StepSpec, number: number) => number;

/** The critical path from the start of a step to the end of its job. */
export interface CriticalPath {
	/** Sum of the durations of its steps, in milliseconds. */
	readonly lengthMs: number;
	/** Number of its steps. */
	readonly steps: number;
}

const emptyPath: CriticalPath = { lengthMs: 0, steps: 0 };

/** Returns for each step the critical path from its start to the end of the job. */
export function remainingCriticalPaths({ steps }: JobSpec, stepTime: StepTime): readonly CriticalPath[] {
	const times = steps.map(stepTime);
	const paths = times.map((lengthMs): CriticalPath => ({ lengthMs, steps: 1 }));
	// Steps depend on earlier steps only, so in reverse order each path is complete when it is used.
	for (let number = steps.length - 1; number >= 0; number--) {
		const remaining = paths[number] ?? emptyPath;
		for (const dependency of steps[number]?.after ?? []) {
			const lengthMs = (times[dependency] ?? 0) + remaining.lengthMs;
			if (lengthMs > (paths[dependency]?.lengthMs ?? 0)) {
				paths[dependency] = { lengthMs, steps: remaining.steps + 1 };
			}
		}
	}
	return paths;
}

/** Returns the critical path of a job. */
export function longestPath(paths: readonly CriticalPath[]): CriticalPath {
	return paths.reduce((longest, path) => (path.lengthMs > longest.lengthMs ? path : longest), emptyPath);
}
