import { createCounters } from '@chestnutwheel/base/common/counters.js';
import type { AppendOutcome, LogService } from '@chestnutwheel/ports/common/logService.js';
import { beforeEach, describe, expect, it, vi } from 'vitest';
import { createTermProof, type TermProof } from '../common/termProof.js';
import type { MemberList } from '../node/leadership/memberList.js';
import { maintainTerm, type MaintainedTerm } from '../node/leader/maintainTerm.js';
import type { PeerNetwork } from '../node/peers/peerNetwork.js';
import type { PlanCache } from '../node/plan/planCache.js';
import { leadershipSettings } from './leadershipSettings.js';
import { createVirtualTime, type VirtualTime } from './virtualTime.js';

const identity = { term: 1, entryHost: 'a', address: 'a:1' };
const self = { entryHost: 'a', address: 'a:1', incarnation: 'a-1' };
const STORE_DELAY_MS = 4;

let time: VirtualTime;
let proof: TermProof;
let renewedAt: number[];
let outcome: AppendOutcome;
let end: AbortController;

vi.mock('@chestnutwheel/base/node/delay.js', () => ({
	delay: (milliseconds: number, signal: AbortSignal) => time.sleep(milliseconds, signal),
}));

beforeEach(async () => {
	time = createVirtualTime();
	proof = createTermProof(time.clock);
	renewedAt = [];
	outcome = { type: 'appended', offset: 1, end: 2 };
	end = new AbortController();
	void maintainTerm(
		{
			identity,
			begun: new Promise<MaintainedTerm>(() => undefined),
			blockedSince: () => undefined,
			proof,
			predecessor: { type: 'none' },
			settings: leadershipSettings,
			self,
			log: {
				append: async () => {
					renewedAt.push(time.clock.now());
					await time.sleep(STORE_DELAY_MS);
					return outcome;
				},
				keyedRecord: () => new Uint8Array(),
			} as Partial<LogService> as LogService,
			network: { incoming: () => [] } as Partial<PeerNetwork> as PeerNetwork,
			members: { refresh: () => Promise.resolve(true), otherAddresses: () => [] } as Partial<MemberList> as MemberList,
			planCache: { current: () => undefined, waves: () => [] } as Partial<PlanCache> as PlanCache,
			clock: time.clock,
			counters: createCounters(),
			logDecision: () => undefined,
			resignation: new AbortController().signal,
			failure: new AbortController().signal,
			resignBy: () => Infinity,
			onFollowerStatus: () => undefined,
		},
		end.signal,
	);
	await time.advance(100);
});

const waitForConfirmation = (): Promise<boolean> => proof.whenConfirmed(time.clock.now(), end.signal);

describe('a caller that needs a confirmation of the term', () => {
	// Without work, the journal confirms nothing, and the record is renewed once a second.
	it('gets it from an early renewal of the leader record, which all callers share', async () => {
		const renewalsBefore = renewedAt.length;
		const answers = [waitForConfirmation(), waitForConfirmation()];
		await time.advance(20);
		answers.push(waitForConfirmation());
		await time.advance(30);
		expect(await Promise.all(answers)).toEqual([true, true, true]);
		expect(renewedAt.length - renewalsBefore).toBe(1);
		end.abort();
	});

	it('causes no renewal while appends to the journal confirm the term', async () => {
		const renewalsBefore = renewedAt.length;
		for (let call = 0; call < 20; call++) {
			const answer = waitForConfirmation();
			await time.advance(15);
			proof.confirm(proof.sendTime());
			expect(await answer).toBe(true);
		}
		expect(renewedAt.length - renewalsBefore).toBe(0);
		end.abort();
	});

	it('causes no renewals in quick succession while the store refuses them', async () => {
		outcome = { type: 'refused', reason: 'busy' };
		void waitForConfirmation();
		await time.advance(100);
		const renewalsBefore = renewedAt.length;
		await time.advance(1_000);
		expect(renewedAt.length - renewalsBefore).toBeLessThanOrEqual(4);
		end.abort();
	});
});
