import type { AcceptedJob, JobEvent, JobStatePart, StartedRun, TaskSnapshot } from './journalEvent.js';

/** The state of a job, put together from its parts. */
export interface WholeJobState {
	readonly event: Extract<JobEvent, { type: 'rewritten' }>;
	/** Offset of the record of the first part, which a later reader needs too. */
	readonly offset: number;
}

/**
 * Puts the state of a job together from parts that follow one another in the journal. Parts count only together: a leader may
 * have stopped before it had written all of them, and the first ones may have expired. The records before them, or the state
 * that was written after them, then tell the state of the job.
 */
export interface JobStateParts {
	/** Reads a part. @returns the whole state with its last part, otherwise `undefined` */
	read(part: JobStatePart, offset: number): WholeJobState | undefined;
	/** Jobs of which some parts were read, and never all. */
	readonly incomplete: ReadonlySet<string>;
}

interface Collection {
	readonly stateId: string;
	readonly parts: number;
	readonly offset: number;
	readonly head: { readonly job: AcceptedJob; readonly state: WholeJobState['event']['state'] };
	readonly tasks: TaskSnapshot[];
	readonly active: StartedRun[];
	next: number;
}

/** Creates a reader that has read no part. */
export function createJobStateParts(): JobStateParts {
	/** State whose parts are being read. The parts of one job are not interrupted by those of another. */
	let current: Collection | undefined;
	const incomplete = new Set<string>();

	return {
		read: ({ job, stateId, part, parts, head, tasks, active }, offset) => {
			if (part === 0 && head !== undefined) {
				current = { stateId, parts, offset, head, tasks: [], active: [], next: 0 };
			}
			if (current?.head.job.id !== job || current.stateId !== stateId || current.next !== part) {
				current = undefined;
				incomplete.add(job);
				return undefined;
			}
			current.tasks.push(...tasks);
			current.active.push(...active);
			current.next++;
			if (current.next < parts) {
				incomplete.add(job);
				return undefined;
			}
			const whole = current;
			current = undefined;
			incomplete.delete(job);
			return {
				event: { type: 'rewritten', ...whole.head, tasks: whole.tasks, active: whole.active },
				offset: whole.offset,
			};
		},
		incomplete,
	};
}
