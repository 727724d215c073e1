import { describe, expect, it } from 'vitest';
import { createCounters } from '@chestnutwheel/base/common/counters.js';
import { errorKindOf, kindError } from '@chestnutwheel/base/common/kindError.js';
import type { LatencyRecorder } from '@chestnutwheel/base/node/latencyRecorder.js';
import type { Engine } from '@chestnutwheel/engine/common/engine.js';
import type { JobSpec } from '@chestnutwheel/ports/common/jobSpec.js';
import { createTermProof } from '../common/termProof.js';
import { createCallService, type CallContext, type CallRoute, type CallService } from '../node/entry/callService.js';
import { createLeaderClient, type LeaderClient } from '../node/entry/leaderClient.js';
import type { LeaderTerm } from '../node/leader/leaderTerm.js';
import type { LeaderElection } from '../node/leadership/leaderElection.js';
import type { PlanCache } from '../node/plan/planCache.js';
import { idlePeerHandlers } from './idlePeerHandlers.js';

const context: CallContext = {
	host: 'desk.example',
	path: '/drafts/a1',
	key: undefined,
	waitMs: 1_000,
	signal: new AbortController().signal,
};

const route = { queue: { name: 'drafts' }, team: undefined, planVersion: 1 } as Partial<CallRoute> as CallRoute;

const planCache = { current: () => undefined } as Partial<PlanCache> as PlanCache;

const decidedBy = { leader: 'front-1', term: 68 };

/** Time since the store confirmed the term when a call comes. */
const AGE_AT_CALL_MS = 900;

/** The same when the call is answered, since the answer waits for a newer confirmation. */
const PROOF_AGE_MS = 40;

/** Creates the call service of a daemon whose engine answers as the test specifies. */
function createService(engine: Partial<Engine>, unanswered?: Error) {
	let now = 10_000;
	const clock = { now: () => now, wallNow: () => now };
	const proof = createTermProof(clock);
	now += AGE_AT_CALL_MS;
	const confirm = (): void => {
		proof.confirm(proof.sendTime());
		now += PROOF_AGE_MS;
	};
	const term = {
		identity: { term: 68, entryHost: 'front-1', address: '10.0.0.1:7000' },
		proof,
		engine,
		flush: () => undefined,
		whenStored: () => {
			confirm();
			return Promise.resolve();
		},
		whenConfirmed: () => {
			confirm();
			return Promise.resolve('confirmed');
		},
		whenJobStored: () => Promise.resolve('withdrawn'),
	} as unknown as LeaderTerm;
	const handlers = idlePeerHandlers({ whenTermBegun: () => Promise.resolve(term), clock });
	const counters = createCounters();
	const leaderClient = createLeaderClient({
		election: { isLeading: true, leader: () => undefined } as Partial<LeaderElection> as LeaderElection,
		handlers: () => handlers,
		planCache,
		clock,
		counters,
	});
	const failingClient: LeaderClient = { call: () => Promise.reject(unanswered ?? new Error()) };
	const lines: Record<string, unknown>[] = [];
	const service = createCallService({
		planCache,
		leaderClient: unanswered === undefined ? leaderClient : failingClient,
		clock,
		counters,
		latencies: { record: () => undefined } as Partial<LatencyRecorder> as LatencyRecorder,
		logDecision: (decision, fields) => lines.push({ decision, ...fields }),
	});
	return { service, counters, lines };
}

const cancel = (service: CallService): Promise<unknown> =>
	service.cancel(route, 'a1', context).catch((error: unknown) => errorKindOf(error));

// A former leader acknowledged cancels that its successor did not know of, and no line named the job, the leader or its term.
describe('an acknowledged cancel', () => {
	it('is logged with the leader, its term and the age of its proof when the journal has stored it', async () => {
		const { service, counters, lines } = createService({ cancel: () => ({ type: 'cancelled', batch: 3 }) });
		expect(await cancel(service)).toBeUndefined();
		expect(lines).toEqual([
			{
				decision: 'cancel-answered',
				job: 'a1',
				answer: 'cancelled',
				...decidedBy,
				proofAgeMs: PROOF_AGE_MS,
			},
		]);
		expect(counters.value('cancels_total', { answer: 'cancelled' })).toBe(1);
	});

	it('is logged with the leader, its term and the age of its proof when the leader does not know the job', async () => {
		const { service, counters, lines } = createService({ cancel: () => ({ type: 'unknown-job', batch: 3 }) });
		expect(await cancel(service)).toBe('unknown-job');
		expect(lines).toEqual([
			{ decision: 'cancel-answered', job: 'a1', answer: 'unknown-job', ...decidedBy, proofAgeMs: PROOF_AGE_MS },
		]);
		expect(counters.value('cancels_total', { answer: 'unknown-job' })).toBe(1);
	});
});

describe('a cancel without an answer of the leader', () => {
	// Without the line, a cancel that may have taken effect cannot be told from one that was never sent.
	it('is logged with the kind of error and its reason', async () => {
		const { service, counters, lines } = createService({}, kindError('peer-unreachable', 'the leader did not answer'));
		expect(await cancel(service)).toBe('peer-unreachable');
		expect(lines).toEqual([
			{
				decision: 'cancel-unanswered',
				job: 'a1',
				kind: 'peer-unreachable',
				reason: 'the leader did not answer',
			},
		]);
		expect(counters.value('cancels_total', { answer: 'unanswered' })).toBe(1);
	});
});

describe('a request for the state of a job', () => {
	// A leader that has been replaced does not know the jobs of its successor, and its answer left no trace.
	it('is logged with the leader, its term and the age of its proof when the leader does not know the job', async () => {
		const { service, counters, lines } = createService({ state: () => ({ type: 'unknown-job' }) });
		const state = await service.state(route, 'a1', context).catch((error: unknown) => errorKindOf(error));
		expect(state).toBe('unknown-job');
		expect(lines).toEqual([{ decision: 'state-unknown', job: 'a1', ...decidedBy, proofAgeMs: PROOF_AGE_MS }]);
		expect(counters.value('states_unknown_total')).toBe(1);
	});

	it('is not logged when the leader knows the job', async () => {
		const { service, lines } = createService({ state: () => ({ type: 'state', state: 'running' }) });
		expect(await service.state(route, 'a1', context)).toBe('running');
		expect(lines).toEqual([]);
	});
});

describe('a refused submission', () => {
	const refusal = { type: 'refused', kind: 'overloaded', reason: 'busy', retryAfterMs: 1 } as const;

	// A job that runs after its refusal has two leaders to look at, and the line named neither.
	it.each([
		['the leader refuses it', { submit: () => refusal }, 'overloaded'],
		['the journal has stalled', { submit: () => ({ type: 'accepted', batch: 1 }) as const }, 'log-unavailable'],
	])('is logged with the term of the leader when %s', async (_case, decisions, kind) => {
		const engine = { ...decisions, plan: { version: 1 } } as unknown as Partial<Engine>;
		const { service, lines } = createService(engine);
		expect(await service.submit(route, 'a1', {} as JobSpec, context)).toMatchObject({ type: 'refused', kind });
		expect(lines).toEqual([
			{ decision: 'submission-refused', job: 'a1', queue: 'drafts', kind, term: 68, waitMs: 1_000 },
		]);
	});
});
