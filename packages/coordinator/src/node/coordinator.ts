import { randomBytes, randomInt } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { LatencyRecorder } from '@chestnutwheel/base/node/latencyRecorder.js';
import { errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import { createSystemClock } from '@chestnutwheel/base/node/systemClock.js';
import type { OperatorFeed, WorkerFeed } from '@chestnutwheel/ports/common/feeds.js';
import type { AdviceService, HostService, WaveStatusPublisher } from '@chestnutwheel/ports/common/hostService.js';
import type { LogService } from '@chestnutwheel/ports/common/logService.js';
import type { WorkerService } from '@chestnutwheel/ports/common/workerService.js';
import type { DecisionLogger } from '@chestnutwheel/engine/common/engineMessages.js';
import type { CoordinatorSettings } from '../common/coordinatorSettings.js';
import type { PeerHandlers } from '../common/peerProtocol.js';
import { createCallService, type CallService } from './entry/callService.js';
import { createLeaderClient } from './entry/leaderClient.js';
import { createPeerHandlers } from './entry/peerHandlers.js';
import { beginTerm, type LeaderTerm } from './leader/leaderTerm.js';
import { createTermLeader } from './leader/leadTerm.js';
import { createLeaderElection, type LeaderElection } from './leadership/leaderElection.js';
import { monitorLoopDelay } from './loopDelayMonitor.js';
import { createMemberList } from './leadership/memberList.js';
import { createPeerNetwork } from './peers/peerNetwork.js';
import { createRelayedLog } from './relay/relayedLog.js';
import { createRelayedWorkerFeed } from './relay/relayedWorkerFeed.js';
import { createStoreRelay } from './relay/storeRelay.js';
import { createWorkerCallExecutor } from './relay/workerCallExecutor.js';
import { createWorkerRelay } from './relay/workerRelay.js';
import { createPlanCache } from './plan/planCache.js';

/** Services of the platform that the daemon uses. */
export interface PlatformServices {
	readonly log: LogService;
	readonly workers: WorkerService;
	readonly hosts: HostService;
	readonly waveReports: WaveStatusPublisher;
	readonly advice: AdviceService;
	readonly operatorFeed: OperatorFeed;
	readonly workerFeed: WorkerFeed;
}

/** A running daemon, without its API server. */
export interface Coordinator {
	readonly calls: CallService;
	/** Returns whether the load balancer should send callers to this daemon. */
	isReady(): boolean;
	/** Hands over the term if this daemon leads, and reports not ready. Calls are still forwarded to the leader. */
	drain(): void;
	/** Handles an error that no task has caught. The process goes on; a leader gives up its term, whose state is in doubt. */
	handleUnexpectedError(error: unknown): void;
	/** Removes this daemon from the member list and stops all its tasks. */
	stop(): Promise<void>;
}

const INCARNATION_BYTES = 6;

/** Time without contact to the leader after which the daemon reports not ready. A change of leader takes less. */
const READY_SILENCE_MS = 3_000;

/** Timeout of the store when a peer asks whether the store serves this daemon. */
const STORE_PROBE_TIMEOUT_MS = 400;

/** Delay before the registration of the daemon's address in the store is retried. */
const REGISTER_RETRY_MS = 300;

/**
 * Fraction of the grace time after which a leader that is about to stop resigns even though the store does not serve it. The
 * rest is left for the successor to begin while this process still answers.
 */
const RESIGN_WITHIN_FRACTION = 0.75;

/** Number of lines of a stack trace that are logged with an unexpected error. */
const STACK_LINES_LOGGED = 4;

/** Interval at which a stopping daemon checks whether it has handed over its term. */
const RESIGN_POLL_INTERVAL_MS = 20;

/** Starts a daemon: its peer network, leader election and plan cache. */
export async function startCoordinator(
	settings: CoordinatorSettings,
	services: PlatformServices,
	counters: Counters,
	latencies: LatencyRecorder,
	logDecision: DecisionLogger,
): Promise<Coordinator> {
	const controller = new AbortController();
	const { signal } = controller;
	// Every task and open call adds a listener to this signal, which exceeds the default limit of listeners.
	setMaxListeners(0, signal);
	const clock = createSystemClock();
	const random = createSeededRandom(randomInt(2 ** 31));
	const { host, port } = settings.peerListen;
	const self = {
		entryHost: settings.entryHost,
		address: `${host}:${port}`,
		incarnation: randomBytes(INCARNATION_BYTES).toString('hex'),
	};
	const startedAt = clock.now();
	let isStopping = false;
	/** Time by which this daemon hands over its term, once it is about to stop. */
	let resignBy = Infinity;
	const drainController = new AbortController();

	const planCache = createPlanCache(services.operatorFeed, clock, counters, logDecision);
	const members = createMemberList(services.log, self);
	const network = createPeerNetwork((): PeerHandlers => handlers, clock, counters, signal);

	const isStoreServing = async (timeoutMs: number): Promise<boolean> =>
		(await services.log.newest('leader', AbortSignal.any([signal, AbortSignal.timeout(timeoutMs)]))).type === 'newest';
	const relay = createStoreRelay(
		{ network, probe: () => isStoreServing(STORE_PROBE_TIMEOUT_MS), clock, counters, logDecision },
		signal,
	);
	const relayedLog = createRelayedLog(services.log, relay);
	const relayedWorkerFeed = createRelayedWorkerFeed(services.workerFeed, relay);
	const workerRelay = createWorkerRelay({
		direct: services.workers,
		clock,
		counters,
		logDecision,
		relayFromFollowers: settings.relayFromFollowers,
	});
	const workerCalls = createWorkerCallExecutor({
		workers: services.workers,
		newestTerm: () => election.leader()?.term ?? 0,
		clock,
		counters,
	});
	const termLeader = createTermLeader<LeaderTerm>({
		begin: (identity, proof, onBlocked, termSignal) =>
			beginTerm(
				identity,
				{
					settings,
					...services,
					log: relayedLog,
					workers: workerRelay,
					workerFeed: relayedWorkerFeed,
					planCache,
					clock,
					counters,
					logDecision,
					proof,
					onBlocked,
					onFirstStart: () => recordHandover(identity.term),
				},
				termSignal,
			),
		settings: settings.leadership,
		self,
		log: relayedLog,
		network,
		members,
		planCache,
		clock,
		counters,
		logDecision,
		resignation: drainController.signal,
		resignBy: () => resignBy,
		onFollowerStatus: (connection, status) => workerRelay.updateFollower(connection, status),
	});
	/** Records the time from the last contact to the previous leader to the first start of this term. */
	const recordHandover = (term: number): void => {
		const { previousLeaderSeenAt } = election;
		if (previousLeaderSeenAt !== undefined) {
			const handoverMs = clock.now() - previousLeaderSeenAt;
			latencies.recordHandover(handoverMs);
			logDecision('first-start-of-term', { term, sincePreviousLeaderMs: Math.round(handoverMs) });
		}
	};
	const election: LeaderElection = createLeaderElection({
		settings: settings.leadership,
		self,
		log: services.log,
		network,
		members,
		clock,
		random,
		counters,
		logDecision,
		lead: (identity, predecessor, electionSignal) => termLeader.lead(identity, predecessor, electionSignal),
	});
	const handlers: PeerHandlers = createPeerHandlers({
		self,
		status: () => ({
			canLead: !isStopping && settings.leadership.standAfterMs === 0,
			uptimeMs: Math.round(clock.now() - startedAt),
			relaysWorkerCalls: !isStopping,
			clockMs: clock.now(),
		}),
		election,
		whenTermBegun: withinMs => termLeader.whenBegun(withinMs),
		blockedSince: () => termLeader.blockedSince(),
		planCache,
		isStoreReachable: () => isStoreServing(STORE_PROBE_TIMEOUT_MS),
		log: services.log,
		workerFeed: services.workerFeed,
		workerCalls,
		workerRelay,
		signal,
		clock,
		counters,
	});
	const leaderClient = createLeaderClient({ election, handlers: () => handlers, planCache, clock, counters });

	const register = async (): Promise<void> => {
		while (!signal.aborted && !(await members.register(signal))) {
			await delay(REGISTER_RETRY_MS, signal);
		}
	};

	await network.listen(settings.peerListen);
	void planCache.run(signal);
	void monitorLoopDelay({ clock, counters, logDecision }, signal);
	void register();
	void workerCalls.run(signal);
	const electionRun = election.run(signal);
	electionRun.catch((error: unknown) => {
		logDecision('leadership-failed', { reason: errorMessageOf(error) });
		throw error;
	});

	return {
		calls: createCallService({ planCache, leaderClient, clock, counters, latencies, logDecision }),
		isReady: () =>
			!isStopping &&
			planCache.current() !== undefined &&
			election.leader() !== undefined &&
			election.leaderSilenceMs() < READY_SILENCE_MS,
		drain: () => {
			isStopping = true;
			resignBy = clock.now() + settings.graceMs * RESIGN_WITHIN_FRACTION;
			election.disableCandidacy();
			drainController.abort();
		},
		handleUnexpectedError: error => {
			counters.add('unexpected_errors_total');
			const origin = error instanceof Error ? error.stack?.split('\n', STACK_LINES_LOGGED).join(' ') : undefined;
			logDecision('unexpected-error', { reason: errorMessageOf(error), origin });
			termLeader.fail(error);
		},
		stop: async () => {
			while (election.isLeading && clock.now() < resignBy) {
				await delay(RESIGN_POLL_INTERVAL_MS, signal);
			}
			await members.deregister(AbortSignal.timeout(REGISTER_RETRY_MS));
			controller.abort();
		},
	};
}
