import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { DecisionLogger } from '@chestnutwheel/engine/common/engineMessages.js';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import type { CoordinatorSettings } from '../../common/coordinatorSettings.js';
import { formatLeaderRecord, LEADER_KEY, parseLeaderRecord } from '../leadership/leaderRecord.js';
import type { Predecessor, TermOutcome } from '../leadership/leaderElection.js';
import type { MemberList } from '../leadership/memberList.js';
import type { PeerConnection } from '../peers/peerConnection.js';
import type { PeerNetwork } from '../peers/peerNetwork.js';
import type { PlanCache } from '../plan/planCache.js';
import { isRejectedByStore, STORE_SUSPICION_MS } from '../../common/storeHealth.js';
import type { LeaderTerm } from './leaderTerm.js';

/** Timeout of a call to a follower. */
const PEER_CALL_TIMEOUT_MS = 1_000;

/** Timeout of a renewal of the leader record; a slow store needs 0.3 s and more. */
const RENEWAL_TIMEOUT_MS = 1_000;

/** Interval between two polls of the predecessor. */
const PREDECESSOR_POLL_INTERVAL_MS = 300;

/** Maximum time that a resigning leader waits until its journal is stored. */
const RESIGN_FLUSH_TIMEOUT_MS = 500;

/** Timeout of the append of the resignation record. */
const RESIGN_RECORD_TIMEOUT_MS = 300;

/** Options of {@link maintainTerm}. */
export interface MaintainTermOptions {
	readonly term: LeaderTerm;
	readonly predecessor: Predecessor;
	readonly settings: CoordinatorSettings;
	readonly self: { readonly entryHost: string; readonly address: string; readonly incarnation: string };
	readonly log: LogService;
	readonly network: PeerNetwork;
	readonly members: MemberList;
	readonly planCache: PlanCache;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly logDecision: DecisionLogger;
	/** Signal that is aborted when the daemon is about to stop, so that the leader resigns. */
	readonly resignation: AbortSignal;
}

/**
 * Maintains a term: sends heartbeats to the followers and renews the leader record in the store, until the term is lost or
 * handed over.
 */
export async function maintainTerm(options: MaintainTermOptions, signal: AbortSignal): Promise<TermOutcome> {
	const { term, settings, self, log, network, members, planCache, clock, counters, logDecision, resignation } = options;
	const { leadership } = settings;
	/** End offset of the leader topic. Initially it follows the record that began the term. */
	let leaderTopicEnd: number = term.identity.term;
	let renewalSentAt = clock.now();
	let confirmedAt = clock.now();
	let storeFailingSince: number | undefined;
	const finished = new AbortController();
	const running = AbortSignal.any([signal, finished.signal]);

	const record = (isResigning: boolean): Uint8Array =>
		log.keyedRecord(LEADER_KEY, formatLeaderRecord({ ...self, term: term.identity.term, isResigning }));

	const recordStoreAnswer = (sentAt: number): void => {
		confirmedAt = Math.max(confirmedAt, sentAt);
		storeFailingSince = undefined;
	};

	/** Reads the end of the topic after an append with an unknown outcome. @returns whether the term is still valid */
	const verifyTerm = async (): Promise<boolean> => {
		const sentAt = clock.now();
		const outcome = await log.newest('leader', running);
		if (outcome.type !== 'newest') {
			storeFailingSince ??= sentAt;
			return true;
		}
		recordStoreAnswer(sentAt);
		leaderTopicEnd = outcome.end;
		const newest = outcome.records.find(({ key }) => key === LEADER_KEY);
		const stored = newest?.value === undefined ? undefined : parseLeaderRecord(newest.value);
		return stored?.incarnation === self.incarnation && stored.entryHost === self.entryHost;
	};

	/** Renews the leader record. @returns whether the term is still valid */
	const renewRecord = async (): Promise<boolean> => {
		renewalSentAt = clock.now();
		const outcome = await log.append(
			'leader',
			[record(false)],
			{ at: leaderTopicEnd, answerWithinMs: RENEWAL_TIMEOUT_MS },
			running,
		);
		if (outcome.type === 'appended') {
			leaderTopicEnd = outcome.end;
			recordStoreAnswer(renewalSentAt);
			return true;
		}
		if (outcome.type === 'refused') {
			storeFailingSince ??= renewalSentAt;
			return true;
		}
		return verifyTerm();
	};

	const sendHeartbeat = (connection: PeerConnection, isResigning: boolean, topicEnd?: number): void => {
		const parameters = { leader: term.identity, planVersion: planCache.current()?.version ?? 0, isResigning, topicEnd };
		connection
			.call('leader.alive', parameters, PEER_CALL_TIMEOUT_MS)
			.then(
				async ({ planVersion }) => {
					const current = planCache.current();
					if (current !== undefined && planVersion < current.version) {
						// The store may be rejecting the follower, which then cannot read the plan itself.
						await connection.call('plan.offer', { plan: current }, PEER_CALL_TIMEOUT_MS);
					} else if (planVersion > (current?.version ?? 0)) {
						const { plan: newer } = await connection.call('plan.get', {}, PEER_CALL_TIMEOUT_MS);
						if (newer !== undefined) {
							planCache.offer(newer);
						}
					}
				},
				() => counters.add('followers_silent_total'),
			)
			.catch(() => counters.add('plans_not_fetched_total'));
	};

	/** Announces the term to the daemons that are not connected yet. They connect when they learn of it. */
	const announce = async (isResigning: boolean): Promise<void> => {
		await members.refresh(running);
		for (const address of members.otherAddresses()) {
			network.dial(address, leadership.askPeersMs).then(
				connection => sendHeartbeat(connection, isResigning),
				() => counters.add('members_unreachable_total'),
			);
		}
	};

	/** Asks the followers whether the store serves at least one of them. */
	const isStoreServingFollowers = async (): Promise<boolean> => {
		const answers = await Promise.all(
			network.incoming().map(async connection => {
				try {
					return (await connection.call('store.reachable', {}, PEER_CALL_TIMEOUT_MS)).reachable;
				} catch {
					return false;
				}
			}),
		);
		return answers.includes(true);
	};

	/** Polls the predecessor until it answers that it does not lead. A restarted daemon does not lead either. */
	const pollPredecessor = async (): Promise<void> => {
		const { predecessor } = options;
		if (predecessor.type !== 'unknown') {
			term.engine.predecessorStopped(clock.now());
			return;
		}
		while (!running.aborted) {
			try {
				const connection = await network.dial(predecessor.address, leadership.askPeersMs);
				const hello = await connection.call('peer.hello', { entryHost: self.entryHost }, leadership.askPeersMs);
				if (hello.leader === undefined) {
					term.engine.predecessorStopped(clock.now());
					term.flush();
					return;
				}
			} catch {
				network.disconnect(predecessor.address);
			}
			await delay(PREDECESSOR_POLL_INTERVAL_MS, running);
		}
	};

	const resign = async (): Promise<void> => {
		logDecision('term-resigned', { term: term.identity.term });
		term.quiesce();
		const until = clock.now() + RESIGN_FLUSH_TIMEOUT_MS;
		while (term.journal.isBusy && clock.now() < until && !signal.aborted) {
			await delay(leadership.aliveEveryMs / 4, signal);
		}
		const followers = network.incoming();
		if (followers.length > 0) {
			// A resignation record would move the end of the topic, at which a follower appends to obtain the next term.
			followers.forEach(connection => sendHeartbeat(connection, true, leaderTopicEnd));
			return;
		}
		const recordSignal = AbortSignal.any([signal, AbortSignal.timeout(RESIGN_RECORD_TIMEOUT_MS)]);
		await log.append('leader', [record(true)], { at: leaderTopicEnd }, recordSignal);
	};

	const runHeartbeats = async (): Promise<void> => {
		while (!running.aborted) {
			network.incoming().forEach(connection => sendHeartbeat(connection, false));
			await delay(leadership.aliveEveryMs, running);
		}
	};

	const runRecordRenewal = async (): Promise<TermOutcome> => {
		while (!running.aborted) {
			if (!(await renewRecord())) {
				return 'deposed';
			}
			const lastConfirmedAt = Math.max(confirmedAt, term.confirmedAt());
			if (clock.now() > lastConfirmedAt + leadership.validMs) {
				logDecision('term-unproven', { term: term.identity.term, forMs: Math.round(clock.now() - lastConfirmedAt) });
				return 'deposed';
			}
			const failingSince = storeFailingSince ?? term.journal.unansweredSince;
			if (
				isRejectedByStore({ failingSince, confirmedAt: lastConfirmedAt, now: clock.now() }) &&
				(await isStoreServingFollowers())
			) {
				logDecision('store-turns-leader-away', {
					term: term.identity.term,
					forMs: Math.round(clock.now() - (failingSince ?? 0)),
				});
				network.incoming().forEach(connection => sendHeartbeat(connection, true));
				return 'stand-aside';
			}
			const intervalMs = failingSince === undefined ? leadership.beatEveryMs : STORE_SUSPICION_MS / 2;
			await delay(Math.max(0, renewalSentAt + intervalMs - clock.now()), running);
		}
		return 'deposed';
	};

	void announce(false);
	void pollPredecessor();
	void runHeartbeats();
	const resigned = new Promise<TermOutcome>(resolve => {
		const onResign = (): void => {
			resign().then(
				() => resolve('resigned'),
				() => resolve('resigned'),
			);
		};
		if (resignation.aborted) {
			onResign();
		}
		resignation.addEventListener('abort', onResign, { once: true });
	});
	try {
		return await Promise.race([
			term.lost.then((reason): TermOutcome => {
				logDecision('term-lost', { term: term.identity.term, reason });
				return 'deposed';
			}),
			runRecordRenewal(),
			resigned,
		]);
	} finally {
		finished.abort();
	}
}
