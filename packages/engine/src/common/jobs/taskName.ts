/** Identifies a task by its job, the occurrence, the step and the index in the step. */
export interface TaskPath {
	readonly job: string;
	readonly occurrence: number;
	readonly step: number;
	readonly index: number;
}

/** Formats the name of a task, which is unique across all jobs. */
export function formatTaskName({ job, occurrence, step, index }: TaskPath): string {
	return `${job}.${occurrence}.${step}.${index}`;
}

/** Formats the name of a step in one occurrence, as sent to the advice service. */
export function formatStepName({ job, occurrence, step }: Omit<TaskPath, 'index'>): string {
	return `${job}.${occurrence}.${step}`;
}

/** Parses the name of a task; returns `undefined` if the name is malformed. */
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
