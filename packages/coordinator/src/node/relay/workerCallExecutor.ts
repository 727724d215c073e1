import { setMaxListeners } from 'node:events';
import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import { termOfWorkerFence } from '@chestnutwheel/ports/common/workerFence.js';
import type { PollOutcome, StartOutcome, WorkerService } from '@chestnutwheel/ports/common/workerService.js';
import type { PeerCaller } from '../../common/peerProtocol.js';
import { encodeOutcome, type NumberedCall, type NumberedOutcome, type WorkerCall } from '../../common/workerCalls.js';

/** Time for which outcomes are collected into one message, in milliseconds. */
const COLLECT_MS = 5;

/** Time after the last call to an address at which its connections are closed, in milliseconds. */
const IDLE_ADDRESS_MS = 15_000;

/** Maximum number of calls under way for one leader. Further calls are not made, and their outcome says so. */
const MAXIMUM_CALLS_UNDER_WAY = 4_000;

/** Interval at which the executor checks that its process runs, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Time for which the process has not run that makes the calls stale which it reads afterwards, in milliseconds. */
const STALE_AFTER_MS = 1_500;

/** Time for which calls count as stale after the process was suspended, in milliseconds. */
const STALE_FOR_MS = 500;

/**
 * Longest time since the leader may have sent a call that is made, in milliseconds. The leader has given up by then what it sent
 * before.
 */
const MAXIMUM_CALL_AGE_MS = 2_000;

/** Makes calls to workers for the leader, and sends it the outcomes in batches. */
export interface WorkerCallExecutor {
	/**
	 * Makes calls for a peer, as long as the connection to it is open.
	 * @param heardClockMs clock of this process that the peer had received when it sent the calls; `undefined` if it names none
	 */
	execute(calls: readonly NumberedCall[], peer: PeerCaller, heardClockMs?: number): void;
	/** Checks until the signal is aborted that the process was not suspended, and closes connections that are not used. */
	run(signal: AbortSignal): Promise<void>;
}

/** Options of {@link createWorkerCallExecutor}. */
export interface WorkerCallExecutorOptions {
	readonly workers: WorkerService;
	/** Returns the newest term that is known. */
	readonly newestTerm: () => number;
	readonly clock: Clock;
	readonly counters: Counters;
}

/** Why a call is not made, which the outcome says truly. */
type ReasonNotToMake = 'fenced' | 'stale' | 'too-many';

interface PeerState {
	underWay: number;
	outcomes: NumberedOutcome[];
	readonly signal: AbortSignal;
}

/** Creates the executor of a daemon. */
export function createWorkerCallExecutor(options: WorkerCallExecutorOptions): WorkerCallExecutor {
	const { workers, newestTerm, clock, counters } = options;
	let checkedAt = clock.now();
	let checkedWallAt = clock.wallNow();
	let staleUntil = -Infinity;
	const peers = new WeakMap<PeerCaller, PeerState>();
	const lastCallAt = new Map<string, number>();

	const stateOf = (peer: PeerCaller): PeerState => {
		const known = peers.get(peer);
		if (known !== undefined) {
			return known;
		}
		// Each call under way listens to the signal.
		setMaxListeners(0, peer.closed);
		const created = { underWay: 0, outcomes: [], signal: peer.closed };
		peers.set(peer, created);
		return created;
	};

	const makeCall: {
		readonly [Type in WorkerCall['type']]: (
			call: Extract<WorkerCall, { type: Type }>,
			signal: AbortSignal,
		) => Promise<PollOutcome | StartOutcome>;
	} = {
		poll: ({ target, request }, signal) => workers.poll(target, request, signal),
		start: ({ target, order }, signal) => workers.start(target, order, signal),
	};

	const outcomesOfCallsNotMade: Readonly<
		Record<ReasonNotToMake, Readonly<Record<WorkerCall['type'], PollOutcome | StartOutcome>>>
	> = {
		/** A leader that has been replaced may not know it yet. */
		fenced: {
			poll: { type: 'refused', reason: 'fenced' },
			start: { type: 'not-started', reason: 'fenced', clockMs: undefined },
		},
		/** The worker may have restarted meanwhile, with a clock that begins anew, so that it would not refuse a late start. */
		stale: {
			poll: { type: 'silent', reason: 'the relay has read the call too late' },
			start: { type: 'not-started', reason: 'late', clockMs: undefined },
		},
		'too-many': {
			poll: { type: 'silent', reason: 'the relay makes too many calls' },
			start: { type: 'not-started', reason: 'unhealthy', clockMs: undefined },
		},
	};

	const fencingTokenOf: {
		readonly [Type in WorkerCall['type']]: (call: Extract<WorkerCall, { type: Type }>) => number;
	} = {
		poll: ({ request }) => request.fencingToken,
		start: ({ order }) => order.fencingToken,
	};

	/** Notices that the process was suspended. A suspended machine's monotonic clock stands, its wall clock does not. */
	const checkSuspension = (): void => {
		const now = clock.now();
		if (Math.max(now - checkedAt, clock.wallNow() - checkedWallAt) > STALE_AFTER_MS) {
			counters.add('suspensions_total');
			staleUntil = now + STALE_FOR_MS;
		}
		checkedAt = now;
		checkedWallAt = clock.wallNow();
	};

	const reasonNotToMake = (
		call: WorkerCall,
		{ underWay }: PeerState,
		sentAfter: number | undefined,
	): ReasonNotToMake | undefined => {
		const now = clock.now();
		if (now < staleUntil || (sentAfter !== undefined && now > sentAfter + MAXIMUM_CALL_AGE_MS)) {
			return 'stale';
		}
		if (termOfWorkerFence((fencingTokenOf[call.type] as (call: WorkerCall) => number)(call)) < newestTerm()) {
			return 'fenced';
		}
		return underWay >= MAXIMUM_CALLS_UNDER_WAY ? 'too-many' : undefined;
	};

	const closeIdleConnections = (now: number): void => {
		for (const [address, calledAt] of lastCallAt) {
			if (now > calledAt + IDLE_ADDRESS_MS) {
				lastCallAt.delete(address);
				workers.closeConnections(address);
			}
		}
	};

	const addOutcome = (
		number: number,
		outcome: PollOutcome | StartOutcome,
		state: PeerState,
		peer: PeerCaller,
	): void => {
		state.outcomes.push([number, encodeOutcome(outcome)]);
		if (state.outcomes.length > 1) {
			return;
		}
		setTimeout(() => {
			const outcomes = state.outcomes;
			state.outcomes = [];
			if (!state.signal.aborted) {
				peer.notify('workers.answered', { outcomes });
			}
		}, COLLECT_MS);
	};

	return {
		execute: (calls, peer, heardClockMs) => {
			checkSuspension();
			const state = stateOf(peer);
			const now = clock.now();
			for (const [number, call] of calls) {
				lastCallAt.set(call.target.address, now);
				const reason = reasonNotToMake(call, state, heardClockMs);
				if (reason !== undefined) {
					counters.add('worker_calls_not_made_total', { reason });
					addOutcome(number, outcomesOfCallsNotMade[reason][call.type], state, peer);
					continue;
				}
				state.underWay++;
				counters.add('worker_calls_made_for_leader_total', { type: call.type });
				void (makeCall[call.type] as (call: WorkerCall, signal: AbortSignal) => Promise<PollOutcome | StartOutcome>)(
					call,
					state.signal,
				).then(outcome => {
					state.underWay--;
					addOutcome(number, outcome, state, peer);
				});
			}
		},
		run: async signal => {
			while (!signal.aborted) {
				await delay(CHECK_INTERVAL_MS, signal);
				checkSuspension();
				closeIdleConnections(clock.now());
			}
		},
	};
}
