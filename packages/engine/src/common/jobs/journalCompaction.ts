import type { EngineContext } from '../engineContext.js';
import type { Job } from './job.js';
import type { ClosedJob } from './journalEvent.js';
import { inheritedLeasesEndBy } from '../workers/workerLeases.js';
import { toClosedJob, createJobSnapshot } from './jobSnapshot.js';

/** Longest interval between checks for expired jobs and for a due compaction. */
const MAINTENANCE_INTERVAL_MS = 1_000;

/** Number of those checks within the age at which a record is written again, at least. */
const CHECKS_PER_REWRITE = 4;

/**
 * Delay from the beginning of a term until the records of earlier leaders, whose age is unknown, are written again. It leaves
 * the first batches to the starts that have waited for a leader.
 */
const INHERITED_REWRITE_DELAY_MS = 250;

/** Part of the age at which a record is written again within which a compaction writes all of them. */
const COMPACTION_SHARE = 0.5;

/** Interval between two slices of a compaction. */
const SLICE_INTERVAL_MS = 100;

/** Least number of open jobs rewritten per slice; more only if the records would expire otherwise. */
const OPEN_JOBS_PER_SLICE = 50;

/** Least number of tasks of the open jobs rewritten per slice. */
const TASKS_PER_SLICE = 5_000;

/** Least number of closed jobs rewritten per slice; each takes about 70 bytes. */
const CLOSED_JOBS_PER_SLICE = 500;

/** Number of early cancels per event, which bounds the size of its record; each takes about 40 bytes. */
const EARLY_CANCELS_PER_EVENT = 1_000;

/** Minimum growth of the journal before a compaction; this much takes some tens of milliseconds to read. */
const MINIMUM_GROWTH_WEIGHT = 1_000;

/** Weight of a closed job or an early cancel in a compacted journal. */
const CLOSED_JOB_WEIGHT = 0.2;

/**
 * Compacts the journal, so that the next leader reads it quickly. Once the journal has grown by the weight of its live
 * state, the live state is rewritten in slices, and older records can be trimmed. The cost of all compactions is
 * thereby proportional to the journal writes of the jobs, at any size.
 */
export interface JournalCompaction {
	/** Handles a batch that the journal has stored. @param offset journal offset of the batch */
	stored(batch: number, offset: number): void;
	/** Expires ended jobs and continues a compaction. @param now monotonic time in milliseconds */
	tick(now: number): void;
	/** Returns the offset before which no reader needs the records of the journal. */
	trimBefore(): number;
}

/** Creates the journal compaction of an engine. */
export function createJournalCompaction(context: EngineContext): JournalCompaction {
	const { jobs, earlyCancels, settings } = context;
	const maintenanceIntervalMs = Math.min(MAINTENANCE_INTERVAL_MS, settings.rewriteAfterMs / CHECKS_PER_REWRITE);
	const inheritedRewriteDelayMs = Math.min(INHERITED_REWRITE_DELAY_MS, maintenanceIntervalMs);
	/** Rewritten state whose batches are not stored yet, in order. */
	const unstoredSnapshots: { readonly job: Job | 'term' | 'unsettled-term'; readonly batch: number }[] = [];
	/** Forgotten jobs whose removal is not stored yet: a successor that reads the journal still knows them. */
	let unstoredRemovals: { readonly snapshotOffset: number; readonly batch: number }[] = [];
	/** Offset of the newest record of this term, which the next leader must read. */
	let termOffset = 0;
	/**
	 * Time at which the term, the statistics and the early cancels were last recorded. A successor writes all that it has
	 * read again, since it cannot tell the age of the records.
	 */
	let termRecordedAt = -Infinity;
	/** Whether that record says that all former leaders have stopped, or no compaction has begun. */
	let isTermSettled = true;
	let nextMaintenanceAt = 0;
	let tasksPerSlice = TASKS_PER_SLICE;
	let openJobsPerSlice = OPEN_JOBS_PER_SLICE;
	let closedJobsPerSlice = CLOSED_JOBS_PER_SLICE;
	let nextSliceAt = 0;
	/** Jobs that the current compaction has yet to rewrite. */
	let jobsToRewrite: Job[] = [];
	/** Weight of the journal at the last compaction, including what that compaction wrote. */
	let weightAtCompaction = 0;

	const tasksPerOccurrence = ({ spec }: Job): number => spec.steps.reduce((sum, { count }) => sum + count, 0);

	/** Number of tasks of the occurrences of a job that have begun. */
	const taskCount = (job: Job): number => job.occurrences.size * tasksPerOccurrence(job);

	const publishStates = (batch: number): void => {
		for (const job of context.unpublishedEndedJobs) {
			if (job.stateBatch <= batch) {
				job.visibleState = job.state;
				context.unpublishedEndedJobs.delete(job);
			}
		}
	};

	const liveWeight = (): number => {
		let weight = CLOSED_JOB_WEIGHT * earlyCancels.size;
		for (const job of jobs.all()) {
			weight += job.state === 'open' ? 1 + Math.max(tasksPerOccurrence(job), taskCount(job)) : CLOSED_JOB_WEIGHT;
		}
		return weight;
	};

	const runMaintenance = (now: number): void => {
		const forgotten: string[] = [];
		earlyCancels.removeExpired(now);
		const oldBefore = now - settings.rewriteAfterMs;
		let hasExpiringRecord = termRecordedAt < oldBefore || earlyCancels.hasRecordBefore(oldBefore);
		for (const job of jobs.all()) {
			if (job.occurrences.size > 0) {
				jobs.releaseTasks(job);
			}
			if (job.state === 'open') {
				job.timing = context.updatedJobTimes(job);
			}
			if (job.endedAt !== undefined && job.visibleState !== 'open' && now > job.endedAt + settings.stateKeptMs) {
				forgotten.push(job.accepted.id);
				unstoredRemovals.push({ snapshotOffset: job.snapshotOffset, batch: context.nextBatch });
			}
			hasExpiringRecord ||= job.snapshotAt < oldBefore && isStored(job);
		}
		if (forgotten.length > 0) {
			context.record({ type: 'forgotten', jobs: forgotten }, now);
		}
		const growth = context.journalWeight - weightAtCompaction;
		const canBeginCompaction = jobsToRewrite.length === 0 && unstoredSnapshots.length === 0;
		if (canBeginCompaction && (hasExpiringRecord || growth > Math.max(MINIMUM_GROWTH_WEIGHT, liveWeight()))) {
			beginCompaction(now);
		} else if (!isTermSettled && context.predecessor.stoppedAt !== undefined) {
			recordTerm(now);
		}
	};

	/** Records the facts that belong to no job. The journal is trimmed before them once all former leaders have stopped. */
	const recordTerm = (now: number): void => {
		context.recordTermBegin(now);
		termRecordedAt = now;
		// The next leader needs the records of former terms until all former leaders are known to have stopped.
		isTermSettled = context.predecessor.stoppedAt !== undefined;
		if (isTermSettled) {
			context.record({ type: 'settled', term: context.term ?? 0 }, now);
		}
		context.record({ type: 'learned', queues: context.durations.exportStatistics() }, now);
		recordTurns(now);
		recordEarlyCancels(now);
		recordLongLeases(now);
		unstoredSnapshots.push({ job: isTermSettled ? 'term' : 'unsettled-term', batch: context.nextBatch });
	};

	const beginCompaction = (now: number): void => {
		recordTerm(now);
		context.hosts.isRewriteDue = true;
		// The records that expire first are written first, so that leaders which each stay for a short time write all of them.
		jobsToRewrite = [...jobs.all()].sort((one, other) => one.snapshotOffset - other.snapshotOffset);
		const slices = Math.max(1, Math.floor((COMPACTION_SHARE * settings.rewriteAfterMs) / SLICE_INTERVAL_MS));
		tasksPerSlice = Math.max(
			TASKS_PER_SLICE,
			Math.ceil(jobsToRewrite.reduce((sum, job) => sum + taskCount(job), 0) / slices),
		);
		openJobsPerSlice = Math.max(OPEN_JOBS_PER_SLICE, Math.ceil(jobsToRewrite.length / slices));
		closedJobsPerSlice = Math.max(CLOSED_JOBS_PER_SLICE, openJobsPerSlice);
		weightAtCompaction = context.journalWeight;
	};

	const recordTurns = (now: number): void => {
		const pattern = context.turns.exportTurns();
		if (pattern.periodMs > 0) {
			context.record({ type: 'turns', pattern }, now);
		}
	};

	const recordLongLeases = (now: number): void => {
		const keys = context.longLeases.current(now, inheritedLeasesEndBy(context));
		if (keys.length > 0) {
			context.record({ type: 'long-leases', workers: keys }, now);
		}
	};

	/** Writes the early cancels into the batch of the term, before whose offset the journal is trimmed. */
	const recordEarlyCancels = (now: number): void => {
		const cancels = earlyCancels.current(now);
		for (let first = 0; first < cancels.length; first += EARLY_CANCELS_PER_EVENT) {
			context.record({ type: 'cancelled-early', cancels: cancels.slice(first, first + EARLY_CANCELS_PER_EVENT) }, now);
		}
	};

	/**
	 * Whether the job still exists and its acceptance is stored; other jobs get their snapshot offset with the
	 * acceptance.
	 */
	const isStored = (job: Job): boolean =>
		jobs.get(job.accepted.id) === job && job.acceptedBatch <= context.lastStoredBatch;

	const rewriteSlice = (now: number): void => {
		const weightBefore = context.journalWeight;
		const closed: ClosedJob[] = [];
		let open = 0;
		let tasks = 0;
		while (
			jobsToRewrite[0] !== undefined &&
			open < openJobsPerSlice &&
			tasks < tasksPerSlice &&
			closed.length < closedJobsPerSlice
		) {
			const [job] = jobsToRewrite.splice(0, 1);
			if (job === undefined || !isStored(job)) {
				continue;
			}
			const closedJob = toClosedJob(job);
			if (closedJob === undefined) {
				context.record(createJobSnapshot(job), now);
				open++;
				tasks += taskCount(job);
			} else {
				closed.push(closedJob);
			}
			unstoredSnapshots.push({ job, batch: context.nextBatch });
		}
		if (closed.length > 0) {
			context.record({ type: 'closed', jobs: closed }, now);
		}
		weightAtCompaction += context.journalWeight - weightBefore;
	};

	return {
		stored: (batch, offset) => {
			publishStates(batch);
			unstoredRemovals = unstoredRemovals.filter(removal => removal.batch > batch);
			while (context.unstoredJobs[0] !== undefined && context.unstoredJobs[0].acceptedBatch <= batch) {
				const job = context.unstoredJobs.shift();
				if (job !== undefined) {
					job.snapshotOffset = offset;
				}
			}
			while (unstoredSnapshots[0] !== undefined && unstoredSnapshots[0].batch <= batch) {
				const { job } = unstoredSnapshots[0];
				unstoredSnapshots.shift();
				if (job === 'term') {
					termOffset = offset;
				} else if (job !== 'unsettled-term') {
					job.snapshotOffset = offset;
				}
			}
		},
		tick: now => {
			if (context.predecessor.isFirst) {
				termRecordedAt = Math.max(termRecordedAt, context.termBeganAt);
			}
			if (now >= Math.max(nextMaintenanceAt, context.termBeganAt + inheritedRewriteDelayMs)) {
				nextMaintenanceAt = now + maintenanceIntervalMs;
				runMaintenance(now);
			}
			if (jobsToRewrite.length > 0 && now >= nextSliceAt) {
				nextSliceAt = now + SLICE_INTERVAL_MS;
				rewriteSlice(now);
			}
		},
		trimBefore: () => {
			let before = termOffset;
			for (const { snapshotOffset } of [...jobs.all(), ...unstoredRemovals]) {
				before = Math.min(before, snapshotOffset);
			}
			return before;
		},
	};
}
