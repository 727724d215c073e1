import { errorResponses } from '@chestnutwheel/base/common/errorKinds.js';
import { createRequestRecorder, type RequestRecorder } from '../common/requestRecorder.js';
import { createWorkLedger, type WorkLedger } from '../common/workLedger.js';
import type { AppendResult, RecorderEffect, RecorderMessage } from '../common/workMessages.js';

const KEYS = 2;

/** Kinds of steps, with how often a random history takes each. */
export const requestStepWeights = {
	ask: 6,
	again: 2,
	answer: 8,
	land: 2,
	read: 8,
	advance: 2,
	elect: 1,
	end: 4,
	withdraw: 2,
	restart: 1,
};

/** One step of a history; `choice` picks among what is there, `amount` is a count, a time or a variant. */
export interface RequestStep {
	readonly kind: keyof typeof requestStepWeights;
	readonly leader: number;
	readonly choice: number;
	readonly amount: number;
}

/** What the worker side and the callers counted. */
export interface RequestModelResult {
	/** Most runs of one key. */
	readonly mostRuns: number;
	/** Requests that one leader both granted and reported as "not run". */
	readonly contradictions: number;
	readonly grants: number;
	/** Whether a new key starts under a new leader with a healthy log. */
	readonly lastStarted: boolean;
}

interface Leader {
	ledger: WorkLedger;
	recorder: RequestRecorder;
	generation: number;
}

/**
 * Two leaders that may both believe to lead, a log that loses, delays and fails appends, and a worker side that
 * counts the runs of each key and has no fence of its own.
 */
export function runRequestModel(steps: readonly RequestStep[]): RequestModelResult {
	const createLeader = (generation: number): Leader => {
		const ledger = createWorkLedger({ cell: 'desk' });
		return { ledger, recorder: createRequestRecorder({ ledger }), generation };
	};
	const leaders = [createLeader(0), createLeader(0)];
	const log: string[] = [];
	const open: { leader: Leader; generation: number; appendId: string; value: string }[] = [];
	const late: string[] = [];
	const keyById = new Map<string, number>();
	const granted: { leader: Leader; generation: number; requestId: string }[] = [];
	/** What one leader process has said of one request since it was last asked. */
	const claimOf = (leader: Leader, requestId: string): string =>
		`${leaders.indexOf(leader)}/${leader.generation}/${requestId}`;
	const grantedClaims = new Set<string>();
	const runsByKey = new Map<number, number>();
	const notRun = new Set<string>();
	let now = 0;
	let contradictions = 0;
	let grants = 0;
	let term = 0;

	const run = (requestId: string): void => {
		const key = keyById.get(requestId) ?? -1;
		runsByKey.set(key, (runsByKey.get(key) ?? 0) + 1);
	};
	const take = (leader: Leader, effects: readonly RecorderEffect[]): void => {
		for (const effect of effects) {
			if (effect.type === 'append') {
				open.push({ leader, generation: leader.generation, ...effect });
			} else if (effect.type === 'may-start') {
				const claim = claimOf(leader, effect.requestId);
				contradictions += notRun.has(claim) ? 1 : 0;
				grantedClaims.add(claim);
				grants++;
				granted.push({ leader, generation: leader.generation, requestId: effect.requestId });
			} else if (errorResponses[effect.kind].outcome === 'not-run') {
				const claim = claimOf(leader, effect.requestId);
				contradictions += grantedClaims.has(claim) ? 1 : 0;
				notRun.add(claim);
			}
		}
	};
	const tell = (leader: Leader, message: RecorderMessage): void => take(leader, leader.recorder.handle(message, now));
	const read = (leader: Leader, count: number): void => {
		log.slice(leader.ledger.offset + 1, leader.ledger.offset + 1 + count).forEach(value => {
			leader.ledger.fold(leader.ledger.offset + 1, value, now);
		});
		tell(leader, { type: 'ledger-folded' });
	};
	const ask = (leader: Leader, key: number): string => {
		const requestId = `request-${keyById.size}`;
		keyById.set(requestId, key);
		const deadline = now + 2_000;
		tell(leader, { type: 'record-request', requestId, team: 'desk', requestKey: `key-${key}`, deadline });
		return requestId;
	};
	/** Asks once more with a known id, as when an answer was lost; the first grant may still run. */
	const askAgain = (leader: Leader, choice: number): void => {
		const candidates = [...keyById];
		const [requestId, key] = candidates[choice % Math.max(1, candidates.length)] ?? [];
		if (requestId !== undefined) {
			notRun.delete(claimOf(leader, requestId));
			grantedClaims.delete(claimOf(leader, requestId));
			tell(leader, {
				type: 'record-request',
				requestId,
				team: 'desk',
				requestKey: `key-${key ?? 0}`,
				deadline: now + 2_000,
			});
		}
	};
	const pick = <Item>(items: Item[], choice: number): Item | undefined =>
		items.length === 0 ? undefined : items.splice(choice % items.length, 1)[0];

	const actions: Readonly<Record<RequestStep['kind'], (leader: Leader, given: RequestStep) => void>> = {
		ask: (leader, { choice }) => void ask(leader, choice % KEYS),
		again: (leader, { choice }) => askAgain(leader, choice),
		answer: (_leader, { choice, amount }) => {
			const append = pick(open, choice);
			if (append === undefined) {
				return;
			}
			// Landed and answered, landed with the answer lost, lands later, certainly not appended.
			const result = (['appended', 'appended', 'unknown', 'unknown', 'failed'] as const)[amount % 5] ?? 'failed';
			if (result === 'appended' || amount % 5 === 2) {
				log.push(append.value);
			} else if (result === 'unknown') {
				late.push(append.value);
			}
			answerAppend(append, result);
		},
		land: (_leader, { choice }) => {
			const value = pick(late, choice);
			if (value !== undefined) {
				log.push(value);
			}
		},
		read: (leader, { amount }) => read(leader, amount % 8),
		advance: (_leader, { amount }) => {
			now += amount;
			leaders.forEach(leader => tell(leader, { type: 'tick' }));
		},
		elect: (leader, { amount }) => {
			term++;
			tell(leader, { type: 'lease-held', term, until: now + 200 + amount * 10 });
		},
		end: (_leader, { choice, amount }) => {
			const ended = pick(granted, choice);
			if (ended !== undefined) {
				const outcome = (['ran', 'unknown', 'not-run'] as const)[amount % 3] ?? 'ran';
				if (outcome !== 'not-run') {
					run(ended.requestId);
				}
				if (ended.leader.generation === ended.generation) {
					tell(ended.leader, { type: 'request-ended', requestId: ended.requestId, outcome });
				}
			}
		},
		withdraw: (leader, { choice }) => {
			const requestId = [...keyById.keys()][choice % Math.max(1, keyById.size)];
			if (requestId !== undefined) {
				tell(leader, { type: 'withdraw-request', requestId });
			}
		},
		restart: (leader, { choice }) => {
			const other = leaders.find(candidate => candidate !== leader);
			const snapshot = other?.ledger.serialize(now) ?? '';
			Object.assign(leader, createLeader(leader.generation + 1));
			if (choice % 2 === 0) {
				leader.ledger.restore(snapshot, now);
			}
		},
	};
	const answerAppend = (append: (typeof open)[number], result: AppendResult): void => {
		if (append.leader.generation === append.generation) {
			tell(append.leader, { type: 'append-ended', appendId: append.appendId, result });
		}
	};

	leaders.forEach(leader => tell(leader, { type: 'lease-held', term: ++term, until: 2_000 }));
	for (const given of steps) {
		const leader = leaders[given.leader];
		if (leader !== undefined) {
			actions[given.kind](leader, given);
		}
	}
	// Whatever is still granted may run as well.
	granted.splice(0).forEach(({ requestId }) => run(requestId));

	// With a healthy log a new leader starts a new key.
	now += 5_000;
	const successor = createLeader(0);
	tell(successor, { type: 'lease-held', term: term + 1, until: now + 1_000 });
	read(successor, log.length);
	open.length = 0;
	const last = ask(successor, KEYS);
	open.splice(0).forEach(append => log.push(append.value));
	read(successor, log.length);
	return {
		mostRuns: Math.max(0, ...runsByKey.values()),
		contradictions,
		grants,
		lastStarted: grantedClaims.has(claimOf(successor, last)),
	};
}
