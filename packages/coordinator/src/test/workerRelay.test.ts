import { setImmediate as nextTurn } from 'node:timers/promises';
import { createCounters } from '@chestnutwheel/base/common/counters.js';
import type {
	PollOutcome,
	PollRequest,
	StartOrder,
	StartOutcome,
	WorkerAddress,
	WorkerListing,
	WorkerService,
} from '@chestnutwheel/ports/common/workerService.js';
import { beforeEach, describe, expect, it, vi } from 'vitest';
import { relayOf } from '../common/relayChoice.js';
import type { NumberedCall } from '../common/workerCalls.js';
import type { PeerConnection } from '../node/peers/peerConnection.js';
import { createWorkerCallExecutor } from '../node/relay/workerCallExecutor.js';
import { createWorkerRelay, type WorkerRelay } from '../node/relay/workerRelay.js';

const listing: WorkerListing = {
	incarnation: 5,
	clockMs: 1_000,
	running: [{ task: 'a.0.0.0', run: 1, checkpoint: 'c', percent: 40, load: undefined }],
	ended: [{ index: 3, task: 'a.0.0.1', run: 2, end: 'done', checkpoint: '' }],
	mayHaveMoreEnds: false,
};
const request: PollRequest = { fencingToken: 1, acknowledged: 0, leaseUntilMs: 5_000, waitMs: 300 };
const order: StartOrder = {
	task: 'a.0.0.0',
	run: 1,
	fencingToken: 1,
	payload: 'x',
	startByMs: 9_000,
	checkpoint: '',
	ticket: undefined,
};
const target = (number: number): WorkerAddress => ({ worker: `w${number}`, address: `10.0.0.${number}:1` });
const unending = new AbortController().signal;

vi.mock('@chestnutwheel/base/node/delay.js', () => ({
	delay: (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds)),
}));

/** A follower that makes calls; it answers them unless it is frozen. */
interface ModelFollower {
	readonly name: string;
	readonly connection: PeerConnection;
	readonly workers: WorkerService;
	messages: number;
	answers: number;
	calls: number;
	isFrozen: boolean;
	isStopping: boolean;
	/** Outcome of all calls that it makes, in place of the workers' answers. */
	outcome: PollOutcome | undefined;
	close(): void;
}

let now = 0;
let relay: WorkerRelay;
let directCalls: string[];
let lines: string[];
let followers: ModelFollower[];
/** Newest term that the followers know. */
let newestTerm: number;

const clock = { now: () => now, wallNow: () => now };
const started: StartOutcome = { type: 'started', clockMs: 7 };

const createFollower = (name: string): ModelFollower => {
	const closed = new AbortController();
	const follower: ModelFollower = {
		name,
		messages: 0,
		answers: 0,
		calls: 0,
		isFrozen: false,
		isStopping: false,
		outcome: undefined,
		workers: {
			poll: () => Promise.resolve(follower.outcome ?? { type: 'listed', listing }),
			start: () => Promise.resolve(started),
		} as Partial<WorkerService> as WorkerService,
		connection: {
			get isOpen() {
				return !closed.signal.aborted;
			},
			closed: closed.signal,
			notify: (_method: string, { calls }: { calls: readonly NumberedCall[] }) => {
				follower.messages++;
				follower.calls += calls.length;
				if (!follower.isFrozen) {
					executor.execute(JSON.parse(JSON.stringify(calls)) as readonly NumberedCall[], leader);
				}
			},
		} as Partial<PeerConnection> as PeerConnection,
		close: () => closed.abort(),
	};
	const executor = createWorkerCallExecutor({
		workers: follower.workers,
		newestTerm: () => newestTerm,
		clock,
		counters: createCounters(),
	});
	void executor.run(closed.signal);
	const leader = {
		closed: closed.signal,
		notify: (_method: string, parameters: object) => {
			follower.answers++;
			const { outcomes } = JSON.parse(JSON.stringify(parameters)) as { outcomes: readonly unknown[] };
			relay.handleOutcomes(outcomes);
		},
	};
	return follower;
};

const heartbeat = (): void =>
	followers
		.filter(({ isFrozen, connection }) => !isFrozen && connection.isOpen)
		.forEach(({ name, connection, isStopping }) =>
			relay.updateFollower(connection, { entryHost: name, canLead: true, uptimeMs: 1, relaysWorkerCalls: !isStopping }),
		);

/** Advances the clock in steps, with a status of each follower every 250 ms. */
const advance = async (milliseconds: number): Promise<void> => {
	const until = now + milliseconds;
	while (now < until) {
		now += 50;
		if (now % 250 === 0) {
			heartbeat();
		}
		vi.advanceTimersByTime(50);
		for (let turn = 0; turn < 4; turn++) {
			await nextTurn();
		}
	}
};

const relayFor = (address: string): ModelFollower => {
	const chosen = relayOf(
		followers.map(({ name }) => ({ entryHost: name, canLead: true })),
		address,
	);
	const follower = followers.find(({ name }) => name === chosen?.entryHost);
	if (follower === undefined) {
		throw new Error('no follower relays');
	}
	return follower;
};

beforeEach(() => {
	vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout'] });
	now = 0;
	newestTerm = 1;
	directCalls = [];
	lines = [];
	const direct: WorkerService = {
		poll: ({ worker }) => {
			directCalls.push(`poll ${worker}`);
			return Promise.resolve({ type: 'listed', listing });
		},
		start: ({ worker }) => {
			directCalls.push(`start ${worker}`);
			return Promise.resolve(started);
		},
		stop: ({ worker }) => {
			directCalls.push(`stop ${worker}`);
			return Promise.resolve({ type: 'done', clockMs: 1 });
		},
		pace: () => Promise.resolve({ type: 'done', clockMs: 1 }),
		closeConnections: () => undefined,
	};
	relay = createWorkerRelay({
		direct,
		clock,
		counters: createCounters(),
		logDecision: (decision, details) => lines.push(`${decision} ${String(details.reason ?? details.relays)}`),
		relayFromFollowers: 3,
	});
	followers = ['a', 'b', 'c'].map(createFollower);
	heartbeat();
});

describe('the calls of a leader', () => {
	// At several hundred starts a second the leader spent most of its processor time on HTTP, one call after the other.
	it('go to followers in a few messages, and have the outcomes of the workers', async () => {
		const calls = Array.from({ length: 100 }, (_, number) => [
			relay.poll(target(number), request, unending),
			relay.start(target(number), order, unending),
		]);
		await advance(100);
		for (const [poll, start] of calls) {
			expect(await poll).toEqual({ type: 'listed', listing });
			expect(await start).toEqual(started);
		}
		expect(directCalls).toEqual([]);
		expect(followers.reduce((sum, { calls }) => sum + calls, 0)).toBe(200);
		expect(followers.every(({ messages, answers }) => messages === 1 && answers === 1)).toBe(true);
	});

	it('are made by itself while too few followers are known', async () => {
		followers[0]?.close();
		await advance(250);
		expect(await relay.start(target(1), order, unending)).toEqual(started);
		expect(directCalls).toEqual(['start w1']);
	});

	it('are made by itself for stops', async () => {
		await relay.stop(target(1), { task: 'a.0.0.0', run: 1 }, 1, unending);
		expect(directCalls).toEqual(['stop w1']);
	});
});

describe('a relay that is lost', () => {
	it('leaves polls to the leader, and the outcomes of starts unknown', async () => {
		const follower = relayFor(target(1).address);
		follower.isFrozen = true;
		const poll = relay.poll(target(1), request, unending);
		const start = relay.start(target(1), order, unending);
		await advance(50);
		follower.close();
		await advance(150);
		expect((await poll).type).toBe('listed');
		expect((await start).type).toBe('silent');
		expect(directCalls).toEqual(['poll w1']);
		expect(lines).toEqual(['worker-relays-chosen 3', 'worker-relay-suspended closed']);
	});

	it('is noticed by its missing status, long before the calls would time out', async () => {
		const follower = relayFor(target(1).address);
		follower.isFrozen = true;
		const poll = relay.poll(target(1), { ...request, waitMs: 20_000 }, unending);
		const settled = vi.fn();
		void poll.then(settled);
		await advance(1_000);
		expect(settled).toHaveBeenCalled();
	});

	it('gets no calls for some time', async () => {
		const follower = relayFor(target(1).address);
		follower.isFrozen = true;
		void relay.poll(target(1), request, unending);
		await advance(1_000);
		follower.isFrozen = false;
		const before = follower.calls;
		await advance(250);
		void relay.poll(target(1), request, unending);
		await advance(50);
		expect(follower.calls).toBe(before);
		await advance(2_000);
		void relay.poll(target(1), request, unending);
		await advance(50);
		expect(follower.calls).toBe(before + 1);
	});
});

describe('a relay that is much slower than the others', () => {
	// Its workers would be called late for as long as its machine is slow, while its statuses arrive in time.
	it('gets no calls for some time', async () => {
		const slow = relayFor(target(1).address);
		slow.workers.start = () =>
			new Promise(resolve => {
				setTimeout(() => resolve(started), 400);
			});
		for (let round = 0; round < 10; round++) {
			for (let number = 0; number < 30; number++) {
				void relay.start(target(number), order, unending);
			}
			await advance(250);
		}
		// Its share of the calls would be a hundred.
		expect(slow.calls).toBeLessThan(40);
	});

	it('keeps its calls if all are slow, as while the leader is short of processor time', async () => {
		followers.forEach(follower => {
			follower.workers.start = () =>
				new Promise(resolve => {
					setTimeout(() => resolve(started), 400);
				});
		});
		for (let round = 0; round < 10; round++) {
			for (let number = 0; number < 30; number++) {
				void relay.start(target(number), order, unending);
			}
			await advance(250);
		}
		expect(directCalls).toEqual([]);
		expect(Math.min(...followers.map(({ calls }) => calls))).toBeGreaterThan(50);
	});
});

describe('a relay that is about to stop', () => {
	it('gets no further calls, and still answers those that it has', async () => {
		const follower = relayFor(target(1).address);
		let answer: (outcome: PollOutcome) => void = () => undefined;
		follower.workers.poll = () =>
			new Promise(resolve => {
				answer = resolve;
			});
		const poll = relay.poll(target(1), { ...request, waitMs: 2_000 }, unending);
		await advance(100);
		follower.isStopping = true;
		await advance(1_000);
		await relay.start(target(1), order, unending);
		expect(follower.calls).toBe(1);
		answer({ type: 'listed', listing });
		await advance(100);
		expect(await poll).toEqual({ type: 'listed', listing });
		expect(directCalls).toEqual(['start w1']);
	});
});

describe('a leader that was replaced without its knowledge', () => {
	it('learns it from the followers, which make no call for it', async () => {
		newestTerm = 2;
		const poll = relay.poll(target(1), request, unending);
		const start = relay.start(target(1), order, unending);
		await advance(100);
		expect(await poll).toEqual({ type: 'refused', reason: 'fenced' });
		expect(await start).toMatchObject({ type: 'not-started', reason: 'fenced' });
	});
});

describe('a worker that its relay does not reach', () => {
	it('is called by the leader itself for some time', async () => {
		const follower = relayFor(target(1).address);
		follower.outcome = { type: 'silent', reason: 'no answer' };
		const first = relay.poll(target(1), request, unending);
		await advance(100);
		expect((await first).type).toBe('silent');
		expect((await relay.poll(target(1), request, unending)).type).toBe('listed');
		expect(directCalls).toEqual(['poll w1']);
		follower.outcome = undefined;
		await advance(5_500);
		void relay.poll(target(1), request, unending);
		await advance(50);
		expect(directCalls).toEqual(['poll w1']);
	});
});

describe('an outcome that cannot be decoded', () => {
	it.each([
		['no outcome', null],
		['an unknown type', { type: 'exploded' }],
		['an outcome of a start', started],
		['a listing without rows', { type: 'listed', listing: { incarnation: 1, clockMs: 1 } }],
		['a listing with other rows', { type: 'listed', listing: { ...listing, running: [5], ended: [] } }],
	])('counts as missing: %s', async (_name, outcome) => {
		followers.forEach(follower => (follower.isFrozen = true));
		const poll = relay.poll(target(1), request, unending);
		await nextTurn();
		relay.handleOutcomes([5, [1], [999, outcome], [1, outcome]]);
		expect(await poll).toEqual({ type: 'listed', listing });
		expect(directCalls).toEqual(['poll w1']);
	});
});

describe('a call whose sender has ended', () => {
	it('is settled at once, and its outcome is ignored', async () => {
		followers.forEach(follower => (follower.isFrozen = true));
		const end = new AbortController();
		const start = relay.start(target(1), order, end.signal);
		end.abort();
		expect((await start).type).toBe('silent');
		relay.handleOutcomes([[1, started]]);
	});
});
