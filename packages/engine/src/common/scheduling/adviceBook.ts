import type { AdviceOutcome } from '@chestnutwheel/ports/common/hostService.js';
import type { Step } from '../jobs/job.js';
import { formatStepName } from '../jobs/taskName.js';

/** A ticket is not used in the last part of its time, which the start needs to arrive. */
const TICKET_MARGIN_MS = 400;

/** Time after which a question without a usable answer may be asked again. */
const ASK_AGAIN_MS = 300;

/** Questions open at once; the service answers one call of a daemon at a time. */
const MAXIMUM_OPEN_QUESTIONS = 4;

interface StepAdvice {
	/** Worker to ticket and the time until which it is good. */
	readonly tickets: Map<string, { readonly ticket: string; readonly until: number }>;
	/** Workers that were named in a question and may not run the step; the rule does not change. */
	readonly denied: Set<string>;
	isAsked: boolean;
	askAgainAt: number;
}

/** What the advice service has said about steps whose queue asks for it. */
export interface AdviceBook {
	/** Workers with a ticket that is still good. */
	allowed(step: Step, now: number): ReadonlySet<string>;
	ticket(step: Step, worker: string, now: number): string | undefined;
	/** Of some workers, those that a question should name; empty when none may be asked now. */
	unasked(step: Step, workers: readonly string[], now: number): readonly string[];
	asked(step: Step): void;
	answered(stepName: string, named: readonly string[], answer: AdviceOutcome, now: number): void;
	/** The worker did not take the ticket, so it began a new life or the ticket is too old. */
	refused(step: Step, worker: string): void;
	/** Forgets steps that are no longer waiting. */
	prune(isWaiting: (stepName: string) => boolean): void;
}

function nameOf(step: Step): string {
	const { occurrence, number } = step;
	return formatStepName({ job: occurrence.job.accepted.id, occurrence: occurrence.number, step: number });
}

/** Creates a book without advice. */
export function createAdviceBook(): AdviceBook {
	const steps = new Map<string, StepAdvice>();
	let openQuestions = 0;

	const adviceOf = (name: string): StepAdvice => {
		const known = steps.get(name);
		if (known !== undefined) {
			return known;
		}
		const created: StepAdvice = { tickets: new Map(), denied: new Set(), isAsked: false, askAgainAt: 0 };
		steps.set(name, created);
		return created;
	};

	return {
		allowed: (step, now) =>
			new Set(
				[...adviceOf(nameOf(step)).tickets]
					.filter(([, { until }]) => now < until - TICKET_MARGIN_MS)
					.map(([worker]) => worker),
			),
		ticket: (step, worker, now) => {
			const found = adviceOf(nameOf(step)).tickets.get(worker);
			return found !== undefined && now < found.until - TICKET_MARGIN_MS ? found.ticket : undefined;
		},
		unasked: (step, workers, now) => {
			const advice = adviceOf(nameOf(step));
			if (advice.isAsked || now < advice.askAgainAt || openQuestions >= MAXIMUM_OPEN_QUESTIONS) {
				return [];
			}
			return workers.filter(worker => {
				const found = advice.tickets.get(worker);
				return !advice.denied.has(worker) && (found === undefined || now >= found.until - TICKET_MARGIN_MS);
			});
		},
		asked: step => {
			adviceOf(nameOf(step)).isAsked = true;
			openQuestions++;
		},
		answered: (stepName, named, answer, now) => {
			openQuestions = Math.max(0, openQuestions - 1);
			const advice = steps.get(stepName);
			if (advice === undefined) {
				return;
			}
			advice.isAsked = false;
			if (answer.type !== 'advised') {
				advice.askAgainAt = now + ASK_AGAIN_MS;
				return;
			}
			const good = new Map(answer.workers.map(({ worker, ticket }) => [worker, ticket]));
			for (const worker of named) {
				const ticket = good.get(worker);
				if (ticket === undefined) {
					advice.denied.add(worker);
				} else {
					advice.tickets.set(worker, { ticket, until: now + answer.validMs });
				}
			}
		},
		refused: (step, worker) => adviceOf(nameOf(step)).tickets.delete(worker),
		prune: isWaiting => {
			for (const name of steps.keys()) {
				if (!isWaiting(name)) {
					steps.delete(name);
				}
			}
		},
	};
}
