import type { EngineContext } from '../engineContext.js';
import type { Job } from './job.js';

/** Time between two looks for jobs to forget or to write again. */
const KEEP_EVERY_MS = 1_000;

/** Jobs written again at once, so that one batch stays small. */
const REWRITES_AT_ONCE = 50;

/** Keeps the journal short: forgets ended jobs, and writes long ones again before their first record expires. */
export interface JobKeeping {
	stored(batch: number, offset: number, now: number): void;
	tick(now: number): void;
	/** Offset before which the journal holds nothing that a reader needs. */
	trimBefore(): number;
}

/** Creates the part of the engine that keeps the journal short. */
export function createJobKeeping(context: EngineContext): JobKeeping {
	const { jobs, settings } = context;
	/** Jobs whose base record is in a batch that is not stored yet, with that batch. */
	const rewritten: { readonly job: Job; readonly batch: number }[] = [];
	let nextAt = 0;

	const showStates = (batch: number): void => {
		for (const job of context.endedJobs) {
			if (job.stateBatch <= batch) {
				job.shownState = job.state;
				context.endedJobs.delete(job);
			}
		}
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
			while (rewritten[0] !== undefined && rewritten[0].batch <= batch) {
				const { job } = rewritten.shift() as { job: Job };
				job.baseOffset = offset;
				job.baseAt = now;
			}
		},
		tick: now => {
			if (now < nextAt) {
				return;
			}
			nextAt = now + KEEP_EVERY_MS;
			const forgotten: string[] = [];
			let rewrites = 0;
			for (const job of jobs.all()) {
				if (job.occurrences.size > 0) {
					jobs.compact(job);
				}
				if (job.state === 'open') {
					job.times = context.refreshTimes(job);
				}
				if (job.endedAt !== undefined && job.shownState !== 'open' && now > job.endedAt + settings.stateKeptMs) {
					forgotten.push(job.accepted.id);
				} else if (job.state === 'open' && now > job.baseAt + settings.rewriteAfterMs && rewrites < REWRITES_AT_ONCE) {
					context.record(jobs.rewrite(job), now);
					rewritten.push({ job, batch: context.nextBatch });
					rewrites++;
				}
			}
			if (forgotten.length > 0) {
				context.record({ type: 'forgotten', jobs: forgotten }, now);
			}
		},
		trimBefore: () => {
			let before = Infinity;
			for (const job of jobs.all()) {
				before = Math.min(before, job.baseOffset);
			}
			return before;
		},
	};
}
