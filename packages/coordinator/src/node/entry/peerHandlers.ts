import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { FollowerStatus, NotLeader, PeerHandlers } from '../../common/peerProtocol.js';
import { proveAnswer, proveCount } from './answerProofs.js';
import { submitOnLeader } from './jobSubmission.js';
import type { WorkerFeed } from '@chestnutwheel/ports/common/feeds.js';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import { createUncertainSubmissions } from '../../common/uncertainSubmissions.js';
import { decodeBytes, encodeNewestOutcome, encodeReadOutcome } from '../../common/relayCodec.js';
import { decidingLeader } from '../leader/decidingLeader.js';
import type { LeaderTerm } from '../leader/leaderTerm.js';
import type { LeaderElection } from '../leadership/leaderElection.js';
import { newestWaveOf, type PlanCache } from '../plan/planCache.js';
import type { WorkerCallExecutor } from '../relay/workerCallExecutor.js';
import type { WorkerRelay } from '../relay/workerRelay.js';

/** Longest time for which a leader that is taking over the journal lets a call wait, in milliseconds. */
const TAKEOVER_WAIT_MS = 250;

/** Options of {@link createPeerHandlers}. */
export interface PeerHandlersOptions {
	readonly self: { readonly entryHost: string };
	/** Returns whether this daemon may lead, and for how long its process has run. */
	readonly status: () => Omit<FollowerStatus, 'entryHost'>;
	readonly election: LeaderElection;
	/**
	 * Resolves with the term of this daemon while it leads. A leader that is taking over the journal has its callers wait for
	 * some time, since each of them would otherwise ask again every few milliseconds.
	 */
	readonly whenTermBegun: (withinMs: number) => Promise<LeaderTerm | undefined>;
	/** Returns the time since which the store does not serve the takeover of the journal by this daemon, if it does not. */
	readonly blockedSince: () => number | undefined;
	readonly planCache: PlanCache;
	readonly isStoreReachable: () => Promise<boolean>;
	readonly workerCalls: WorkerCallExecutor;
	readonly workerRelay: Pick<WorkerRelay, 'handleOutcomes'>;
	/** Store of this daemon, to which it relays calls of a leader. */
	readonly log: LogService;
	readonly workerFeed: WorkerFeed;
	readonly signal: AbortSignal;
	readonly clock: Clock;
	readonly counters: Counters;
}

/** Creates the handlers of the peer protocol. */
export function createPeerHandlers(options: PeerHandlersOptions): PeerHandlers {
	const { self, status, election, whenTermBegun, blockedSince, planCache, isStoreReachable, clock } = options;
	const { log, workerFeed, workerCalls, workerRelay, signal } = options;
	const currentTerm = (): Promise<LeaderTerm | undefined> => whenTermBegun(TAKEOVER_WAIT_MS);
	const notLeading = (): NotLeader => ({ type: 'not-leading', leader: election.leader() });
	const uncertainSubmissions = createUncertainSubmissions(options.counters);

	return {
		'peer.hello': async ({ entryHost }, session) => {
			session.peerName = entryHost;
			// A peer that has already read a new leader record of this daemon must not be told that it does not lead.
			await election.whenCandidacyDecided();
			return { entryHost: self.entryHost, leader: election.isLeading ? election.leader() : undefined };
		},
		'leader.heard': () => ({ leader: election.leader(), silentForMs: election.leaderSilenceMs() }),
		'leader.alive': alive => {
			election.recordHeartbeat(alive, clock.now());
			return {
				planVersion: planCache.current()?.version ?? 0,
				newestWave: newestWaveOf(planCache),
				newestEvacuation: planCache.newestEvacuation,
				entryHost: self.entryHost,
				...status(),
			};
		},
		'job.submit': async submission => {
			const receivedAt = clock.now();
			const term = await currentTerm();
			const now = clock.now();
			const { leaderTerm } = submission;
			const isMeant = term !== undefined && (leaderTerm === undefined || leaderTerm === term.identity.term);
			const result = isMeant ? await submitOnLeader(term, submission, receivedAt, now) : undefined;
			if (result !== undefined) {
				return result;
			}
			// A job that an earlier leader has received may be in the journal, which this leader has not read yet.
			if (submission.mayBeStored === true) {
				uncertainSubmissions.add(submission.id, now);
			}
			const since = blockedSince();
			return {
				...notLeading(),
				takeoverBlockedMs: since === undefined ? undefined : now - since,
				mayBeStored: uncertainSubmissions.has(submission.id, now),
			};
		},
		'job.cancel': async ({ id, team }) => {
			const receivedAt = clock.now();
			const term = await currentTerm();
			if (term === undefined) {
				return notLeading();
			}
			const decision = term.engine.cancel(id, team, clock.now());
			term.flush();
			const proof = await proveAnswer(term, decision, { job: id, receivedAt });
			return proof === 'proven' ? { ...decision, decidedBy: decidingLeader(term) } : notLeading();
		},
		'job.state': async ({ id, team }) => {
			const receivedAt = clock.now();
			const term = await currentTerm();
			if (term === undefined) {
				return notLeading();
			}
			const proof = await proveAnswer(term, term.engine.state(id, team), { job: id, receivedAt });
			if (proof !== 'proven') {
				return notLeading();
			}
			// The job may have been stored meanwhile.
			const decision = term.engine.state(id, team);
			return decision.type === 'unknown-job' ? { ...decision, decidedBy: decidingLeader(term) } : decision;
		},
		'queue.pending': async ({ queue }) => {
			const receivedAt = clock.now();
			const term = await currentTerm();
			return term !== undefined && (await proveCount(term, receivedAt)) === 'proven'
				? { type: 'pending', pending: term.engine.pendingCount(queue) }
				: notLeading();
		},
		'plan.get': () => ({
			plan: planCache.current(),
			waves: planCache.waves(),
			evacuations: planCache.evacuationRecords(),
		}),
		'plan.offer': ({ plan: offered }) => {
			planCache.offer(offered);
			return { version: planCache.current()?.version ?? 0 };
		},
		'store.append': async ({ topic, records, conditions }) => ({
			outcome: await log.append(topic, records.map(decodeBytes), conditions, signal),
		}),
		'store.read': async ({ topic, from, waitMs }) => ({
			outcome: encodeReadOutcome(await log.read(topic, from, waitMs, signal)),
		}),
		'store.newest': async ({ topic }) => ({ outcome: encodeNewestOutcome(await log.newest(topic, signal)) }),
		'feed.workers': async ({ from }) => ({
			outcome: from === undefined ? await workerFeed.snapshot(signal) : await workerFeed.changes(from, 0, signal),
		}),
		'workers.call': ({ calls, heardClockMs }, { peer }) => {
			if (peer !== undefined) {
				workerCalls.execute(calls, peer, heardClockMs);
			}
			return undefined;
		},
		'workers.answered': ({ outcomes }) => {
			workerRelay.handleOutcomes(outcomes);
			return undefined;
		},
		'store.reachable': async () => ({ reachable: await isStoreReachable() }),
	};
}
