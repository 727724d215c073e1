import { describe, expect, it } from 'vitest';
import { createWorkLedger, KEEP_RESULT_MS, type WorkLedger } from '../common/workLedger.js';
import type { WorkRecord } from '../common/workRecord.js';

const job = { jobId: 'j', team: 't', keyId: 'k', queue: 'q', payload: 'öl', repeatable: true };
const fold = (ledger: WorkLedger, term: number, record: Omit<WorkRecord, 'version' | 'term'> & object, now = 0) =>
	ledger.fold(ledger.offset + 1, JSON.stringify({ ...record, version: 1, term }), now);

function ledgerWithJob(): WorkLedger {
	const ledger = createWorkLedger({ cell: 'desk' });
	fold(ledger, 1, { type: 'job-accepted', job } as never);
	fold(ledger, 1, { type: 'job-started', jobId: 'j', taskId: 't1', host: 'h1' } as never);
	return ledger;
}

describe('work ledger', () => {
	it('ignores records of a lower term, so that a paused leader changes nothing after its successor', () => {
		const ledger = ledgerWithJob();
		fold(ledger, 2, { type: 'term-opened', leader: 'b' } as never);
		expect(fold(ledger, 1, { type: 'job-failed', jobId: 'j', reason: 'x' } as never)).toBe('stale-term');
		expect(ledger.job('j')?.state).toBe('running');
		expect([ledger.term, ledger.leader, ledger.verdicts['stale-term']]).toEqual([2, 'b', 1]);
	});

	it('refuses and counts a corrupt record, goes on behind it, and stops at a newer format', () => {
		const ledger = ledgerWithJob();
		expect(ledger.fold(2, '{"version":1', 0)).toBe('corrupt');
		expect(ledger.fold(3, '{"version":1,"term":1,"type":"job-cancelled"}', 0)).toBe('corrupt');
		expect(ledger.fold(3, '{}', 0)).toBe('behind');
		expect(ledger.fold(4, '{"version":2,"term":1,"type":"job-cancelled","jobId":"j"}', 0)).toBe('newer-format');
		expect(ledger.fold(5, '{"version":1,"term":1,"type":"job-cancelled","jobId":"j"}', 0)).toBe('newer-format');
		expect([ledger.offset, ledger.verdicts.corrupt, ledger.job('j')?.state]).toEqual([3, 2, 'running']);
	});

	it('lets neither a delayed job-started nor a record of an earlier task change the present task', () => {
		const ledger = ledgerWithJob();
		fold(ledger, 1, { type: 'job-started', jobId: 'j', taskId: 't2', host: 'h2' } as never);
		fold(ledger, 1, { type: 'job-started', jobId: 'j', taskId: 't1', host: 'h1' } as never);
		fold(ledger, 1, { type: 'job-finished', jobId: 'j', taskId: 't1', result: 'old' } as never);
		expect(ledger.job('j')).toMatchObject({ state: 'running', taskId: 't2', host: 'h2' });
	});

	it('keeps the first end of a job, and its result for 24 hours', () => {
		const ledger = ledgerWithJob();
		expect(ledger.jobBytes).toBe(3);
		fold(ledger, 1, { type: 'job-finished', jobId: 'j', taskId: 't1', result: 'done' } as never, 10);
		fold(ledger, 1, { type: 'job-cancelled', jobId: 'j' } as never, 11);
		expect(ledger.job('j')).toMatchObject({ state: 'finished', result: 'done' });
		expect(ledger.jobBytes).toBe(4);
		fold(ledger, 1, { type: 'term-opened', leader: 'a' } as never, KEEP_RESULT_MS + 9);
		expect(ledger.jobCount).toBe(1);
		fold(ledger, 1, { type: 'term-opened', leader: 'a' } as never, KEEP_RESULT_MS + 20_000);
		expect([ledger.jobCount, ledger.jobBytes]).toEqual([0, 0]);
	});

	it('frees a key only by the end of its own request under the term of its start', () => {
		const ledger = createWorkLedger({ cell: 'desk' });
		const key = { team: 't', requestKey: 'k', requestId: 'r' };
		const end = (term: number, requestId: string, outcome: string) => {
			fold(ledger, term, { type: 'requests-ended', ends: [{ ...key, requestId, outcome }] } as never);
			return ledger.requestKey('t', 'k', 0)?.state;
		};
		fold(ledger, 1, { type: 'requests-started', starts: [{ ...key, keepMs: 1_000 }] } as never);
		expect(end(1, 'other', 'not-run')).toBe('started');
		expect(end(2, 'r', 'not-run')).toBe('started');
		expect(end(2, 'r', 'ran')).toBe('ran');
	});

	it('restores a snapshot with its deadlines, and refuses a damaged, foreign or older one', () => {
		const ledger = ledgerWithJob();
		const start = { team: 't', requestKey: 'k', requestId: 'r', keepMs: 1_000 };
		fold(ledger, 1, { type: 'requests-started', starts: [start] } as never, 100);
		const text = ledger.serialize(600);
		const restored = createWorkLedger({ cell: 'desk' });
		expect(restored.restore(text.replace('öl', 'al'), 50)).toBe(false);
		expect(createWorkLedger({ cell: 'other' }).restore(text, 50)).toBe(false);
		expect(restored.restore(text, 50)).toBe(true);
		expect(restored.job('j')).toEqual(ledger.job('j'));
		expect([restored.offset, restored.term, restored.jobBytes]).toEqual([2, 1, 3]);
		expect(restored.requestKey('t', 'k', 549)?.requestId).toBe('r');
		expect(restored.requestKey('t', 'k', 550)).toBeUndefined();
		fold(restored, 1, { type: 'term-opened', leader: 'a' } as never);
		expect(restored.restore(text, 50)).toBe(false);
	});
});
