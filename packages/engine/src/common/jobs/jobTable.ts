import type { RunEnd } from '@chestnutwheel/ports/common/workerService.js';
import {
	createJob,
	createOccurrence,
	createTaskRun,
	occurrenceCount,
	type Job,
	type RecordPlace,
	type Occurrence,
	type Task,
	type TaskRun,
} from './job.js';
import type { JobTiming } from '../scheduling/stepUrgency.js';
import type { AcceptedJob, ClosedJob, EndedRun, JobEvent, TaskSnapshot, StartedRun } from './journalEvent.js';
import { createClosedJob } from './jobSnapshot.js';
import type { JobTableListener } from './jobTableListener.js';
import { parseTaskName } from './taskName.js';
import { workerKey } from '../workers/workerKey.js';

/** Number of runs of a task that are remembered after they were given up. */
const MAXIMUM_GIVEN_UP_RUNS = 4;

/** Holds all jobs. Events that are read from the journal and new events are applied by the same rules. */
export interface JobTable {
	/** Returns a job by its id. */
	get(id: string): Job | undefined;
	/** Iterates over all jobs. */
	all(): IterableIterator<Job>;
	/** Number of jobs. */
	readonly size: number;
	/** Returns a task by its name; `undefined` if it does not exist. */
	task(name: string): Task | undefined;
	/**
	 * Applies an event.
	 * @param offset journal offset of its record
	 * @param now monotonic time in milliseconds
	 * @param recordedAt earliest time at which the record may have been written; `-Infinity` if it was read from the journal
	 */
	apply(event: JobEvent, offset: number, now: number, recordedAt?: number): void;
	/**
	 * Creates the occurrences that are due.
	 * @param wallNow wall-clock time in milliseconds since 1970
	 * @returns the due time of the next occurrence; `undefined` if there is none
	 */
	createDueOccurrences(wallNow: number, now: number): number | undefined;
	/** Releases the tasks of an ended job without runs, since only its state can still be requested. */
	releaseTasks(job: Job): void;
}

/** Creates an empty job table. @param timesOf computes the timing of an accepted job */
export function createJobTable(
	listener: JobTableListener,
	timesOf: (job: AcceptedJob, now: number) => JobTiming,
): JobTable {
	const jobs = new Map<string, Job>();
	/** Jobs with occurrences that are not due yet. */
	const scheduled = new Set<Job>();

	const getOrCreateOccurrence = (job: Job, number: number, now: number): Occurrence | undefined => {
		const existing = job.occurrences.get(number);
		if (existing !== undefined || number >= occurrenceCount(job.spec) || job.state !== 'open') {
			return existing;
		}
		const created = createOccurrence(job, number);
		job.occurrences.set(number, created);
		openSteps(created, now);
		return created;
	};

	const resolveTask = (name: string, now: number): Task | undefined => {
		const path = parseTaskName(name);
		const job = path === undefined ? undefined : jobs.get(path.job);
		if (path === undefined || job === undefined) {
			return undefined;
		}
		return getOrCreateOccurrence(job, path.occurrence, now)?.steps[path.step]?.tasks[path.index];
	};

	const openSteps = (occurrence: Occurrence, now: number): void => {
		for (const step of occurrence.steps) {
			const isOpen = step.spec.after.every(number => {
				const dependency = occurrence.steps[number];
				return dependency === undefined || dependency.doneCount === dependency.tasks.length;
			});
			if (isOpen && !step.isOpen) {
				step.isOpen = true;
				step.tasks.forEach(task => (task.readySince = now));
				if (step.waitingCount > 0) {
					listener.stepReady(step);
				}
			}
		}
	};

	const endJob = (job: Job, state: Job['state'], now: number): void => {
		if (job.state !== 'open') {
			return;
		}
		job.state = state;
		job.endedAt = now;
		scheduled.delete(job);
		listener.jobEnded(job);
	};

	const markDone = (task: Task, now: number): void => {
		const { step } = task;
		if (task.state === 'done') {
			return;
		}
		if (task.state === 'waiting') {
			step.waitingCount--;
		}
		task.state = 'done';
		step.doneCount++;
		if (step.doneCount < step.tasks.length) {
			return;
		}
		const { occurrence } = step;
		occurrence.doneSteps++;
		openSteps(occurrence, now);
		if (occurrence.doneSteps === occurrence.steps.length) {
			occurrence.job.doneOccurrences++;
			if (occurrence.job.doneOccurrences === occurrenceCount(occurrence.job.spec)) {
				endJob(occurrence.job, 'done', now);
			}
		}
	};

	const removeRun = (run: TaskRun, now: number): void => {
		const { task } = run;
		const index = task.runs.indexOf(run);
		if (index < 0) {
			return;
		}
		task.runs.splice(index, 1);
		task.step.occurrence.job.activeRuns--;
		listener.runRemoved(run);
		if (task.state === 'active' && task.runs.length === 0) {
			task.state = 'waiting';
			task.readySince = now;
			task.step.waitingCount++;
			if (task.step.isOpen && task.step.occurrence.job.state === 'open') {
				listener.stepReady(task.step);
			}
		}
	};

	const addRun = ([name, run, worker, incarnation, isSpeculative]: StartedRun, now: number): void => {
		const task = resolveTask(name, now);
		if (task === undefined || task.state === 'done') {
			return;
		}
		task.lastRun = Math.max(task.lastRun, run);
		task.step.lastGangRun = Math.max(task.step.lastGangRun, run);
		task.step.occurrence.job.hasStarted = true;
		if (!isSpeculative) {
			[...task.runs].forEach(superseded => removeRun(superseded, now));
		}
		const added = createTaskRun(task, run, workerKey(worker, incarnation), isSpeculative, now);
		task.runs.push(added);
		task.step.occurrence.job.activeRuns++;
		if (task.state === 'waiting') {
			task.state = 'active';
			task.step.waitingCount--;
		}
		listener.runAdded(added);
	};

	const endHandlers: Record<RunEnd, (task: Task, run: number, now: number) => void> = {
		done: (task, _run, now) => {
			// A service task runs until its job is cancelled, and is started again however it ends.
			if (task.step.spec.isLasting) {
				return;
			}
			const members = task.step.spec.isGang ? task.step.tasks : [task];
			members.forEach(member => markDone(member, now));
		},
		failed: (task, run) => {
			if (!task.step.spec.isLasting) {
				countFailure(task, run);
			}
		},
		stopped: () => undefined,
		lapsed: () => undefined,
		broken: () => undefined,
		alone: () => undefined,
	};

	/** Counts a gang run as failed once, however many of its members report the failure. */
	const countFailure = (task: Task, run: number): void => {
		const { step } = task;
		if (!step.spec.isGang) {
			task.failures++;
			return;
		}
		if (step.lastFailedGangRun !== run) {
			step.lastFailedGangRun = run;
			step.tasks.forEach(member => member.failures++);
		}
	};

	const endRun = ([name, runNumber, end, checkpoint]: EndedRun, now: number): void => {
		const task = resolveTask(name, now);
		if (task === undefined) {
			return;
		}
		if (checkpoint !== '') {
			const members = task.step.spec.isGang ? task.step.tasks : [task];
			members.forEach(member => (member.checkpoint = checkpoint));
		}
		endHandlers[end](task, runNumber, now);
		const run = task.runs.find(candidate => candidate.run === runNumber);
		if (run !== undefined) {
			removeRun(run, now);
		}
		const givenUp = task.givenUpRuns.indexOf(runNumber);
		task.givenUpRuns.splice(givenUp, givenUp < 0 ? 0 : 1);
	};

	/** Restores a task without its completion. @returns the task, if it has completed */
	const restoreTask = (job: Job, snapshot: TaskSnapshot, now: number): Task | undefined => {
		const [occurrence, step, index, lastRun, failures, checkpoint, isDone, crashes = 0, ...details] = snapshot;
		const [provenCrashes = 0, startCrashes = 0, lastFailedGangRun = 0, givenUpRuns = []] = details;
		const task = getOrCreateOccurrence(job, occurrence, now)?.steps[step]?.tasks[index];
		if (task === undefined) {
			return undefined;
		}
		Object.assign(task, { lastRun, failures, checkpoint, crashes, provenCrashes, startCrashes });
		task.givenUpRuns.splice(0, Infinity, ...givenUpRuns);
		task.step.lastGangRun = Math.max(task.step.lastGangRun, lastRun);
		task.step.lastFailedGangRun = Math.max(task.step.lastFailedGangRun, lastFailedGangRun);
		job.hasStarted ||= lastRun > 0;
		return isDone === 1 ? task : undefined;
	};

	const addJob = (job: Job, now: number): void => {
		jobs.set(job.accepted.id, job);
		listener.jobAdded(job);
		if (job.spec.repeats > 0) {
			scheduled.add(job);
		} else {
			getOrCreateOccurrence(job, 0, now);
		}
	};

	/** Records that a known job was rewritten. A reader may have skipped the event that ended the job. */
	const confirmSnapshot = (job: Job, state: Job['state'], now: number, record: RecordPlace): void => {
		Object.assign(job, record);
		if (state !== 'open') {
			endJob(job, state, now);
		}
	};

	const restoreClosed = ([id, queue, team, state, acceptedAt]: ClosedJob, now: number, record: RecordPlace): void => {
		const existing = jobs.get(id);
		if (existing !== undefined) {
			confirmSnapshot(existing, state, now, record);
			return;
		}
		const job = createClosedJob({ id, queue, team: team === '' ? undefined : team, acceptedAt }, record);
		jobs.set(id, job);
		listener.jobAdded(job);
		endJob(job, state, now);
	};

	const remove = (job: Job): void => {
		for (const occurrence of job.occurrences.values()) {
			for (const step of occurrence.steps) {
				step.tasks.flatMap(task => [...task.runs]).forEach(run => listener.runRemoved(run));
			}
		}
		scheduled.delete(job);
		jobs.delete(job.accepted.id);
	};

	type Handlers = {
		readonly [Type in JobEvent['type']]: (
			event: Extract<JobEvent, { type: Type }>,
			now: number,
			record: RecordPlace,
		) => void;
	};
	const handlers: Handlers = {
		term: () => undefined,
		settled: () => undefined,
		'long-leases': () => undefined,
		accepted: ({ job }, now, record) => {
			if (!jobs.has(job.id)) {
				addJob(createJob(job, timesOf(job, now), record), now);
			}
		},
		started: ({ runs }, now) => runs.forEach(run => addRun(run, now)),
		ended: ({ runs }, now) => runs.forEach(run => endRun(run, now)),
		dropped: ({ runs }, now) => {
			for (const [name, number, crash, isProven = 0] of runs) {
				const task = resolveTask(name, now);
				const run = task?.runs.find(candidate => candidate.run === number);
				if (task !== undefined) {
					task.provenCrashes += isProven;
				}
				if (run !== undefined) {
					run.task.crashes += crash === undefined ? 0 : 1;
					run.task.startCrashes += crash === 'start' ? 1 : 0;
					if (crash === 'work') {
						Object.assign(run.task, { startCrashes: 0, provenCrashes: 0 });
					}
					removeRun(run, now);
					run.task.givenUpRuns.push(number);
					run.task.givenUpRuns.splice(0, run.task.givenUpRuns.length - MAXIMUM_GIVEN_UP_RUNS);
				}
			}
		},
		cancelled: ({ job: id }, now) => {
			const job = jobs.get(id);
			if (job !== undefined) {
				endJob(job, 'cancelled', now);
			}
		},
		'cancelled-early': () => undefined,
		failed: ({ job: id }, now) => {
			const job = jobs.get(id);
			if (job !== undefined) {
				endJob(job, 'failed', now);
			}
		},
		forgotten: ({ jobs: ids }) => {
			for (const id of ids) {
				const job = jobs.get(id);
				if (job !== undefined) {
					remove(job);
				}
			}
		},
		closed: ({ jobs: closed }, now, record) => closed.forEach(job => restoreClosed(job, now, record)),
		learned: () => undefined,
		turns: () => undefined,
		rewritten: ({ job: accepted, state, tasks, active }, now, record) => {
			const existing = jobs.get(accepted.id);
			if (existing !== undefined) {
				confirmSnapshot(existing, state, now, record);
				return;
			}
			const job = createJob(accepted, timesOf(accepted, now), record);
			addJob(job, now);
			const completed = tasks.map(task => restoreTask(job, task, now)).filter(task => task !== undefined);
			// A copy may still be executing after its task has completed, and a completed task accepts no run.
			active.forEach(run => addRun(run, now));
			// A job that was cancelled or has failed stays so when its last task completes.
			if (state !== 'open') {
				endJob(job, state, now);
			}
			completed.forEach(task => markDone(task, now));
		},
	};

	return {
		get: id => jobs.get(id),
		all: () => jobs.values(),
		get size() {
			return jobs.size;
		},
		task: name => {
			const path = parseTaskName(name);
			return path === undefined
				? undefined
				: jobs.get(path.job)?.occurrences.get(path.occurrence)?.steps[path.step]?.tasks[path.index];
		},
		apply: (event, offset, now, recordedAt = now) => {
			(handlers[event.type] as (event: JobEvent, now: number, record: RecordPlace) => void)(event, now, {
				snapshotOffset: offset,
				snapshotAt: recordedAt,
			});
		},
		createDueOccurrences: (wallNow, now) => {
			let next: number | undefined;
			for (const job of scheduled) {
				const count = occurrenceCount(job.spec);
				let number = job.nextOccurrence;
				while (number < count && job.spec.firstDueAt + number * job.spec.intervalMs <= wallNow) {
					getOrCreateOccurrence(job, number, now);
					number++;
				}
				job.nextOccurrence = number;
				if (number >= count) {
					scheduled.delete(job);
				} else {
					const due = job.spec.firstDueAt + number * job.spec.intervalMs;
					next = next === undefined ? due : Math.min(next, due);
				}
			}
			return next;
		},
		releaseTasks: job => {
			if (job.state !== 'open' && job.activeRuns === 0) {
				job.occurrences.clear();
			}
		},
	};
}
