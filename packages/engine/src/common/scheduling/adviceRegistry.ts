import type { AdviceOutcome } from '@chestnutwheel/ports/common/hostService.js';
import type { Step } from '../jobs/job.js';
import { formatStepName } from '../jobs/taskName.js';

/** A ticket this close to its expiry is not used, because the start could reach the worker too late. */
const TICKET_EXPIRY_MARGIN_MS = 400;

/** Delay before a failed request is repeated. */
const RETRY_INTERVAL_MS = 300;

/** The advice service handles one call of a daemon at a time, so more concurrent requests would only queue up. */
const MAXIMUM_PENDING_REQUESTS = 4;

/** A ticket for a worker. */
interface Ticket {
	readonly ticket: string;
	readonly validUntil: number;
	/** Incarnation that was the current one when the ticket was requested. No other one accepts it. */
	readonly incarnation: number | undefined;
}

/** Advice received for one step. */
interface StepAdvice {
	/** Tickets by worker. */
	readonly tickets: Map<string, Ticket>;
	/** Incarnations of the workers that the newest request names, when it was sent. */
	requestedIncarnations: ReadonlyMap<string, number | undefined>;
	/** Requested workers that were denied; a denial for a step is final. */
	readonly denied: Set<string>;
	isRequestPending: boolean;
	nextRequestAt: number;
}

/**
 * What the advice service has said of a worker for a step:
 * - `held`: it granted a ticket, which is valid long enough,
 * - `expired`: it granted a ticket, to this incarnation of the worker or to a former one, and would grant another one, since its
 *   answer for a step does not change,
 * - `unknown`: the worker was not named yet,
 * - `denied`: the worker may not run the step.
 */
export type TicketState = 'held' | 'expired' | 'unknown' | 'denied';

/** Caches the answers of the advice service for steps whose queue requires advice. */
export interface AdviceRegistry {
	/** Returns the workers that hold a valid ticket for the step. */
	allowedWorkers(step: Step, now: number): ReadonlySet<string>;
	/** Returns the valid ticket of a worker for the step; `undefined` if there is none. */
	ticket(step: Step, worker: string, now: number): string | undefined;
	/** Returns what is known of a worker. @param neededUntil time until which a ticket has to be valid */
	ticketState(step: Step, worker: string, neededUntil: number): TicketState;
	/** Returns the time from which on a request for the step may be sent; `undefined` while others have to be answered first. */
	nextRequestAt(step: Step): number | undefined;
	/** Records that a request for the step was sent, which names the given workers. */
	recordRequest(step: Step, workers: readonly string[]): void;
	/** Records the answer to a request. @param requestedWorkers workers that the request named */
	recordAnswer(stepName: string, requestedWorkers: readonly string[], answer: AdviceOutcome, now: number): void;
	/** Discards a ticket that the worker rejected because it restarted or the ticket expired. */
	discardTicket(step: Step, worker: string): void;
	/** Removes the advice of steps that no longer wait. */
	prune(isWaiting: (stepName: string) => boolean): void;
}

function stepNameOf(step: Step): string {
	const { occurrence, number } = step;
	return formatStepName({ job: occurrence.job.accepted.id, occurrence: occurrence.number, step: number });
}

/**
 * Creates an empty registry.
 * @param currentIncarnation returns the current incarnation of a worker, since a ticket is valid during one incarnation only
 */
export function createAdviceRegistry(currentIncarnation: (worker: string) => number | undefined): AdviceRegistry {
	const steps = new Map<string, StepAdvice>();
	let pendingRequests = 0;

	const getOrCreateAdvice = (name: string): StepAdvice => {
		const existing = steps.get(name);
		if (existing !== undefined) {
			return existing;
		}
		const created: StepAdvice = {
			tickets: new Map(),
			requestedIncarnations: new Map(),
			denied: new Set(),
			isRequestPending: false,
			nextRequestAt: 0,
		};
		steps.set(name, created);
		return created;
	};

	const isValid = (worker: string, { validUntil, incarnation }: Ticket, until: number): boolean =>
		until < validUntil - TICKET_EXPIRY_MARGIN_MS && incarnation === currentIncarnation(worker);

	return {
		allowedWorkers: (step, now) =>
			new Set(
				[...getOrCreateAdvice(stepNameOf(step)).tickets]
					.filter(([worker, ticket]) => isValid(worker, ticket, now))
					.map(([worker]) => worker),
			),
		ticket: (step, worker, now) => {
			const found = getOrCreateAdvice(stepNameOf(step)).tickets.get(worker);
			return found !== undefined && isValid(worker, found, now) ? found.ticket : undefined;
		},
		ticketState: (step, worker, neededUntil) => {
			const { tickets, denied } = getOrCreateAdvice(stepNameOf(step));
			const found = tickets.get(worker);
			if (found === undefined) {
				return denied.has(worker) ? 'denied' : 'unknown';
			}
			return isValid(worker, found, neededUntil) ? 'held' : 'expired';
		},
		nextRequestAt: step => {
			const advice = getOrCreateAdvice(stepNameOf(step));
			const mustWait = advice.isRequestPending || pendingRequests >= MAXIMUM_PENDING_REQUESTS;
			return mustWait ? undefined : advice.nextRequestAt;
		},
		recordRequest: (step, workers) => {
			const advice = getOrCreateAdvice(stepNameOf(step));
			advice.isRequestPending = true;
			advice.requestedIncarnations = new Map(workers.map(worker => [worker, currentIncarnation(worker)]));
			pendingRequests++;
		},
		recordAnswer: (stepName, requestedWorkers, answer, now) => {
			pendingRequests = Math.max(0, pendingRequests - 1);
			const advice = steps.get(stepName);
			if (advice === undefined) {
				return;
			}
			advice.isRequestPending = false;
			if (answer.type !== 'advised') {
				advice.nextRequestAt = now + RETRY_INTERVAL_MS;
				return;
			}
			const grantedTickets = new Map(answer.workers.map(({ worker, ticket }) => [worker, ticket]));
			for (const worker of requestedWorkers) {
				const ticket = grantedTickets.get(worker);
				if (ticket === undefined) {
					advice.denied.add(worker);
				} else {
					const incarnation = advice.requestedIncarnations.get(worker);
					advice.tickets.set(worker, { ticket, validUntil: now + answer.validMs, incarnation });
				}
			}
		},
		discardTicket: (step, worker) => getOrCreateAdvice(stepNameOf(step)).tickets.delete(worker),
		prune: isWaiting => {
			for (const name of steps.keys()) {
				if (!isWaiting(name)) {
					steps.delete(name);
				}
			}
		},
	};
}
