import type { JobSpec, StepSpec } from '@chestnutwheel/ports/common/jobSpec.js';

/** Limits on the size of a job, so that a single job cannot exhaust the leader's memory. */
const MAXIMUM_STEPS = 64;
const MAXIMUM_TASKS = 4_096;
const MAXIMUM_REPEATS = 10_000;
/** All occurrences may be due at once. */
const MAXIMUM_TASKS_OF_ALL_OCCURRENCES = 100_000;

/** Validates a job specification. Returns a description of the first violation; `undefined` if the job is valid. */
export function checkJobSpec(spec: JobSpec): string | undefined {
	const { steps, repeats, intervalMs } = spec;
	if (steps.length === 0 || steps.length > MAXIMUM_STEPS) {
		return `job has ${steps.length} steps; expected 1 to ${MAXIMUM_STEPS}`;
	}
	const tasks = steps.reduce((sum, step) => sum + step.count, 0);
	if (tasks > MAXIMUM_TASKS) {
		return `job has ${tasks} tasks; expected at most ${MAXIMUM_TASKS}`;
	}
	if (repeats > MAXIMUM_REPEATS || (repeats > 1 && intervalMs <= 0)) {
		return `${repeats} repeats every ${intervalMs} ms; expected at most ${MAXIMUM_REPEATS}, with an interval above 0`;
	}
	if (tasks * repeats > MAXIMUM_TASKS_OF_ALL_OCCURRENCES) {
		return `${repeats} repeats of ${tasks} tasks; expected at most ${MAXIMUM_TASKS_OF_ALL_OCCURRENCES} tasks in all`;
	}
	for (const [number, step] of steps.entries()) {
		const problem = checkStep(step, number);
		if (problem !== undefined) {
			return `step ${number}: ${problem}`;
		}
	}
	return undefined;
}

function checkStep({ count, demand, after, isGang, maximumPerWorker }: StepSpec, number: number): string | undefined {
	if (count < 1) {
		return `step has ${count} tasks; expected 1 or more`;
	}
	if (demand.milliCores < 0 || demand.memoryMb < 0 || demand.accelerators < 0) {
		return 'demand is negative; expected 0 or more in each dimension';
	}
	const laterStep = after.find(dependency => dependency >= number);
	if (laterStep !== undefined) {
		return `depends on step ${laterStep}; expected earlier steps only`;
	}
	return isGang && maximumPerWorker === 0 ? 'gang allows 0 tasks per worker, so it fits on no worker' : undefined;
}
