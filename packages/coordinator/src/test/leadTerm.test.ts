import { createCounters } from '@chestnutwheel/base/common/counters.js';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import { beforeEach, describe, expect, it, vi } from 'vitest';
import type { MemberList } from '../node/leadership/memberList.js';
import type { MaintainedTerm } from '../node/leader/maintainTerm.js';
import { createTermLeader, type TermLeader } from '../node/leader/leadTerm.js';
import type { BlockedListener } from '../node/journal/readJournal.js';
import type { PeerNetwork } from '../node/peers/peerNetwork.js';
import type { PlanCache } from '../node/plan/planCache.js';
import { leadershipSettings } from './leadershipSettings.js';
import { createVirtualTime, type VirtualTime } from './virtualTime.js';

const identity = { term: 1, entryHost: 'a', address: 'a:1' };
const self = { entryHost: 'a', address: 'a:1', incarnation: 'a-1' };
const begunTerm: MaintainedTerm = {
	engine: { predecessorStopped: () => undefined },
	flush: () => undefined,
	quiesce: () => undefined,
	lost: new Promise(() => undefined),
	journal: { isBusy: false, unansweredSince: undefined },
};

let time: VirtualTime;
let leader: TermLeader<MaintainedTerm>;
let begin: () => void;
let block: BlockedListener;

vi.mock('@chestnutwheel/base/node/delay.js', () => ({
	delay: (milliseconds: number, signal: AbortSignal) => time.sleep(milliseconds, signal),
}));

beforeEach(() => {
	time = createVirtualTime();
	leader = createTermLeader<MaintainedTerm>({
		begin: (_identity, _proof, onBlocked) => {
			block = onBlocked;
			return new Promise(resolve => {
				begin = () => resolve(begunTerm);
			});
		},
		settings: leadershipSettings,
		self,
		log: {
			append: () => Promise.resolve({ type: 'appended', offset: 0, end: 1 }),
			keyedRecord: () => new Uint8Array(),
		} as Partial<LogService> as LogService,
		network: { incoming: () => [] } as Partial<PeerNetwork> as PeerNetwork,
		members: { refresh: () => Promise.resolve(true), otherAddresses: () => [] } as Partial<MemberList> as MemberList,
		planCache: { current: () => undefined, waves: () => [] } as Partial<PlanCache> as PlanCache,
		clock: time.clock,
		counters: createCounters(),
		logDecision: () => undefined,
		resignation: new AbortController().signal,
		resignBy: () => Infinity,
		onFollowerStatus: () => undefined,
	});
});

describe('a takeover of the journal that completes after its term has ended', () => {
	// Its engine answered "no such job" for all jobs accepted since, until the next term of the daemon had begun.
	it('leaves no term that answers callers, neither afterwards nor during the next takeover', async () => {
		const end = new AbortController();
		const ended = leader.lead(identity, { type: 'none' }, end.signal);
		const beginLate = begin;
		end.abort();
		await time.advance(0);
		await ended;
		beginLate();
		await time.advance(0);
		expect(await leader.whenBegun(250)).toBeUndefined();

		const next = new AbortController();
		void leader.lead({ ...identity, term: 2 }, { type: 'none' }, next.signal);
		const answer = vi.fn();
		void leader.whenBegun(250).then(answer);
		await time.advance(100);
		expect(answer).not.toHaveBeenCalled();
		begin();
		await time.advance(0);
		expect(answer).toHaveBeenCalledWith(begunTerm);
		next.abort();
	});
});

describe('a takeover of the journal whose call fails as its term ends', () => {
	// The daemon reported a blocked takeover while it followed, and its next term counted as not served since then.
	it('does not count as blocked', async () => {
		const end = new AbortController();
		const ended = leader.lead(identity, { type: 'none' }, end.signal);
		end.abort();
		await time.advance(0);
		await ended;
		block(true);
		expect(leader.blockedSince()).toBeUndefined();
	});
});

// Each waiting caller asked the new leader again every 25 ms, a thousand times in all before it could start a task.
describe('a call that arrives while the journal is being taken over', () => {
	const lead = (): AbortController => {
		const end = new AbortController();
		void leader.lead(identity, { type: 'none' }, end.signal);
		return end;
	};

	it('is handled as soon as the term has begun', async () => {
		const end = lead();
		const answer = vi.fn();
		void leader.whenBegun(250).then(answer);
		await time.advance(100);
		expect(answer).not.toHaveBeenCalled();
		begin();
		await time.advance(0);
		expect(answer).toHaveBeenCalledWith(begunTerm);
		end.abort();
	});

	it('is turned away after the given time', async () => {
		const end = lead();
		const answer = vi.fn();
		void leader.whenBegun(250).then(answer);
		await time.advance(260);
		expect(answer).toHaveBeenCalledWith(undefined);
		end.abort();
	});

	it('is turned away at once while the store does not serve the takeover, and by a daemon that does not lead', async () => {
		expect(await leader.whenBegun(250)).toBeUndefined();
		const end = lead();
		block(true);
		expect(await leader.whenBegun(250)).toBeUndefined();
		end.abort();
	});
});
