import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { Engine } from '@chestnutwheel/engine/common/engine.js';
import type { DecisionLogger } from '@chestnutwheel/engine/common/engineMessages.js';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import type { TermOutcome } from '../../common/candidacyPause.js';
import type { LeaderElectionSettings } from '../../common/coordinatorSettings.js';
import type { LeaderIdentity } from '../../common/peerProtocol.js';
import { isRejectedByStore, STORE_SUSPICION_MS } from '../../common/storeHealth.js';
import { termReactions } from '../../common/storeReactions.js';
import type { TermProof } from '../../common/termProof.js';
import { formatLeaderRecord, LEADER_KEY, parseLeaderRecord } from '../leadership/leaderRecord.js';
import type { Predecessor } from '../leadership/leaderElection.js';
import type { MemberList } from '../leadership/memberList.js';
import type { PeerNetwork } from '../peers/peerNetwork.js';
import type { PlanCache } from '../plan/planCache.js';
import { createFollowers, type FollowersOptions } from './followers.js';
import type { LeaderTerm } from './leaderTerm.js';

/** Timeout of a renewal of the leader record; a slow store needs 0.3 s and more. */
const RENEWAL_TIMEOUT_MS = 1_000;

/**
 * Time for which the confirmation that a caller needs is left to the appends to the journal. The record is renewed early if
 * there is none.
 */
const JOURNAL_CONFIRMATION_MS = 30;

/** Interval between two polls of the predecessor. */
const PREDECESSOR_POLL_INTERVAL_MS = 300;

/** Maximum time that a resigning leader waits until its journal is stored. */
const RESIGN_FLUSH_TIMEOUT_MS = 500;

/** Timeout of the append of the resignation record. */
const RESIGN_RECORD_TIMEOUT_MS = 300;

/** The parts of a begun term that its maintenance uses. */
export type MaintainedTerm = Pick<LeaderTerm, 'flush' | 'lost' | 'quiesce'> & {
	readonly engine: Pick<Engine, 'predecessorStopped'>;
	readonly journal: Pick<LeaderTerm['journal'], 'isBusy' | 'unansweredSince'>;
};

/** Options of {@link maintainTerm}. */
export interface MaintainTermOptions {
	readonly identity: LeaderIdentity;
	/** Resolves when the journal is taken over and the engine runs. Rejects if that fails. */
	readonly begun: Promise<MaintainedTerm>;
	/** Returns the time since which the store does not serve the takeover of the journal, if it does not. */
	readonly blockedSince: () => number | undefined;
	readonly proof: TermProof;
	readonly predecessor: Predecessor;
	readonly settings: LeaderElectionSettings;
	readonly self: { readonly entryHost: string; readonly address: string; readonly incarnation: string };
	readonly log: LogService;
	readonly network: PeerNetwork;
	readonly members: MemberList;
	readonly planCache: PlanCache;
	readonly clock: Clock;
	readonly counters: Counters;
	readonly logDecision: DecisionLogger;
	readonly onFollowerStatus: FollowersOptions['onFollowerStatus'];
	/** Aborted when the daemon is about to stop, so that the leader resigns. */
	readonly resignation: AbortSignal;
	/** Aborted, with the reason, when an unexpected error occurs in this process while it leads. */
	readonly failure: AbortSignal;
	/** Returns the time by which a leader that is about to stop resigns even if no successor could take over. */
	readonly resignBy: () => number;
}

/**
 * Maintains a term from the moment at which it was obtained: sends heartbeats to the followers and renews the leader record
 * in the store, until the term is lost or handed over. A term whose journal cannot be taken over at present is kept.
 */
export async function maintainTerm(options: MaintainTermOptions, signal: AbortSignal): Promise<TermOutcome> {
	const { identity, begun, blockedSince, proof, settings, self, log, network, clock, logDecision, resignation } =
		options;
	const followers = createFollowers({ ...options, connectTimeoutMs: settings.askPeersMs });
	let term: MaintainedTerm | undefined;
	/** End offset of the leader topic. Initially it follows the record that began the term. */
	let leaderTopicEnd: number = identity.term;
	let renewalSentAt = clock.now();
	let storeFailingSince: number | undefined;
	const finished = new AbortController();
	const running = AbortSignal.any([signal, finished.signal]);

	const record = (isResigning: boolean): Uint8Array =>
		log.keyedRecord(LEADER_KEY, formatLeaderRecord({ ...self, term: identity.term, isResigning }));

	const failingSince = (): number | undefined => storeFailingSince ?? blockedSince() ?? term?.journal.unansweredSince;

	/** Reads the end of the topic after an append with an unknown outcome. @returns whether the term is still valid */
	const verifyTerm = async (): Promise<boolean> => {
		const sentAt = proof.sendTime();
		const outcome = await log.newest('leader', running);
		if (outcome.type !== 'newest') {
			storeFailingSince ??= sentAt.monotonicAt;
			return true;
		}
		storeFailingSince = undefined;
		leaderTopicEnd = outcome.end;
		const newest = outcome.records.find(({ key }) => key === LEADER_KEY);
		const stored = newest?.value === undefined ? undefined : parseLeaderRecord(newest.value);
		const isValid = stored?.incarnation === self.incarnation && stored.entryHost === self.entryHost;
		if (isValid) {
			proof.confirm(sentAt);
		}
		return isValid;
	};

	/** Renews the leader record. @returns whether the term is still valid */
	const renewRecord = async (): Promise<boolean> => {
		const sentAt = proof.sendTime();
		renewalSentAt = sentAt.monotonicAt;
		const outcome = await log.append(
			'leader',
			[record(false)],
			{ at: leaderTopicEnd, answerWithinMs: RENEWAL_TIMEOUT_MS },
			running,
		);
		if (outcome.type === 'appended') {
			leaderTopicEnd = outcome.end;
			storeFailingSince = undefined;
			proof.confirm(sentAt);
			return true;
		}
		if (termReactions['renew-term'][outcome.type] === 'repeat') {
			storeFailingSince ??= renewalSentAt;
			return true;
		}
		return verifyTerm();
	};

	/** Polls the predecessor until it answers that it does not lead. A restarted daemon does not lead either. */
	const pollPredecessor = async (engine: MaintainedTerm): Promise<void> => {
		const { predecessor } = options;
		if (predecessor.type !== 'unknown') {
			engine.engine.predecessorStopped(clock.now());
			return;
		}
		while (!running.aborted) {
			try {
				const connection = await network.dial(predecessor.address, settings.askPeersMs);
				const hello = await connection.call('peer.hello', { entryHost: self.entryHost }, settings.askPeersMs);
				if (hello.leader === undefined) {
					engine.engine.predecessorStopped(clock.now());
					engine.flush();
					return;
				}
			} catch {
				network.disconnect(predecessor.address);
			}
			await delay(PREDECESSOR_POLL_INTERVAL_MS, running);
		}
	};

	/** Waits until the store serves this leader, and therefore presumably a successor, or until the deadline. */
	const waitForStore = async (): Promise<void> => {
		const since = failingSince();
		if (since === undefined) {
			return;
		}
		logDecision('resignation-postponed', { term: identity.term, failingForMs: Math.round(clock.now() - since) });
		while (failingSince() !== undefined && clock.now() < options.resignBy() && !running.aborted) {
			await delay(settings.aliveEveryMs / 4, running);
		}
	};

	const resign = async (): Promise<TermOutcome> => {
		if (term !== undefined) {
			await waitForStore();
		}
		const successor = followers.chooseSuccessor();
		logDecision('term-resigned', { term: identity.term, successor });
		term?.quiesce();
		const until = clock.now() + RESIGN_FLUSH_TIMEOUT_MS;
		while (term?.journal.isBusy === true && clock.now() < until && !running.aborted) {
			await delay(settings.aliveEveryMs / 16, running);
		}
		if (followers.count > 0) {
			// A resignation record would move the end of the topic, at which a follower appends to obtain the next term.
			followers.sendHeartbeats({ topicEnd: leaderTopicEnd, successor });
		} else {
			const recordSignal = AbortSignal.any([signal, AbortSignal.timeout(RESIGN_RECORD_TIMEOUT_MS)]);
			await log.append('leader', [record(true)], { at: leaderTopicEnd }, recordSignal);
		}
		return 'resigned';
	};

	const runHeartbeats = async (): Promise<void> => {
		while (!running.aborted) {
			followers.sendHeartbeats();
			await delay(settings.aliveEveryMs, running);
		}
	};

	/** Resolves when a caller needs a confirmation of the term that the appends to the journal have not given. */
	const whenConfirmationNeeded = async (ended: AbortSignal): Promise<void> => {
		while (!ended.aborted) {
			await proof.whenNeeded(ended);
			const renewAt = (proof.neededSince ?? clock.now()) + JOURNAL_CONFIRMATION_MS;
			await delay(Math.max(0, renewAt - clock.now()), ended);
			if (proof.neededSince !== undefined && clock.now() >= proof.neededSince + JOURNAL_CONFIRMATION_MS) {
				return;
			}
		}
	};

	/** Waits until the next renewal is due. While the store serves this leader, a caller's need makes it due early. */
	const awaitRenewal = async (dueAt: number, isStoreServing: boolean): Promise<void> => {
		const renewed = new AbortController();
		const ended = AbortSignal.any([running, renewed.signal]);
		const due = delay(Math.max(0, dueAt - clock.now()), ended);
		await (isStoreServing ? Promise.race([due, whenConfirmationNeeded(ended)]) : due);
		renewed.abort();
	};

	const runRecordRenewal = async (): Promise<TermOutcome> => {
		while (!running.aborted) {
			if (!(await renewRecord())) {
				return 'deposed';
			}
			const { confirmedAt } = proof;
			if (clock.now() > confirmedAt + settings.validMs) {
				logDecision('term-unproven', { term: identity.term, forMs: Math.round(clock.now() - confirmedAt) });
				return 'deposed';
			}
			const since = failingSince();
			if (
				isRejectedByStore({ failingSince: since, confirmedAt, now: clock.now() }) &&
				(await followers.isStoreServingOne())
			) {
				logDecision('store-turns-leader-away', {
					term: identity.term,
					forMs: Math.round(clock.now() - (since ?? 0)),
				});
				followers.sendHeartbeats({});
				return 'stand-aside';
			}
			const intervalMs = since === undefined ? settings.beatEveryMs : STORE_SUSPICION_MS / 2;
			await awaitRenewal(renewalSentAt + intervalMs, since === undefined);
		}
		return 'deposed';
	};

	const awaitLoss = async (): Promise<TermOutcome> => {
		try {
			term = await begun;
		} catch (error) {
			logDecision('term-not-begun', { term: identity.term, reason: errorMessageOf(error) });
			return 'not-begun';
		}
		void pollPredecessor(term);
		logDecision('term-lost', { term: identity.term, reason: await term.lost });
		return 'deposed';
	};

	const awaitResignation = async (): Promise<TermOutcome> => {
		await aborted(resignation);
		try {
			return await resign();
		} catch (error) {
			logDecision('resignation-failed', { term: identity.term, reason: errorMessageOf(error) });
			return 'resigned';
		}
	};

	/** Gives up the term after an unexpected error. The next leader rebuilds its state from the journal and the workers. */
	const awaitFailure = async (): Promise<TermOutcome> => {
		await aborted(options.failure);
		logDecision('term-failed', { term: identity.term, reason: errorMessageOf(options.failure.reason) });
		term?.quiesce();
		followers.sendHeartbeats({ topicEnd: leaderTopicEnd, successor: followers.chooseSuccessor() });
		return 'failed';
	};

	void followers.announce(running);
	void runHeartbeats();
	try {
		return await Promise.race([awaitLoss(), runRecordRenewal(), awaitResignation(), awaitFailure()]);
	} finally {
		finished.abort();
	}
}

/** Resolves when a signal is aborted. */
function aborted(signal: AbortSignal): Promise<void> {
	return new Promise(resolve => {
		if (signal.aborted) {
			resolve();
		}
		signal.addEventListener('abort', () => resolve(), { once: true });
	});
}
