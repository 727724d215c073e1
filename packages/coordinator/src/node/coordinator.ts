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
import type { LeaderIdentity, PeerHandlers } from '../common/peerProtocol.js';
import { createCallService, type CallService } from './entry/callService.js';
import { createLeaderClient } from './entry/leaderClient.js';
import { createPeerHandlers } from './entry/peerHandlers.js';
import { maintainTerm } from './leader/maintainTerm.js';
import { beginTerm, type LeaderTerm } from './leader/leaderTerm.js';
import {
	createLeaderElection,
	type Predecessor,
	type LeaderElection,
	type TermOutcome,
} from './leadership/leaderElection.js';
import { createMemberList } from './leadership/memberList.js';
import { createPeerNetwork } from './peers/peerNetwork.js';
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
	let term: LeaderTerm | undefined;
	let isStopping = false;
	const drainController = new AbortController();

	const planCache = createPlanCache(services.operatorFeed, clock, counters, logDecision);
	const members = createMemberList(services.log, self);
	const network = createPeerNetwork((): PeerHandlers => handlers, clock, counters, signal);

	const lead = async (
		identity: LeaderIdentity,
		predecessor: Predecessor,
		electionSignal: AbortSignal,
	): Promise<TermOutcome> => {
		const termController = new AbortController();
		const termSignal = AbortSignal.any([electionSignal, termController.signal]);
		setMaxListeners(0, termSignal);
		try {
			const startedTerm = await beginTerm(
				identity,
				{ settings, ...services, planCache, clock, counters, logDecision },
				termSignal,
			);
			term = startedTerm;
			return await maintainTerm(
				{
					term: startedTerm,
					predecessor,
					settings,
					self,
					log: services.log,
					network,
					members,
					planCache,
					clock,
					counters,
					logDecision,
					resignation: drainController.signal,
				},
				termSignal,
			);
		} catch (error) {
			logDecision('term-not-begun', { term: identity.term, reason: errorMessageOf(error) });
			return 'deposed';
		} finally {
			term = undefined;
			termController.abort();
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
		lead,
	});
	const handlers: PeerHandlers = createPeerHandlers({
		self,
		election,
		term: () => term,
		planCache,
		isStoreReachable: async () =>
			(await services.log.newest('leader', AbortSignal.any([signal, AbortSignal.timeout(STORE_PROBE_TIMEOUT_MS)])))
				.type === 'newest',
		clock,
	});
	const leaderClient = createLeaderClient({ election, handlers: () => handlers, planCache, clock, counters });

	const register = async (): Promise<void> => {
		while (!signal.aborted && !(await members.register(signal))) {
			await delay(REGISTER_RETRY_MS, signal);
		}
	};

	await network.listen(settings.peerListen);
	void planCache.run(signal);
	void register();
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
			election.disableCandidacy();
			drainController.abort();
		},
		stop: async () => {
			await members.deregister(AbortSignal.timeout(REGISTER_RETRY_MS));
			controller.abort();
		},
	};
}
