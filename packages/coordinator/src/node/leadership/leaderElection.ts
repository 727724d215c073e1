import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import type { DecisionLogger } from '@chestnutwheel/engine/common/engineMessages.js';
import { candidacyPause, type TermOutcome } from '../../common/candidacyPause.js';
import { decideCandidacy, isTermVacant, type CandidacyFacts } from '../../common/candidacy.js';
import type { LeaderElectionSettings } from '../../common/coordinatorSettings.js';
import { termReactions } from '../../common/storeReactions.js';
import type { LeaderIdentity, PeerMethods } from '../../common/peerProtocol.js';
import type { PeerConnection } from '../peers/peerConnection.js';
import type { PeerNetwork } from '../peers/peerNetwork.js';
import { formatLeaderRecord, identityOf, LEADER_KEY, parseLeaderRecord, type LeaderRecord } from './leaderRecord.js';
import type { MemberList } from './memberList.js';
import { createPeerQuery, type PeerAnswers } from './peerQuery.js';

/** Delay after an election round without a result. */
const ELECTION_RETRY_MS = 120;

/** Longest time-out of an attempt to reach a leader to which other daemons have contact. */
const MAXIMUM_CONTACT_TIMEOUT_MS = 2_000;

/** Random jitter of the candidacy delay, so that several candidates do not append at the same time. */
const CANDIDACY_JITTER_MS = 60;

/** Time for which the other daemons leave a term to the successor that the resigning leader has chosen. */
const SUCCESSOR_HEAD_START_MS = 300;

/** Time since last contact that is reported for a leader without any contact, since JSON has no infinity. */
const MAXIMUM_SILENCE_MS = 1_000_000_000;

/** Leader of the previous term. `stopped`: it certainly no longer leads. `unknown`: it may still consider itself leader. */
export type Predecessor =
	{ readonly type: 'none' | 'stopped' } | { readonly type: 'unknown'; readonly address: string };

/** Options of {@link createLeaderElection}. */
export interface LeaderElectionOptions {
	readonly settings: LeaderElectionSettings;
	readonly self: { readonly entryHost: string; readonly address: string; readonly incarnation: string };
	readonly log: LogService;
	readonly network: PeerNetwork;
	readonly members: MemberList;
	readonly clock: Clock;
	readonly random: SeededRandom;
	readonly counters: Counters;
	readonly logDecision: DecisionLogger;
	/**
	 * Leads until the signal is aborted or the term ends. When it is called, the end offset of the leader topic equals the
	 * term.
	 */
	readonly lead: (identity: LeaderIdentity, predecessor: Predecessor, signal: AbortSignal) => Promise<TermOutcome>;
}

/** Leader election: tracks the current leader, and becomes a candidate when there is none. */
export interface LeaderElection {
	/** Returns the last known leader, which may have failed since. */
	leader(): LeaderIdentity | undefined;
	/** Returns the connection to the leader, if it is open. */
	leaderConnection(): PeerConnection | undefined;
	/** Returns the time since the last contact to the leader, in milliseconds; 0 on the leader itself. */
	leaderSilenceMs(): number;
	readonly isLeading: boolean;
	/** Time of the last contact to the leader of the term before that of this daemon, if there was any. */
	readonly previousLeaderSeenAt: number | undefined;
	/** Resolves when the last candidacy of this daemon is decided, whose record may still be being written to the store. */
	whenCandidacyDecided(): Promise<void>;
	/** Records a heartbeat of the leader, or its resignation. */
	recordHeartbeat(alive: PeerMethods['leader.alive']['parameters'], now: number): void;
	run(signal: AbortSignal): Promise<void>;
	/** Prevents further candidacies, because the daemon is about to stop. */
	disableCandidacy(): void;
}

/** State of the leader record in the store. */
interface StoredLeader {
	readonly type: CandidacyFacts['record'];
	readonly identity: LeaderIdentity | undefined;
	/** Whether this process itself has obtained the term, and the topic has not grown since. */
	readonly isOwnNewest: boolean;
	readonly end: number;
}

/** Creates the leader election of a daemon. */
export function createLeaderElection(options: LeaderElectionOptions): LeaderElection {
	const { settings, self, log, network, members, clock, random, counters, logDecision } = options;
	let leader: LeaderIdentity | undefined;
	let connection: PeerConnection | undefined;
	let lastContactAt = -Infinity;
	/** Time of the last heartbeat of any leader, or of the end of the last term of this daemon. */
	let lastLeaderSignAt = -Infinity;
	let isLeading = false;
	let isCandidacyDisabled = false;
	let suspendedUntil = 0;
	/** Newest term in which this process led. */
	let lastLedTerm = 0;
	/** Number of consecutive terms of this daemon that did not begin or failed. */
	let failedTerms = 0;
	let previousLeaderSeenAt: number | undefined;
	/** Number of consecutive rounds in which the leader was not reached although other daemons had contact to it. */
	let roundsUnreached = 0;
	/** Aborted when a leader of a later term is known, so that an attempt to reach the former one ends. */
	let leaderReplaced = new AbortController();
	const queryPeers = createPeerQuery(options);
	/** Last suspicion that was logged. A line is written only when it changes. */
	let lastSuspicion = '';
	/** Aborted when the leader resigns, so that the wait for its next heartbeat ends. */
	let leaderResigned = new AbortController();
	/** Handover announced by a leader that resigned; `undefined` after it was used. */
	let handover: { readonly topicEnd: number; readonly isSuccessor: boolean } | undefined;
	/** Last candidacy of this daemon, and the leader that it would replace. */
	let candidacyPredecessor: Predecessor = { type: 'none' };
	let candidacyAttempt: Promise<LeaderIdentity | undefined> = Promise.resolve(undefined);
	/** Last observed end offset of the leader topic, and the time of its first observation. */
	let lastObserved = { end: -1, since: clock.now() };
	const knownTerm = (): number => leader?.term ?? 0;
	const isOtherDaemon = (identity: LeaderIdentity): boolean => identity.address !== self.address;

	const leaderSilenceMs = (): number => {
		if (isLeading) {
			return 0;
		}
		const lastSeenAt = Math.max(lastContactAt, connection?.isOpen === true ? connection.lastReceivedAt : -Infinity);
		return Math.min(MAXIMUM_SILENCE_MS, clock.now() - lastSeenAt);
	};

	const adoptLeader = (identity: LeaderIdentity): void => {
		if (leader !== undefined && identity.term <= leader.term) {
			return;
		}
		logDecision('leader-known', { term: identity.term, leader: identity.entryHost, before: leader?.term });
		leader = identity;
		connection = undefined;
		roundsUnreached = 0;
		leaderReplaced.abort();
		leaderReplaced = new AbortController();
	};

	const readStored = async (signal: AbortSignal): Promise<StoredLeader> => {
		const outcome = await log.newest('leader', signal);
		if (outcome.type !== 'newest') {
			return { type: 'unreadable', identity: undefined, isOwnNewest: false, end: -1 };
		}
		if (outcome.end !== lastObserved.end) {
			lastObserved = { end: outcome.end, since: clock.now() };
		}
		const newest = outcome.records.find(({ key }) => key === LEADER_KEY);
		const record = newest?.value === undefined ? undefined : parseLeaderRecord(newest.value);
		if (newest === undefined || record === undefined) {
			return { type: 'none', identity: undefined, isOwnNewest: false, end: outcome.end };
		}
		const identity = identityOf(record, newest.offset);
		const type = record.isResigning ? 'resigned' : record.entryHost === self.entryHost ? 'own-former' : 'other';
		const isOwnNewest = record.incarnation === self.incarnation && identity.term === outcome.end;
		return { type, identity, isOwnNewest, end: outcome.end };
	};

	/**
	 * Returns the time-out of the next attempt to reach the leader. A leader to which others have contact may be slow to answer,
	 * and attempts in quick succession make it slower.
	 */
	const contactTimeoutMs = (): number =>
		Math.min(MAXIMUM_CONTACT_TIMEOUT_MS, settings.askPeersMs * 2 ** Math.max(0, roundsUnreached - 1));

	/** Connects to the leader. @returns `denied` when the process there answers that it does not lead this term */
	const connectToLeader = async (identity: LeaderIdentity): Promise<'reached' | 'denied' | 'unreachable'> => {
		const timeoutMs = contactTimeoutMs();
		const greet = async (): Promise<{ opened: PeerConnection; hello: PeerMethods['peer.hello']['result'] }> => {
			const opened = await network.dial(identity.address, timeoutMs);
			return { opened, hello: await opened.call('peer.hello', { entryHost: self.entryHost }, timeoutMs) };
		};
		try {
			const { opened, hello } = await rejectWhenAborted(greet(), leaderReplaced.signal);
			opened.session.peerName = hello.entryHost;
			if (hello.leader?.address !== identity.address || hello.leader.term < identity.term) {
				return 'denied';
			}
			connection = opened;
			roundsUnreached = 0;
			lastContactAt = clock.now();
			return 'reached';
		} catch {
			// An unresponsive connection must not be reused.
			network.disconnect(identity.address);
			return 'unreachable';
		}
	};

	/** Appends a candidacy record. @returns the identity of this daemon as the leader, if it obtained the term */
	const appendTerm = async (end: number, signal: AbortSignal): Promise<LeaderIdentity | undefined> => {
		const record: LeaderRecord = { ...self, term: 0, isResigning: false };
		const value = log.keyedRecord(LEADER_KEY, formatLeaderRecord(record));
		const outcome = await log.append('leader', [value], { at: end }, signal);
		counters.add('candidacies_total', { outcome: outcome.type });
		if (outcome.type === 'appended') {
			return identityOf(record, outcome.offset);
		}
		if (termReactions['obtain-term'][outcome.type] === 'verify') {
			// The term is obtained only if the record is read back. A record that is stored later still names this daemon.
			const stored = await readStored(signal);
			return stored.type === 'own-former' && stored.end > end ? stored.identity : undefined;
		}
		return undefined;
	};

	const appendCandidacy = (
		end: number,
		predecessor: Predecessor,
		signal: AbortSignal,
	): Promise<LeaderIdentity | undefined> => {
		candidacyPredecessor = predecessor;
		const attempt = appendTerm(end, signal);
		candidacyAttempt = attempt;
		return attempt;
	};

	const predecessorOf = (stored: StoredLeader): Predecessor => {
		if (stored.type === 'other' && stored.identity !== undefined) {
			return { type: 'unknown', address: stored.identity.address };
		}
		return { type: stored.type === 'none' ? 'none' : 'stopped' };
	};

	const lead = async (identity: LeaderIdentity, predecessor: Predecessor, signal: AbortSignal): Promise<void> => {
		previousLeaderSeenAt = Number.isFinite(lastLeaderSignAt) ? lastLeaderSignAt : undefined;
		isLeading = true;
		lastLedTerm = identity.term;
		leader = identity;
		connection = undefined;
		logDecision('term-begins', { term: identity.term });
		counters.add('terms_total');
		const outcome = await options.lead(identity, predecessor, signal);
		isLeading = false;
		lastContactAt = -Infinity;
		lastLeaderSignAt = clock.now();
		logDecision('term-ends', { term: identity.term, outcome });
		failedTerms = outcome === 'not-begun' || outcome === 'failed' ? failedTerms + 1 : 0;
		suspendedUntil = clock.now() + candidacyPause(outcome, failedTerms);
	};

	/** Takes over from a leader that has resigned. @returns whether this daemon obtained the term and led */
	const takeOverTerm = async (
		{ topicEnd, isSuccessor }: NonNullable<typeof handover>,
		signal: AbortSignal,
	): Promise<boolean> => {
		const resignedTerm = knownTerm();
		const headStartMs = settings.standAfterMs + SUCCESSOR_HEAD_START_MS + random.nextInteger(CANDIDACY_JITTER_MS);
		await delay(isSuccessor ? 0 : headStartMs, signal);
		if (signal.aborted || isCandidacyDisabled || knownTerm() !== resignedTerm) {
			return false;
		}
		const identity = await appendCandidacy(topicEnd, { type: 'stopped' }, signal);
		if (identity === undefined) {
			return false;
		}
		await lead(identity, { type: 'stopped' }, signal);
		return true;
	};

	const runElectionRound = async (signal: AbortSignal): Promise<void> => {
		const announced = handover;
		handover = undefined;
		if (announced !== undefined && clock.now() >= suspendedUntil && (await takeOverTerm(announced, signal))) {
			return;
		}
		const stored = await readStored(signal);
		if (stored.identity !== undefined && isOtherDaemon(stored.identity)) {
			adoptLeader(stored.identity);
		}
		const ownIdentity = stored.isOwnNewest ? stored.identity : undefined;
		if (ownIdentity !== undefined && ownIdentity.term > lastLedTerm && !isCandidacyDisabled) {
			// The response to the candidacy was lost, or the record was stored after the daemon had stopped waiting for it.
			await lead(ownIdentity, candidacyPredecessor, signal);
			return;
		}
		const connectOutcome =
			leader !== undefined && isOtherDaemon(leader) ? await connectToLeader(leader) : 'unreachable';
		if (connectOutcome === 'reached' && stored.type !== 'resigned') {
			lastSuspicion = '';
			return;
		}
		const isVacant = isTermVacant(stored.type, connectOutcome === 'denied');
		if (!isVacant) {
			await members.refresh(signal);
		}
		const peers: PeerAnswers = isVacant ? { answered: 0, knownLeader: undefined } : await queryPeers();
		const isHeardByPeer =
			peers.knownLeader !== undefined && peers.knownLeader.term >= knownTerm() && isOtherDaemon(peers.knownLeader);
		if (isHeardByPeer) {
			adoptLeader(peers.knownLeader);
		}
		const facts: CandidacyFacts = {
			record: stored.type,
			isDenied: connectOutcome === 'denied',
			peersAnswered: peers.answered,
			isHeardByPeer,
			standstillMs: clock.now() - lastObserved.since,
		};
		const decision = decideCandidacy(facts, settings.standstillMs);
		roundsUnreached = decision === 'follow' ? roundsUnreached + 1 : 0;
		const suspicion = [decision, stored.type, leader?.term, facts.isDenied, facts.isHeardByPeer].join();
		if (suspicion !== lastSuspicion) {
			lastSuspicion = suspicion;
			logDecision('leader-doubted', {
				...facts,
				leader: leader?.entryHost,
				term: leader?.term,
				silentForMs: Math.round(leaderSilenceMs()),
				next: decision,
			});
		}
		if (decision !== 'stand' || isCandidacyDisabled || clock.now() < suspendedUntil) {
			await delay(ELECTION_RETRY_MS, signal);
			return;
		}
		const standAfterMs = stored.type === 'none' ? settings.standFirstAfterMs : settings.standAfterMs;
		await delay(standAfterMs + random.nextInteger(CANDIDACY_JITTER_MS), signal);
		const identity = signal.aborted ? undefined : await appendCandidacy(stored.end, predecessorOf(stored), signal);
		if (identity === undefined) {
			// The store refused the record or a rival was faster; the next round shows which.
			await delay(ELECTION_RETRY_MS / 2, signal);
			return;
		}
		await lead(identity, predecessorOf(stored), signal);
	};

	return {
		leader: () => leader,
		leaderConnection: () => (connection?.isOpen === true ? connection : undefined),
		leaderSilenceMs,
		get isLeading() {
			return isLeading;
		},
		whenCandidacyDecided: async () => {
			await candidacyAttempt;
		},
		get previousLeaderSeenAt() {
			return previousLeaderSeenAt;
		},
		recordHeartbeat: ({ leader: identity, isResigning, topicEnd, successor }, now) => {
			adoptLeader(identity);
			if (leader?.term === identity.term) {
				lastLeaderSignAt = now;
				lastContactAt = isResigning ? -Infinity : now;
				if (isResigning) {
					connection = undefined;
					const isSuccessor = successor === self.entryHost;
					handover = topicEnd === undefined ? undefined : { topicEnd, isSuccessor };
					leaderResigned.abort();
					leaderResigned = new AbortController();
				}
			}
		},
		run: async signal => {
			while (!signal.aborted) {
				const remainingMs = settings.silenceMs - leaderSilenceMs();
				if (connection?.isOpen === true && remainingMs > 0) {
					// No election is needed before the contact to the leader times out, its connection closes or it resigns.
					await delay(remainingMs, AbortSignal.any([signal, connection.closed, leaderResigned.signal]));
				} else {
					await runElectionRound(signal);
				}
			}
		},
		disableCandidacy: () => {
			isCandidacyDisabled = true;
		},
	};
}

/** Settles like the promise, or rejects when the signal is aborted before. */
function rejectWhenAborted<Value>(promise: Promise<Value>, signal: AbortSignal): Promise<Value> {
	return new Promise((resolve, reject) => {
		const onAbort = (): void => reject(new Error('aborted'));
		signal.addEventListener('abort', onAbort, { once: true });
		promise.then(resolve, reject).finally(() => signal.removeEventListener('abort', onAbort));
	});
}
