import type { EngineContext } from '../engineContext.js';
import type { Job } from './job.js';
import type { ClosedJob } from './journalEvent.js';
import { toClosedJob, createJobSnapshot } from './jobSnapshot.js';

/** Time between two looks for jobs to forget. */
const MAINTENANCE_INTERVAL_MS = 1_000;

/** Time between two slices of a rewriting of the journal. */
const SLICE_INTERVAL_MS = 100;

/** Open jobs written again in one slice, so that one batch stays small. */
const OPEN_JOBS_PER_SLICE = 50;

/** Ended jobs written again in one slice; each takes about 70 bytes. */
const CLOSED_JOBS_PER_SLICE = 500;

/** Weight that the journal may gain before it is rewritten, however little has to be kept; some tens of milliseconds to read. */
const MINIMUM_GROWTH_WEIGHT = 1_000;

/** Weight of an ended job in a rewritten journal. */
const CLOSED_JOB_WEIGHT = 0.2;

/**
 * Keeps the journal short, so that a successor reads it quickly. When the journal has gained as much as what has to be kept,
 * everything that has to be kept is written again in slices, and what lies before can be trimmed. All rewriting together thus
 * writes about as much as the jobs themselves, at any size.
 */
export interface JournalCompaction {
	stored(batch: number, offset: number, now: number): void;
	tick(now: number): void;
	/** Offset before which the journal holds nothing that a reader needs. */
	trimBefore(): number;
}

/** Creates the part of the engine that keeps the journal short. */
export function createJournalCompaction(context: EngineContext): JournalCompaction {
	const { jobs, settings } = context;
	/** What was rewritten in batches that are not stored yet. */
	const unstoredSnapshots: { readonly job: Job | 'term'; readonly batch: number }[] = [];
	/** Where this term is written down for the last time; a successor has to read it. */
	let termOffset = 0;
	let nextMaintenanceAt = 0;
	let nextSliceAt = 0;
	/** Jobs that this rewriting has still to write. */
	let jobsToRewrite: Job[] = [];
	/** Weight of the journal when the last rewriting began. */
	let weightAtCompaction = 0;

	const publishStates = (batch: number): void => {
		for (const job of context.endedJobs) {
			if (job.stateBatch <= batch) {
				job.visibleState = job.state;
				context.endedJobs.delete(job);
			}
		}
	};

	const liveWeight = (): number => {
		let weight = 0;
		for (const job of jobs.all()) {
			weight +=
				job.state === 'open' ? 1 + job.spec.steps.reduce((sum, { count }) => sum + count, 0) : CLOSED_JOB_WEIGHT;
		}
		return weight;
	};

	const runMaintenance = (now: number): void => {
		const forgotten: string[] = [];
		let hasExpiringRecord = false;
		for (const job of jobs.all()) {
			if (job.occurrences.size > 0) {
				jobs.releaseTasks(job);
			}
			if (job.state === 'open') {
				job.timing = context.refreshTimes(job);
			}
			if (job.endedAt !== undefined && job.visibleState !== 'open' && now > job.endedAt + settings.stateKeptMs) {
				forgotten.push(job.accepted.id);
			}
			hasExpiringRecord ||= now > job.snapshotAt + settings.rewriteAfterMs;
		}
		if (forgotten.length > 0) {
			context.record({ type: 'forgotten', jobs: forgotten }, now);
		}
		const growth = context.journalWeight - weightAtCompaction;
		// Until it is known that no predecessor is at work, a successor has to read of their terms.
		const canBeginCompaction = jobsToRewrite.length === 0 && context.predecessor.stoppedAt !== undefined;
		if (canBeginCompaction && (hasExpiringRecord || growth > Math.max(MINIMUM_GROWTH_WEIGHT, liveWeight()))) {
			beginCompaction(now);
		}
	};

	const beginCompaction = (now: number): void => {
		context.recordTerm(now);
		context.record({ type: 'settled', term: context.term ?? 0 }, now);
		context.record({ type: 'learned', queues: context.durations.exportStatistics() }, now);
		unstoredSnapshots.push({ job: 'term', batch: context.nextBatch });
		context.hosts.isRewriteDue = true;
		jobsToRewrite = [...jobs.all()];
		weightAtCompaction = context.journalWeight;
	};

	/** Jobs whose acceptance is not stored yet have their base to come. */
	const isStored = (job: Job): boolean => jobs.get(job.accepted.id) === job && job.acceptedBatch <= context.storedBatch;

	const rewriteSlice = (now: number): void => {
		const weightBefore = context.journalWeight;
		const closed: ClosedJob[] = [];
		let open = 0;
		while (jobsToRewrite[0] !== undefined && open < OPEN_JOBS_PER_SLICE && closed.length < CLOSED_JOBS_PER_SLICE) {
			const [job] = jobsToRewrite.splice(0, 1);
			if (job === undefined || !isStored(job)) {
				continue;
			}
			const closedJob = toClosedJob(job);
			if (closedJob === undefined) {
				context.record(createJobSnapshot(job), now);
				open++;
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
		stored: (batch, offset, now) => {
			publishStates(batch);
			while (context.acceptedJobs[0] !== undefined && context.acceptedJobs[0].acceptedBatch <= batch) {
				const job = context.acceptedJobs.shift();
				if (job !== undefined) {
					job.snapshotOffset = offset;
					job.snapshotAt = now;
				}
			}
			while (unstoredSnapshots[0] !== undefined && unstoredSnapshots[0].batch <= batch) {
				const { job } = unstoredSnapshots[0];
				unstoredSnapshots.shift();
				if (job === 'term') {
					termOffset = offset;
				} else {
					job.snapshotOffset = offset;
					job.snapshotAt = now;
				}
			}
		},
		tick: now => {
			if (now >= nextMaintenanceAt) {
				nextMaintenanceAt = now + MAINTENANCE_INTERVAL_MS;
				runMaintenance(now);
			}
			if (jobsToRewrite.length > 0 && now >= nextSliceAt) {
				nextSliceAt = now + SLICE_INTERVAL_MS;
				rewriteSlice(now);
			}
		},
		trimBefore: () => {
			let before = termOffset;
			for (const job of jobs.all()) {
				before = Math.min(before, job.snapshotOffset);
			}
			return before;
		},
	};
}
