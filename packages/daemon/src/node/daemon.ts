import { randomBytes, randomInt } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { createCounters } from '@chestnutwheel/base/common/counters.js';
import { errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import { createSystemClock } from '@chestnutwheel/base/node/systemClock.js';
import type { ControlRecord } from '@chestnutwheel/configuration/common/controlRecord.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import { createViewFreshness } from '@chestnutwheel/membership/common/viewFreshness.js';
import { createHttpHostListClient } from '@chestnutwheel/platform/node/httpHostListClient.js';
import { createHttpLogClient } from '@chestnutwheel/platform/node/httpLogClient.js';
import { createHttpWorkerClient } from '@chestnutwheel/platform/node/httpWorkerClient.js';
import type { Logger } from 'pino';
import type { Settings } from '../common/settings.js';
import { createBurnTask } from './burn/burnTask.js';
import { CONTROL_STREAM } from './control/controlReader.js';
import { createControlState } from './control/controlState.js';
import { createControlTask } from './control/controlTask.js';
import { startCallerServer, startControlServer } from './edges/httpServers.js';
import { createAdmission } from './entry/admission.js';
import { createAuthenticator } from './entry/authenticator.js';
import { createCallerService } from './entry/callerService.js';
import { createFinishReporter } from './entry/finishReporter.js';
import { createHeldGrants } from './entry/heldGrants.js';
import { createPlacement } from './entry/placement.js';
import { createRequestRunner } from './entry/requestRunner.js';
import { createRetryBudget } from './entry/retryBudget.js';
import { createCellLeaders } from './leader/cellLeaders.js';
import { createExplanations } from './leader/explanations.js';
import { runHostListTask } from './leader/hostListTask.js';
import { createMembershipTask } from './membership/membershipTask.js';
import { createControlService, type Health } from './operator/controlService.js';
import { createLatencyRecorder } from '@chestnutwheel/base/node/latencyRecorder.js';
import { createNetworkMeter } from './operator/networkMeter.js';
import { explainNotes } from './operator/noteExplanations.js';
import { createNoteSubmission } from './operator/noteSubmission.js';
import { createCellCalls } from './peers/cellCalls.js';
import { createPeerClient } from './peers/peerClient.js';
import { createPeerHandlers } from './peers/peerHandlers.js';
import { createPeerServer, type PeerHandlers } from './peers/peerServer.js';

/** A running daemon. */
export interface Daemon {
	readonly callerAddress: string;
	readonly controlAddress: string;
	/** Stops gracefully: the health check fails, open requests end, then everything is closed. */
	stop(): Promise<void>;
}

const HOUR_MS = 3_600_000;
/** Enough that two starts of a daemon never share one; it travels with every lease message. */
const INCARNATION_BYTES = 9;
/** Time that open requests have after the listener was closed. */
const LONGEST_REQUEST_MS = 60_000;
/** Time that reports of ended attempts have to reach a leader during a stop. */
const REPORT_WITHIN_MS = 2_000;

/**
 * Starts a daemon. Resolves when both of its ports are open.
 * @param onFatal called when one of its tasks has ended with an error, after which it must not go on
 */
export async function startDaemon(settings: Settings, logger: Logger, onFatal: () => void): Promise<Daemon> {
	const controller = new AbortController();
	const { signal } = controller;
	// Every task and open call of the daemon listens to this one signal.
	setMaxListeners(0, signal);
	const clock = createSystemClock();
	const random = createSeededRandom(randomInt(2 ** 31));
	const counters = createCounters();
	const latencies = createLatencyRecorder();
	const explanations = createExplanations(clock);
	const self = settings.entryHost;
	const log = createHttpLogClient({ baseUrl: settings.platform.log });
	const hostList = createHttpHostListClient({ baseUrl: settings.platform.hostList });
	const workers = createHttpWorkerClient();
	const client = createPeerClient(counters, signal);
	const controlState = createControlState(counters);
	const state = (): FleetState => controlState.current();
	const freshness = createViewFreshness({ offset: -1 });
	const common = { clock, random, counters, logger };
	const retentionMs = settings.platform.logRetentionHours * HOUR_MS;
	let isStopping = false;

	const meter = createNetworkMeter(origin => {
		const address = `http://${origin}`;
		if (address === settings.platform.log) {
			return 'log';
		}
		if (address === settings.platform.hostList) {
			return 'host-list';
		}
		const peers = [...settings.peers, ...Object.values(state().entryHosts).map(entryHost => entryHost.address)];
		return peers.includes(address) ? 'peer' : 'worker';
	}, signal);

	const calls = createCellCalls({
		self,
		client,
		handlers: () => handlers,
		state,
		leaderOf: cell => membership.leaderOf(cell),
	});
	const control = createControlTask({
		...common,
		self,
		log,
		state: controlState,
		client,
		freshness,
		settingsPeers: settings.peers,
		retentionMs,
		isSnapshotWriter: () => leaders.leadsFirstCell(),
	});
	const membership = createMembershipTask({
		...common,
		identity: { entryHost: self, incarnation: randomBytes(INCARNATION_BYTES).toString('base64url') },
		state,
		calls,
		freshness,
		isCaughtUp: () => control.isCaughtUp(),
	});
	const append = (record: ControlRecord): Promise<number> => log.append(CONTROL_STREAM, JSON.stringify(record), signal);
	const leaders = createCellLeaders(
		{
			...common,
			self,
			workers,
			calls,
			log,
			retentionMs,
			state,
			append,
			membership,
			control: controlState,
			explain: (subject, reason, details) => explanations.add(subject, reason, details),
		},
		signal,
	);
	explainNotes(controlState, explanations, self, signal);
	const held = createHeldGrants();
	const reporter = createFinishReporter(calls, clock, counters, signal);
	const burn = createBurnTask({ clock, state });
	const admission = createAdmission(() => {
		const verdict = control.isCaughtUp()
			? membership.mayServe()
			: ({ allowed: false, kind: 'not-ready', reason: 'the control stream has not been read to its end yet' } as const);
		return verdict.allowed ? undefined : verdict;
	}, counters);
	const callerService = createCallerService({
		state,
		authenticator: createAuthenticator(state),
		admission,
		runner: createRequestRunner({
			entryHost: self,
			placement: createPlacement(calls, clock, random),
			workers,
			held,
			reporter,
			budget: createRetryBudget(),
			clock,
			random,
			counters,
		}),
		calls,
		clock,
		onEnded: ended => {
			counters.add('requests_total', { queue: ended.queue, result: ended.failure ?? 'answered' });
			latencies.record(ended.queue, ended.latencyMs);
			burn.record(ended);
		},
	});

	const health = (): Health => {
		const verdict = membership.mayServe();
		const notReady = control.isCaughtUp() ? undefined : 'not-ready';
		const reason = isStopping ? 'stopping' : (notReady ?? (verdict.allowed ? undefined : verdict.reason));
		return { entryHost: self, ready: reason === undefined, view: freshness.report(clock.now()), reason };
	};
	const handlers: PeerHandlers = createPeerHandlers({
		self,
		membership,
		leaders,
		held,
		control: controlState,
		explanations,
		burn,
		health,
		clock,
	});
	const controlService = createControlService({
		self,
		operatorKeySha256: settings.operatorKeySha256,
		state,
		calls,
		peerServer: createPeerServer(handlers),
		submission: createNoteSubmission(log, state, clock, signal),
		log,
		counters,
		latencies,
		meter,
		health,
		leaderOf: cell => membership.leaderOf(cell),
		mergeBurn: parts => burn.merge(parts),
	});

	const controlServer = await startControlServer(settings.controlAddress, controlService);
	const callerServer = await startCallerServer(settings.callerAddress, callerService);
	meter.observeServer(controlServer.server, 'control');
	meter.observeServer(callerServer.server, 'caller');
	const tasks = Promise.all([
		control.run(signal),
		membership.run(signal),
		leaders.run(signal),
		runHostListTask(
			{
				...common,
				client: hostList,
				isNeeded: () => leaders.leadsAny(),
				onList: list => leaders.hostListChanged(list),
			},
			signal,
		),
	]);
	tasks.catch((error: unknown) => {
		logger.fatal({ reason: errorMessageOf(error) }, 'a task has ended with an error');
		onFatal();
	});

	return {
		callerAddress: callerServer.address,
		controlAddress: controlServer.address,
		stop: async () => {
			isStopping = true;
			logger.info('stopping; the health check fails from now on');
			await membership.stop();
			// New requests still arrive until the balancer has seen the failing health check.
			await delay(settings.balancerDelayMs, signal);
			await Promise.race([callerServer.close(), delay(LONGEST_REQUEST_MS, signal)]);
			await reporter.drained(clock.now() + REPORT_WITHIN_MS);
			controller.abort();
			await Promise.all([controlServer.close(), log.close(), hostList.close(), workers.close()]);
			logger.info('stopped');
		},
	};
}
