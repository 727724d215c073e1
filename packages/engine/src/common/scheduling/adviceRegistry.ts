import type { AdviceOutcome } from '@chestnutwheel/ports/common/hostService.js';
import type { Step } from '../jobs/job.js';
import { formatStepName } from '../jobs/taskName.js';

/** A ticket is not used in the last part of its time, which the start needs to arrive. */
const TICKET_EXPIRY_MARGIN_MS = 400;

/** Time after which a question without a usable answer may be asked again. */
const RETRY_INTERVAL_MS = 300;

/** Questions open at once; the service answers one call of a daemon at a time. */
const MAXIMUM_PENDING_REQUESTS = 4;

interface StepAdvice {
	/** Worker to ticket and the time until which it is good. */
	readonly tickets: Map<string, { readonly ticket: string; readonly validUntil: number }>;
	/** Workers that were named in a question and may not run the step; the rule does not change. */
	readonly denied: Set<string>;
	isRequestPending: boolean;
	nextRequestAt: number;
}

/** What the advice service has said about steps whose queue asks for it. */
export interface AdviceRegistry {
	/** Workers with a ticket that is still good. */
	allowedWorkers(step: Step, now: number): ReadonlySet<string>;
	ticket(step: Step, worker: string, now: number): string | undefined;
	/** Of some workers, those that a question should name; empty when none may be asked now. */
	selectForRequest(step: Step, workers: readonly string[], now: number): readonly string[];
	recordRequest(step: Step): void;
	recordAnswer(stepName: string, requestedWorkers: readonly string[], answer: AdviceOutcome, now: number): void;
	/** The worker did not take the ticket, so it began a new life or the ticket is too old. */
	discardTicket(step: Step, worker: string): void;
	/** Forgets steps that are no longer waiting. */
	prune(isWaiting: (stepName: string) => boolean): void;
}

function stepNameOf(step: Step): string {
	const { occurrence, number } = step;
	return formatStepName({ job: occurrence.job.accepted.id, occurrence: occurrence.number, step: number });
}

/** Creates a book without advice. */
export function createAdviceRegistry(): AdviceRegistry {
	const steps = new Map<string, StepAdvice>();
	let pendingRequests = 0;

	const getOrCreateAdvice = (name: string): StepAdvice => {
		const existing = steps.get(name);
		if (existing !== undefined) {
			return existing;
		}
		const created: StepAdvice = { tickets: new Map(), denied: new Set(), isRequestPending: false, nextRequestAt: 0 };
		steps.set(name, created);
		return created;
	};

	return {
		allowedWorkers: (step, now) =>
			new Set(
				[...getOrCreateAdvice(stepNameOf(step)).tickets]
					.filter(([, { validUntil: until }]) => now < until - TICKET_EXPIRY_MARGIN_MS)
					.map(([worker]) => worker),
			),
		ticket: (step, worker, now) => {
			const found = getOrCreateAdvice(stepNameOf(step)).tickets.get(worker);
			return found !== undefined && now < found.validUntil - TICKET_EXPIRY_MARGIN_MS ? found.ticket : undefined;
		},
		selectForRequest: (step, workers, now) => {
			const advice = getOrCreateAdvice(stepNameOf(step));
			if (advice.isRequestPending || now < advice.nextRequestAt || pendingRequests >= MAXIMUM_PENDING_REQUESTS) {
				return [];
			}
			return workers.filter(worker => {
				const found = advice.tickets.get(worker);
				return !advice.denied.has(worker) && (found === undefined || now >= found.validUntil - TICKET_EXPIRY_MARGIN_MS);
			});
		},
		recordRequest: step => {
			getOrCreateAdvice(stepNameOf(step)).isRequestPending = true;
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
					advice.tickets.set(worker, { ticket, validUntil: now + answer.validMs });
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
