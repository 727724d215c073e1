import type { AcceptedJob } from './journalEvent.js';
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

/**
 * Size of what the journal stores beside the job itself in the record that holds it, in bytes: the type of the event, the
 * name, state and number of parts of the job, and the brackets.
 */
const RECORD_OVERHEAD_BYTES = 400;

/** Longest encoding of a character of a string in JSON, in bytes. */
const MAXIMUM_BYTES_PER_CHARACTER = 3;

/**
 * Checks that the journal can store a job in one record, whatever becomes of the job. The states of its tasks are divided over
 * records. Load: a job of which single fields, such as labels, are very long.
 * @returns a description of the violation; `undefined` if the job fits
 */
export function checkJobSize(job: AcceptedJob, recordBytes: number): string | undefined {
	const limit = recordBytes - RECORD_OVERHEAD_BYTES;
	const text = JSON.stringify(job);
	if (text.length * MAXIMUM_BYTES_PER_CHARACTER <= limit) {
		return undefined;
	}
	const bytes = new TextEncoder().encode(text).length;
	return bytes <= limit ? undefined : `job takes ${bytes} bytes in the journal; expected at most ${limit}`;
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
