import { fitsBeside } from '@chestnutwheel/ports/common/resources.js';
import type { AdvicePlan } from '@chestnutwheel/ports/common/fleetPlan.js';
import type { EngineContext } from '../engineContext.js';
import type { Step, Task } from '../jobs/job.js';
import { formatStepName } from '../jobs/taskName.js';
import type { TicketState } from './adviceRegistry.js';
import { effectiveDemand, hasRequiredLabel, type SchedulableWorker } from './placement.js';

/** Maximum number of workers named in one request, as stated by the port. */
const MAXIMUM_WORKERS = 100;

/**
 * Number of workers up to which a request names twice as many as there are tasks without a worker, because some may be denied.
 */
const SPARE_WORKERS = 12;

/** Placement penalty by what is known of a worker, so that requests name few workers and those of a rejected step never again. */
const ticketPenalty: Readonly<Record<TicketState, number>> = {
	held: 0,
	expired: 100,
	unknown: 200,
	denied: Infinity,
};

/** Assigns tasks to workers as if all workers with a finite penalty held tickets. */
export type TentativeAssignment = (
	penaltyOf: (worker: string) => number,
) => ReadonlyMap<Task, SchedulableWorker> | undefined;

/** Asks the advice service for tickets of the workers that waiting tasks need. */
export interface AdviceRequests {
	/** Returns the parameters of the advice service of a step's queue; `undefined` if it has none. */
	planOf(step: Step): AdvicePlan | undefined;
	/**
	 * Requests tickets for the workers that a step lacks. Each worker that is named takes time and is charged, and a gang of many
	 * members needs tickets of many workers at the same time. The tentative assignment prefers workers with valid tickets, then
	 * those whose tickets have expired, then workers that were not named before: each request shows who may run the step, until
	 * all that the step needs are known and one request renews their tickets.
	 * @param workers workers of the pool that may receive runs
	 * @returns the time from which a request may be sent, if one is needed and has to wait; otherwise `undefined`
	 */
	request(
		step: Step,
		assign: TentativeAssignment,
		workers: readonly SchedulableWorker[],
		now: number,
	): number | undefined;
}

/** Creates the component that asks for advice. */
export function createAdviceRequests(context: EngineContext): AdviceRequests {
	const { advice } = context;

	const planOf = (step: Step): AdvicePlan | undefined => context.queues.get(step.occurrence.job.accepted.queue)?.advice;

	/** Returns how many workers a request may name, so that the tickets of one are still valid after the next one. */
	const maximumWorkers = ({ decideMs, eachMs, validMs }: AdvicePlan): number =>
		Math.max(1, Math.min(MAXIMUM_WORKERS, Math.floor((validMs / 2 - decideMs) / Math.max(eachMs, 0.001))));

	return {
		planOf,
		request: (step, assign, workers, now) => {
			const plan = planOf(step);
			const requestAt = advice.nextRequestAt(step);
			if (plan === undefined || requestAt === undefined) {
				return undefined;
			}
			const limit = maximumWorkers(plan);
			// The members of a gang need tickets at the same time, also those that are valid already.
			const answeredBy = step.spec.isGang
				? now + plan.decideMs + plan.eachMs * Math.min(limit, step.waitingCount)
				: now;
			const stateOf = (worker: string): TicketState => advice.ticketState(step, worker, answeredBy);
			const assigned = [...(assign(worker => ticketPenalty[stateOf(worker)])?.values() ?? [])];
			const unadvised = assigned.filter(({ state }) => stateOf(state.worker) !== 'held');
			if (unadvised.length === 0) {
				return undefined;
			}
			if (now < requestAt) {
				return requestAt;
			}
			const needed = new Set(unadvised.map(({ state }) => state.worker));
			const spareCount = Math.max(0, Math.min(SPARE_WORKERS, 2 * unadvised.length) - needed.size);
			const racks = new Set(assigned.map(({ rack }) => rack));
			const isBoundToRack = step.spec.sameRack || step.spec.dataRack !== undefined;
			const spare = workers
				.filter(({ state }) => !needed.has(state.worker) && stateOf(state.worker) === 'unknown')
				.filter(worker => hasRoomFor(step, worker) && (!isBoundToRack || racks.has(worker.rack)))
				.sort((left, right) => left.state.usedResources.milliCores - right.state.usedResources.milliCores)
				.map(({ state }) => state.worker)
				.slice(0, spareCount);
			const { job, number } = step.occurrence;
			const path = { job: job.accepted.id, occurrence: number, step: step.number };
			const named = [...needed, ...spare].slice(0, limit);
			advice.recordRequest(step, named);
			context.emitNow({ type: 'advise', step: formatStepName(path), workers: named });
			return undefined;
		},
	};
}

/** Whether a worker has the label and the free resources that a task of the step needs. */
function hasRoomFor({ spec }: Step, worker: SchedulableWorker): boolean {
	const { state, resources } = worker;
	return hasRequiredLabel(spec, worker) && fitsBeside(effectiveDemand(spec), state.usedResources, resources);
}
