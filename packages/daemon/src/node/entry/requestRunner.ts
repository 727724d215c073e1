import { randomUUID } from 'node:crypto';
import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { errorResponses, type ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import { kindError, errorKindOf, errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { Queue } from '@chestnutwheel/configuration/common/fleetState.js';
import type { AttemptOutcome, Grant } from '@chestnutwheel/dispatch/common/dispatchMessages.js';
import type { RequestAttempt, WorkerClient } from '@chestnutwheel/platform/common/workerClient.js';
import type { OnlyOnce } from '../../common/peerProtocol.js';
import type { Principal } from './authenticator.js';
import type { CallerAnswer, CallerRequest } from './callerRequest.js';
import type { FinishReporter } from './finishReporter.js';
import type { HeldGrants } from './heldGrants.js';
import type { Placement } from './placement.js';
import type { RetryBudget } from './retryBudget.js';

/** Runs one request: placement, attempts at endpoints, retries. */
export interface RequestRunner {
	/**
	 * @returns the endpoint's whole answer
	 * @throws an error whose kind says what is known about the work
	 */
	run(request: CallerRequest, queue: Queue, principal: Principal, cell: string): Promise<CallerAnswer>;
}

/** What the runner needs. */
export interface RequestRunnerOptions {
	readonly entryHost: string;
	readonly placement: Placement;
	readonly workers: WorkerClient;
	readonly held: HeldGrants;
	readonly reporter: FinishReporter;
	readonly budget: RetryBudget;
	readonly clock: Clock;
	readonly random: SeededRandom;
	readonly counters: Counters;
}

const MAXIMUM_ATTEMPTS = 3;
const RETRY_DELAY_BASE_MS = 25;
const RETRY_DELAY_CAP_MS = 400;

/** State of one request across its attempts. */
interface RequestProgress {
	readonly requestId: string;
	readonly request: CallerRequest;
	readonly queue: Queue;
	readonly principal: Principal;
	readonly cell: string;
	readonly onlyOnce: OnlyOnce | undefined;
	attempts: number;
	/** Whether an earlier attempt may have run; a refusal may then no longer say "not run". */
	mayHaveRun: boolean;
	readonly avoidHosts: string[];
}

/** What follows from the result of one attempt. */
type NextStep =
	| { readonly type: 'answer'; readonly answer: CallerAnswer }
	| { readonly type: 'fail'; readonly kind: ErrorKind; readonly message: string }
	| { readonly type: 'retry'; readonly otherwise: Exclude<NextStep, { type: 'retry' }> };

/** Creates a runner. */
export function createRequestRunner(options: RequestRunnerOptions): RequestRunner {
	const { clock, counters, random } = options;

	const runAttempt = async (progress: RequestProgress, grant: Grant): Promise<RequestAttempt> => {
		const { request, cell } = progress;
		if (request.signal.aborted || clock.now() >= request.deadline || !options.held.take(cell, grant)) {
			return { type: 'not-started', reason: 'start-by-passed' };
		}
		return options.workers.runRequest(grant.address, grant.permit, request.body, {
			contentType: request.contentType,
			deadline: request.deadline - clock.now(),
			signal: request.signal,
		});
	};

	const finish = (progress: RequestProgress, grant: Grant, outcome: AttemptOutcome, final: boolean): void => {
		options.held.drop(progress.cell, grant.grantId);
		options.reporter.report(progress.cell, {
			grantId: grant.grantId,
			host: grant.host,
			outcome,
			onlyOnce: progress.onlyOnce,
			team: progress.principal.team,
			final,
		});
	};

	const nextSteps: {
		readonly [Type in RequestAttempt['type']]: (
			result: Extract<RequestAttempt, { type: Type }>,
			progress: RequestProgress,
			grant: Grant,
		) => NextStep;
	} = {
		answer: (result, progress, grant) => {
			const answer: CallerAnswer = {
				requestId: progress.requestId,
				status: result.status,
				contentType: result.contentType ?? 'application/octet-stream',
				body: result.body,
				attempts: progress.attempts,
				host: grant.host,
			};
			progress.mayHaveRun = true;
			const mayRetry = result.status >= 500 && progress.request.repeatable;
			return mayRetry ? { type: 'retry', otherwise: { type: 'answer', answer } } : { type: 'answer', answer };
		},
		'not-started': (result, progress) => ({
			type: 'retry',
			otherwise: progress.request.signal.aborted
				? { type: 'fail', kind: 'cancelled', message: 'the caller has gone' }
				: { type: 'fail', kind: 'not-started', message: `no worker started the request: ${result.reason}` },
		}),
		unknown: (result, progress) => {
			progress.mayHaveRun = true;
			const failure: NextStep = { type: 'fail', kind: result.kind, message: result.message };
			return progress.request.repeatable ? { type: 'retry', otherwise: failure } : failure;
		},
	};

	const outcomes: Readonly<Record<RequestAttempt['type'], (result: RequestAttempt) => AttemptOutcome>> = {
		answer: result => (result.type === 'answer' && result.status >= 500 ? 'failed' : 'succeeded'),
		'not-started': () => 'not-started',
		unknown: () => 'unknown',
	};

	const mayTryAgain = (progress: RequestProgress): boolean =>
		progress.attempts < MAXIMUM_ATTEMPTS &&
		!progress.request.signal.aborted &&
		clock.now() < progress.request.deadline &&
		options.budget.take(progress.principal.team ?? '');

	const pauseBeforeRetry = async (progress: RequestProgress): Promise<void> => {
		const longest = Math.min(RETRY_DELAY_CAP_MS, RETRY_DELAY_BASE_MS * 2 ** progress.attempts);
		await delay(random.next() * longest, progress.request.signal);
	};

	/** Replaces a kind that says "not run" when an earlier attempt may have run. */
	const truthful = (progress: RequestProgress, kind: ErrorKind, message: string): Error => {
		const details = { requestId: progress.requestId };
		if (!progress.mayHaveRun || errorResponses[kind].outcome !== 'not-run') {
			return kindError(kind, message, { details });
		}
		return kindError(
			'endpoint-failed',
			`an earlier attempt may have run, and the retry ended with ${kind}: ${message}`,
		);
	};

	const place = async (progress: RequestProgress): Promise<Grant> => {
		const { request, principal } = progress;
		try {
			return await options.placement.ask({
				requestId: `${progress.requestId}.${progress.attempts}`,
				entryHost: options.entryHost,
				cell: progress.cell,
				team: principal.team,
				keyId: principal.keyId,
				queue: progress.queue.name,
				class: request.class,
				onlyOnce: progress.onlyOnce,
				avoidHosts: progress.avoidHosts,
				deadline: request.deadline,
				signal: request.signal,
			});
		} catch (error) {
			throw truthful(progress, errorKindOf(error), errorMessageOf(error));
		}
	};

	const attemptOnce = async (progress: RequestProgress): Promise<Exclude<NextStep, { type: 'retry' }> | undefined> => {
		progress.attempts++;
		const grant = await place(progress);
		const result = await runAttempt(progress, grant);
		const handler = nextSteps[result.type] as (
			result: RequestAttempt,
			progress: RequestProgress,
			grant: Grant,
		) => NextStep;
		const step = handler(result, progress, grant);
		const isRetried = step.type === 'retry' && mayTryAgain(progress);
		counters.add('attempts_total', { result: result.type });
		finish(progress, grant, outcomes[result.type](result), !isRetried);
		progress.avoidHosts.push(grant.host);
		if (isRetried) {
			return undefined;
		}
		return step.type === 'retry' ? step.otherwise : step;
	};

	return {
		run: async (request, queue, principal, cell) => {
			const requestId = randomUUID();
			const { repeatable, requestKey } = request;
			const progress: RequestProgress = {
				requestId,
				onlyOnce: repeatable || requestKey === undefined ? undefined : { requestKey, callerRequestId: requestId },
				request,
				queue,
				principal,
				cell,
				attempts: 0,
				mayHaveRun: false,
				avoidHosts: [],
			};
			options.budget.earn(principal.team ?? '');
			for (;;) {
				const step = await attemptOnce(progress);
				if (step?.type === 'answer') {
					return step.answer;
				}
				if (step?.type === 'fail') {
					throw truthful(progress, step.kind, step.message);
				}
				counters.add('retries_total');
				await pauseBeforeRetry(progress);
			}
		},
	};
}
