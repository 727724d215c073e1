/** Where a task stands: its job, the repetition, the step and its place in the step. */
export interface TaskPath {
	readonly job: string;
	readonly occurrence: number;
	readonly step: number;
	readonly index: number;
}

/** The name of a task, unique over all jobs. */
export function formatTaskName({ job, occurrence, step, index }: TaskPath): string {
	return `${job}.${occurrence}.${step}.${index}`;
}

/** Name of a step in one repetition, as the advice service knows it. */
export function formatStepName({ job, occurrence, step }: Omit<TaskPath, 'index'>): string {
	return `${job}.${occurrence}.${step}`;
}

/** Splits a task's name; `undefined` when it does not name a task. */
export function parseTaskName(name: string): TaskPath | undefined {
	const [job, occurrence, step, index, ...rest] = name.split('.');
	if (job === undefined || index === undefined || rest.length > 0) {
		return undefined;
	}
	const numbers = [Number(occurrence), Number(step), Number(index)] as const;
	if (!numbers.every(number => Number.isInteger(number) && number >= 0)) {
		return undefined;
	}
	return { job, occurrence: numbers[0], step: numbers[1], index: numbers[2] };
}
