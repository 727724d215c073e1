import { describe, expect, it } from 'vitest';
import {
	createEngineHarness,
	harnessJob,
	harnessQueue,
	harnessStep,
} from '@chestnutwheel/engine/test/engineHarness.js';
import type { LeaderTerm } from '../node/leader/leaderTerm.js';
import { idlePeerHandlers } from './idlePeerHandlers.js';

const JOB = '00000000000000a1';

describe('a cancel of an unknown job that waits for the proof of the term', () => {
	// The job was accepted while the answer waited. Its cancel was answered "no such job" afterwards, and its task started.
	it('is not answered "no such job" once the job has been accepted', async () => {
		const harness = createEngineHarness({
			pools: [{ name: 'desk', isStandby: false, guardsRoom: false }],
			queues: [harnessQueue('desk')],
		});
		harness.addWorker('w', 'desk');
		let confirm: (outcome: 'confirmed') => void = () => undefined;
		const term = {
			identity: { term: 10, entryHost: 'front-1', address: '10.0.0.1:7000' },
			proof: { ageMs: () => 0 },
			engine: harness.engine,
			flush: () => harness.setJournalAvailable(true),
			whenStored: () => Promise.resolve(),
			whenConfirmed: () => new Promise<'confirmed'>(resolve => (confirm = resolve)),
		} as unknown as LeaderTerm;
		const clock = { now: () => harness.now, wallNow: () => harness.now };
		const handlers = idlePeerHandlers({ whenTermBegun: () => Promise.resolve(term), clock });
		const answer = Promise.resolve(
			handlers['job.cancel']({ id: JOB, team: undefined }, { peerName: 'front-2', peer: undefined }),
		);
		await new Promise(resolve => setImmediate(resolve));
		harness.submit(JOB, 'desk', harnessJob(harnessStep({ count: 1 })));
		harness.advance(20);
		confirm('confirmed');
		const { type } = await answer;
		harness.advance(100);
		const isStarted = harness.confirmStarts() > 0;
		expect({ type, isStarted }).not.toEqual({ type: 'unknown-job', isStarted: true });
	});
});
