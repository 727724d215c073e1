import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { DecisionLogger } from '@chestnutwheel/engine/common/engineMessages.js';
import type { PollRequest, WorkerService } from '@chestnutwheel/ports/common/workerService.js';
import type { FollowerStatus } from '../../common/peerProtocol.js';
import { chooseRelays, isSlowRelay, relayOf, type RelayCandidate } from '../../common/relayChoice.js';
import {
	decodeOutcome,
	type NumberedCall,
	type WorkerCall,
	type WorkerCallOutcomes,
} from '../../common/workerCalls.js';
import type { PeerConnection } from '../peers/peerConnection.js';

/** Time that a relay allows a worker beyond the wait of a poll, in milliseconds. */
const WORKER_TIMEOUT_MS = 250;

/** Time for the way to the relay and back while the relay or the leader is short of processor time, in milliseconds. */
const RELAY_TIMEOUT_MS = 1_000;

/** Time after which a follower that has sent no status gets no calls, and those that it has count as unanswered. */
const STATUS_VALID_MS = 700;

/** Time for which no calls are given to a relay that has not answered one, in milliseconds. */
const RELAY_SUSPENSION_MS = 2_000;

/** Time for which a worker is called directly after its relay had no answer of it, in milliseconds. */
const DIRECT_CALL_MS = 5_000;

/** Weight of the newest start in the average latency of a relay. */
const LATENCY_SMOOTHING = 0.1;

/** Interval at which relays are chosen anew and unanswered calls are looked for, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Options of {@link createWorkerRelay}. */
export interface WorkerRelayOptions {
	/** Client of this daemon. */
	readonly direct: WorkerService;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly logDecision: DecisionLogger;
	/** Number of followers from which on calls are relayed. The leader of a small fleet makes them itself. */
	readonly relayFromFollowers: number;
}

/**
 * Client of the workers that has followers make the polls and starts of a leader. A call over HTTP takes the leader several times
 * as much processor time as its share in a message to a follower, and the followers keep their connections to the workers when the
 * leader changes. One relay calls a worker. If it does not answer, the worker is asked directly what it runs, and the outcome of a start
 * is unknown.
 */
export interface WorkerRelay extends WorkerService {
	/** Records what a follower has said of itself, on the connection on which it receives calls. */
	updateFollower(connection: PeerConnection, status: FollowerStatus): void;
	/** Handles outcomes that a follower has sent. */
	handleOutcomes(outcomes: readonly unknown[]): void;
}

/**
 * Returns the request with which a poll is repeated that a relay may still make. It lists the runs at once, so that the next poll
 * extends the lease. The request itself may be old by now: its deadline and its index are those of a life of the worker that may be
 * over, and its call is counted from when it was created.
 */
function repeatOf({ fencingToken }: PollRequest): PollRequest {
	return { fencingToken, acknowledged: 0, leaseUntilMs: undefined, waitMs: 0 };
}

/** Why a relay gets no calls for some time. */
type SuspensionReason = 'slow' | 'closed' | 'no-status' | 'no-answer';

interface Follower extends RelayCandidate {
	canLead: boolean;
	/** Whether the follower accepts calls. One that is about to stop still sends the outcomes of those that it has. */
	acceptsCalls: boolean;
	connection: PeerConnection;
	statusAt: number;
	suspendedUntil: number;
	/** Average time from a start's being given to the relay to its outcome, in milliseconds. */
	latencyMs: number;
}

interface PendingCall {
	readonly relay: Follower;
	readonly connection: PeerConnection;
	readonly deadline: number;
	/** Settles the call with an encoded outcome; `undefined` if the relay has not answered. */
	readonly settle: (outcome: unknown) => void;
}

/** Creates a client that makes all calls directly until enough followers are known. */
export function createWorkerRelay(options: WorkerRelayOptions): WorkerRelay {
	const { direct, clock, counters, logDecision, relayFromFollowers } = options;
	const followers = new Map<string, Follower>();
	const directUntil = new Map<string, number>();
	const pending = new Map<number, PendingCall>();
	const queues = new Map<PeerConnection, NumberedCall[]>();
	/** Newest clock that the process at the other end of a connection has sent. */
	const heardClocks = new WeakMap<PeerConnection, number>();
	let relays: readonly Follower[] = [];
	let nextChoiceAt = -Infinity;
	let nextNumber = 1;
	let checkTimer: NodeJS.Timeout | undefined;

	const isUsable = ({ connection, acceptsCalls, statusAt, suspendedUntil }: Follower, now: number): boolean =>
		acceptsCalls && connection.isOpen && now < statusAt + STATUS_VALID_MS && now >= suspendedUntil;

	const suspend = (relay: Follower, reason: SuspensionReason, now: number, details: object = {}): void => {
		if (now >= relay.suspendedUntil) {
			counters.add('worker_relays_suspended_total', { reason });
			logDecision('worker-relay-suspended', { relay: relay.entryHost, reason, ...details });
		}
		relay.suspendedUntil = now + RELAY_SUSPENSION_MS;
	};

	const suspendSlowRelays = (now: number): void => {
		const latencies = relays.map(({ latencyMs }) => latencyMs);
		for (const relay of relays.filter(({ latencyMs }) => isSlowRelay(latencyMs, latencies))) {
			suspend(relay, 'slow', now, { latencyMs: Math.round(relay.latencyMs) });
			relay.latencyMs = 0;
		}
	};

	const chooseRelay = (address: string): Follower | undefined => {
		const now = clock.now();
		if (now < (directUntil.get(address) ?? -Infinity)) {
			return undefined;
		}
		if (now >= nextChoiceAt || relays.some(relay => !isUsable(relay, now))) {
			nextChoiceAt = now + CHECK_INTERVAL_MS;
			followers.forEach(({ entryHost, connection }) => {
				if (!connection.isOpen) {
					followers.delete(entryHost);
				}
			});
			suspendSlowRelays(now);
			const usable = [...followers.values()].filter(follower => isUsable(follower, now));
			const chosen = usable.length < relayFromFollowers ? [] : chooseRelays(usable);
			if (chosen.length !== relays.length) {
				counters.set('worker_relays', chosen.length);
				logDecision('worker-relays-chosen', { relays: chosen.length, before: relays.length, followers: usable.length });
			}
			relays = chosen;
		}
		return relayOf(relays, address);
	};

	const settle = (number: number, outcome: unknown): void => {
		const call = pending.get(number);
		pending.delete(number);
		call?.settle(outcome);
	};

	const abandon = (number: number): void => {
		const call = pending.get(number);
		if (call !== undefined) {
			const { relay, connection, deadline } = call;
			const now = clock.now();
			const reason = !connection.isOpen ? 'closed' : now > deadline ? 'no-answer' : 'no-status';
			const statusAgeMs = Math.round(now - relay.statusAt);
			suspend(relay, reason, now, { statusAgeMs, callsUnderWay: pending.size });
			counters.add('worker_calls_unanswered_by_relay_total');
			settle(number, undefined);
		}
	};

	const isLost = ({ relay, connection, deadline }: PendingCall, now: number): boolean =>
		!connection.isOpen || now > deadline || now > relay.statusAt + STATUS_VALID_MS;

	const check = (): void => {
		checkTimer = undefined;
		const now = clock.now();
		for (const [address, until] of directUntil) {
			if (now >= until) {
				directUntil.delete(address);
			}
		}
		const lost = [...pending].flatMap(([number, call]) => (isLost(call, now) ? [number] : []));
		// Outcomes and statuses that arrived while this process was busy are read before the next immediate callback.
		setImmediate(() => {
			const readAt = clock.now();
			for (const number of lost) {
				const call = pending.get(number);
				if (call !== undefined && isLost(call, readAt)) {
					abandon(number);
				}
			}
			startChecks();
		});
	};

	const startChecks = (): void => {
		if (checkTimer === undefined && pending.size + directUntil.size > 0) {
			checkTimer = setTimeout(check, CHECK_INTERVAL_MS);
		}
	};

	const enqueue = (connection: PeerConnection, call: NumberedCall): void => {
		const queue = queues.get(connection);
		if (queue !== undefined) {
			queue.push(call);
			return;
		}
		queues.set(connection, [call]);
		const heardClockMs = heardClocks.get(connection);
		// All calls of one turn of the event loop go into one message.
		setImmediate(() => {
			const calls = queues.get(connection) ?? [];
			queues.delete(connection);
			connection.notify('workers.call', { calls, heardClockMs });
		});
	};

	/** Has a relay make a call. @returns `undefined` if the relay has not answered, or the signal was aborted */
	const relayCall = <Type extends WorkerCall['type']>(
		relay: Follower,
		call: Extract<WorkerCall, { type: Type }>,
		waitMs: number,
		signal: AbortSignal,
	): Promise<WorkerCallOutcomes[Type] | undefined> =>
		new Promise(resolve => {
			const { type } = call;
			const { connection } = relay;
			const sentAt = clock.now();
			const number = nextNumber++;
			const onAbort = (): void => settle(number, undefined);
			counters.add('worker_calls_relayed_total', { type });
			pending.set(number, {
				relay,
				connection,
				deadline: sentAt + waitMs + WORKER_TIMEOUT_MS + RELAY_TIMEOUT_MS,
				settle: encoded => {
					signal.removeEventListener('abort', onAbort);
					const outcome = decodeOutcome(type, encoded);
					if (type === 'start' && outcome !== undefined) {
						relay.latencyMs += LATENCY_SMOOTHING * (clock.now() - sentAt - relay.latencyMs);
					}
					if (outcome?.type === 'silent') {
						directUntil.set(call.target.address, clock.now() + DIRECT_CALL_MS);
					}
					resolve(outcome);
				},
			});
			signal.addEventListener('abort', onAbort, { once: true });
			enqueue(connection, [number, call]);
			startChecks();
		});

	return {
		...direct,
		poll: async (target, request, signal) => {
			const relay = signal.aborted ? undefined : chooseRelay(target.address);
			if (relay === undefined) {
				return direct.poll(target, request, signal);
			}
			const outcome = await relayCall<'poll'>(relay, { type: 'poll', target, request }, request.waitMs, signal);
			return outcome ?? direct.poll(target, repeatOf(request), signal);
		},
		start: async (target, order, signal) => {
			const relay = signal.aborted ? undefined : chooseRelay(target.address);
			if (relay === undefined) {
				return direct.start(target, order, signal);
			}
			const outcome = await relayCall<'start'>(relay, { type: 'start', target, order }, 0, signal);
			return outcome ?? { type: 'silent', reason: `the relay ${relay.entryHost} did not answer` };
		},
		updateFollower: (connection, { entryHost, canLead, relaysWorkerCalls: acceptsCalls = false, clockMs }) => {
			if (clockMs !== undefined) {
				heardClocks.set(connection, clockMs);
			}
			const status = { canLead, acceptsCalls, connection, statusAt: clock.now() };
			const known = followers.get(entryHost);
			// What was learned over a connection that has closed is of the former process of the follower.
			if (known?.connection.isOpen !== true) {
				followers.set(entryHost, { entryHost, ...status, suspendedUntil: -Infinity, latencyMs: 0 });
			} else {
				Object.assign(known, status);
			}
		},
		handleOutcomes: outcomes => {
			for (const row of outcomes) {
				if (Array.isArray(row) && typeof row[0] === 'number') {
					settle(row[0], row[1]);
				}
			}
		},
	};
}
