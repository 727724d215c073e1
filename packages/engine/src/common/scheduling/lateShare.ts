import type { Step } from '../jobs/job.js';
import { USEFUL_OBJECTIVE_MULTIPLE, type StepUrgency } from './stepUrgency.js';

/** Part of a pool's room that jobs receive that can no longer be in time, while others that can are waiting. */
export const MINIMUM_LATE_SHARE = 0.1;

/** Most unused room that late jobs may save up, in milliseconds of the whole room of the pool. */
const MAXIMUM_CREDIT_MS = 300;

/** Guarantees jobs that will be late a part of each pool's room. */
export interface LateShare {
	/** Whether late jobs of a pool are due to receive room. */
	isDue(pool: string, now: number): boolean;
	/** Records the start of late work, in milliseconds of the whole room of the pool. */
	spend(pool: string, workMs: number): void;
}

/**
 * Creates the shares of late jobs. Under a load that stays above the room of a pool there are always jobs that can still be
 * in time, so that those that were let in and cannot be would wait until the load ends. Those that have waited longest
 * therefore receive a tenth of the room, so that each accepted job ends.
 */
export function createLateShare(): LateShare {
	const credits = new Map<string, { creditMs: number; at: number }>();
	return {
		isDue: (pool, now) => {
			const credit = credits.get(pool) ?? { creditMs: 0, at: now };
			credit.creditMs = Math.min(MAXIMUM_CREDIT_MS, credit.creditMs + MINIMUM_LATE_SHARE * (now - credit.at));
			credit.at = now;
			credits.set(pool, credit);
			return credit.creditMs > 0;
		},
		spend: (pool, workMs) => {
			const credit = credits.get(pool);
			if (credit !== undefined) {
				credit.creditMs -= workMs;
			}
		},
	};
}

/** Most late steps that are tried in one pass, since the oldest of them may have no worker that it may use. */
const MAXIMUM_LATE_STEPS = 8;

/**
 * Returns the waiting steps that receive the room of late jobs next, the oldest first: those of jobs that have waited for twice
 * as long as their results could be useful. Jobs that have waited less run when there is room.
 */
export function findLateSteps(
	steps: readonly { readonly step: Step; readonly urgency: StepUrgency }[],
	now: number,
): readonly Step[] {
	const isForgotten = ({ occurrence }: Step): boolean => {
		const { acceptedAt, objectiveMs } = occurrence.job.timing;
		return now > acceptedAt + 2 * USEFUL_OBJECTIVE_MULTIPLE * objectiveMs;
	};
	return steps
		.filter(({ urgency }) => urgency.deadlineClass !== 'objective' || urgency.exceedsTeamShare)
		.map(({ step }) => step)
		.filter(isForgotten)
		.sort((left, right) => left.occurrence.job.timing.acceptedAt - right.occurrence.job.timing.acceptedAt)
		.slice(0, MAXIMUM_LATE_STEPS);
}
