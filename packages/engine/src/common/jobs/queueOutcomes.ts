import { USEFUL_OBJECTIVE_MULTIPLE } from '../scheduling/stepUrgency.js';
import type { DecisionLogger } from '../engineMessages.js';
import type { Job, Step } from './job.js';

/** Interval between two lines about a queue, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** What became of the jobs of a queue since its last line, and what its late jobs waited for, summed over them. */
interface Outcomes {
	done: number;
	late: number;
	/** Number of jobs that were done when their result was of no use any more. */
	useless: number;
	/** Time from a step's becoming ready to the last start of its tasks, in milliseconds. */
	hostWaitMs: number;
	/** Time from there until its worker confirmed it, in milliseconds. */
	startWaitMs: number;
	unsuccessfulRuns: number;
}

/** Logs once a second, for each queue with late jobs, what they waited for. The lines of single jobs may be left out. */
export interface QueueOutcomes {
	/** Counts a job that is done. */
	recordDone(job: Job, now: number): void;
	/** Writes the lines that are due. */
	tick(now: number): void;
}

function waitOf({ timeline }: Step): Pick<Outcomes, 'hostWaitMs' | 'startWaitMs' | 'unsuccessfulRuns'> {
	const { readyAt, lastStartAt, lastConfirmedAt, unsuccessfulRuns } = timeline;
	const between = (from: number | undefined, to: number | undefined): number =>
		from === undefined || to === undefined ? 0 : Math.max(0, to - from);
	return {
		hostWaitMs: between(readyAt, lastStartAt),
		startWaitMs: between(lastStartAt, lastConfirmedAt),
		unsuccessfulRuns,
	};
}

/** Creates the log of the outcomes of all queues. */
export function createQueueOutcomes(logDecision: DecisionLogger): QueueOutcomes {
	const queues = new Map<string, Outcomes>();
	let nextLogAt = 0;

	const logLate = (queue: string, outcomes: Outcomes): void => {
		const { done, late, useless, unsuccessfulRuns } = outcomes;
		const mean = (sum: number): number => Math.round(sum / late);
		logDecision('jobs-late', {
			queue,
			done,
			late,
			useless,
			meanHostWaitMs: mean(outcomes.hostWaitMs),
			meanStartWaitMs: mean(outcomes.startWaitMs),
			unsuccessfulRuns,
		});
	};

	return {
		recordDone: ({ accepted, timing, occurrences }, now) => {
			const outcomes = queues.get(accepted.queue) ?? {
				done: 0,
				late: 0,
				useless: 0,
				hostWaitMs: 0,
				startWaitMs: 0,
				unsuccessfulRuns: 0,
			};
			queues.set(accepted.queue, outcomes);
			outcomes.done++;
			const tookMs = now - timing.acceptedAt;
			if (tookMs <= timing.objectiveMs) {
				return;
			}
			outcomes.late++;
			outcomes.useless += tookMs > USEFUL_OBJECTIVE_MULTIPLE * timing.objectiveMs ? 1 : 0;
			for (const step of occurrences.get(0)?.steps ?? []) {
				const { hostWaitMs, startWaitMs, unsuccessfulRuns } = waitOf(step);
				outcomes.hostWaitMs += hostWaitMs;
				outcomes.startWaitMs += startWaitMs;
				outcomes.unsuccessfulRuns += unsuccessfulRuns;
			}
		},
		tick: now => {
			if (now < nextLogAt) {
				return;
			}
			nextLogAt = now + LOG_INTERVAL_MS;
			for (const [queue, outcomes] of queues) {
				if (outcomes.late > 0) {
					logLate(queue, outcomes);
				}
			}
			queues.clear();
		},
	};
}
