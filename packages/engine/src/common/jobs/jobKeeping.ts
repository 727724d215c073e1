import type { EngineContext } from '../engineContext.js';
import type { Job } from './job.js';
import type { ClosedJob } from './journalEvent.js';
import { closeJob, rewriteJob } from './rewriteJob.js';

/** Time between two looks for jobs to forget. */
const KEEP_EVERY_MS = 1_000;

/** Time between two slices of a rewriting of the journal. */
const SLICE_EVERY_MS = 100;

/** Open jobs written again in one slice, so that one batch stays small. */
const OPEN_PER_SLICE = 50;

/** Ended jobs written again in one slice; each takes about 70 bytes. */
const CLOSED_PER_SLICE = 500;

/** Weight that the journal may gain before it is rewritten, however little has to be kept; some tens of milliseconds to read. */
const LEAST_GAIN = 1_000;

/** Weight of an ended job in a rewritten journal. */
const CLOSED_WEIGHT = 0.2;

/**
 * Keeps the journal short, so that a successor reads it quickly. When the journal has gained as much as what has to be kept,
 * everything that has to be kept is written again in slices, and what lies before can be trimmed. All rewriting together thus
 * writes about as much as the jobs themselves, at any size.
 */
export interface JobKeeping {
	stored(batch: number, offset: number, now: number): void;
	tick(now: number): void;
	/** Offset before which the journal holds nothing that a reader needs. */
	trimBefore(): number;
}

/** Creates the part of the engine that keeps the journal short. */
export function createJobKeeping(context: EngineContext): JobKeeping {
	const { jobs, settings } = context;
	/** What was rewritten in batches that are not stored yet. */
	const unstored: { readonly job: Job | 'term'; readonly batch: number }[] = [];
	/** Where this term is written down for the last time; a successor has to read it. */
	let termOffset = 0;
	let nextAt = 0;
	let sliceAt = 0;
	/** Jobs that this rewriting has still to write. */
	let toRewrite: Job[] = [];
	/** Weight of the journal when the last rewriting began. */
	let rewrittenAtWeight = 0;

	const showStates = (batch: number): void => {
		for (const job of context.endedJobs) {
			if (job.stateBatch <= batch) {
				job.shownState = job.state;
				context.endedJobs.delete(job);
			}
		}
	};

	const keptWeight = (): number => {
		let weight = 0;
		for (const job of jobs.all()) {
			weight += job.state === 'open' ? 1 + job.spec.steps.reduce((sum, { count }) => sum + count, 0) : CLOSED_WEIGHT;
		}
		return weight;
	};

	const keep = (now: number): void => {
		const forgotten: string[] = [];
		let isOld = false;
		for (const job of jobs.all()) {
			if (job.occurrences.size > 0) {
				jobs.compact(job);
			}
			if (job.state === 'open') {
				job.times = context.refreshTimes(job);
			}
			if (job.endedAt !== undefined && job.shownState !== 'open' && now > job.endedAt + settings.stateKeptMs) {
				forgotten.push(job.accepted.id);
			}
			isOld ||= now > job.baseAt + settings.rewriteAfterMs;
		}
		if (forgotten.length > 0) {
			context.record({ type: 'forgotten', jobs: forgotten }, now);
		}
		const gain = context.journalWeight - rewrittenAtWeight;
		// Until it is known that no predecessor is at work, a successor has to read of their terms.
		const mayRewrite = toRewrite.length === 0 && context.predecessor.stoppedAt !== undefined;
		if (mayRewrite && (isOld || gain > Math.max(LEAST_GAIN, keptWeight()))) {
			beginRewriting(now);
		}
	};

	const beginRewriting = (now: number): void => {
		context.recordTerm(now);
		context.record({ type: 'settled', term: context.term ?? 0 }, now);
		context.record({ type: 'learned', queues: context.durations.learned() }, now);
		unstored.push({ job: 'term', batch: context.nextBatch });
		context.hosts.isRewriteDue = true;
		toRewrite = [...jobs.all()];
		rewrittenAtWeight = context.journalWeight;
	};

	/** Jobs whose acceptance is not stored yet have their base to come. */
	const isRecorded = (job: Job): boolean =>
		jobs.get(job.accepted.id) === job && job.acceptedBatch <= context.storedBatch;

	const rewriteSlice = (now: number): void => {
		const weightBefore = context.journalWeight;
		const closed: ClosedJob[] = [];
		let open = 0;
		while (toRewrite[0] !== undefined && open < OPEN_PER_SLICE && closed.length < CLOSED_PER_SLICE) {
			const [job] = toRewrite.splice(0, 1);
			if (job === undefined || !isRecorded(job)) {
				continue;
			}
			const ended = closeJob(job);
			if (ended === undefined) {
				context.record(rewriteJob(job), now);
				open++;
			} else {
				closed.push(ended);
			}
			unstored.push({ job, batch: context.nextBatch });
		}
		if (closed.length > 0) {
			context.record({ type: 'closed', jobs: closed }, now);
		}
		rewrittenAtWeight += context.journalWeight - weightBefore;
	};

	return {
		stored: (batch, offset, now) => {
			showStates(batch);
			while (context.acceptedJobs[0] !== undefined && context.acceptedJobs[0].acceptedBatch <= batch) {
				const job = context.acceptedJobs.shift();
				if (job !== undefined) {
					job.baseOffset = offset;
					job.baseAt = now;
				}
			}
			while (unstored[0] !== undefined && unstored[0].batch <= batch) {
				const { job } = unstored[0];
				unstored.shift();
				if (job === 'term') {
					termOffset = offset;
				} else {
					job.baseOffset = offset;
					job.baseAt = now;
				}
			}
		},
		tick: now => {
			if (now >= nextAt) {
				nextAt = now + KEEP_EVERY_MS;
				keep(now);
			}
			if (toRewrite.length > 0 && now >= sliceAt) {
				sliceAt = now + SLICE_EVERY_MS;
				rewriteSlice(now);
			}
		},
		trimBefore: () => {
			let before = termOffset;
			for (const job of jobs.all()) {
				before = Math.min(before, job.baseOffset);
			}
			return before;
		},
	};
}
