import { errorResponses } from '@chestnutwheel/base/common/errorKinds.js';
import type { ControlChange } from '../control/controlState.js';
import type { HostStatus } from '@chestnutwheel/maintenance/common/waveMessages.js';
import type { HostList } from '@chestnutwheel/platform/common/hostList.js';
import type { HeldLease } from '@chestnutwheel/membership/common/leaseHolder.js';
import type { PlacementRequest } from '@chestnutwheel/dispatch/common/dispatchMessages.js';
import {
	WAIT_SLICE_MS,
	type FinishedAttempt,
	type OnlyOnce,
	type PeerMethods,
	type WorkRequest,
	type WorkResponse,
} from '../../common/peerProtocol.js';
import { createDispatchTask, type DispatchTask, type DispatchTaskOptions } from './dispatchTask.js';
import { createWaveTask, type WaveTask, type WaveTaskOptions } from './waveTask.js';
import { createWorkTask, type WorkTask, type WorkTaskOptions } from './work/workTask.js';

/** What a daemon does for one cell while it leads it. Without the lease it refuses everything as `no-leader`. */
export interface CellLeader {
	/** The lease was gained or renewed, or lost when it is missing. */
	leaseChanged(lease: HeldLease | undefined): void;
	configurationChanged(change: ControlChange): void;
	hostListChanged(list: HostList): void;
	request(request: WorkRequest): Promise<WorkResponse>;
	/** @param onlyOnce present when the whole request is given up and may not be repeated */
	cancel(requestId: string, onlyOnce: OnlyOnce | undefined): void;
	/** @returns the ids of the attempts that need not be reported again */
	finish(attempts: readonly FinishedAttempt[]): readonly string[];
	readonly work: WorkTask;
	view(): PeerMethods['operator.cell']['result'];
}

/** What the leader needs: what its tasks need, apart from what they give each other. */
export interface CellLeaderOptions
	extends
		Omit<DispatchTaskOptions, 'hooks'>,
		Omit<WaveTaskOptions, 'drainedHosts' | 'isLeading'>,
		Omit<WorkTaskOptions, 'dispatch'> {
	/** The lease, read anew at every decision. */
	readonly lease: () => HeldLease | undefined;
}

const notLeading: WorkResponse = { state: 'refused', kind: 'no-leader', reason: 'this daemon does not lead the cell' };

/** Creates the leader's tasks of one cell. */
export function createCellLeader(options: CellLeaderOptions, signal: AbortSignal): CellLeader {
	const { clock, lease } = options;
	const boots = new Map<string, string>();

	const hostStatus = (status: HostStatus): void => waves.send({ type: 'host-status', status });

	const dispatch: DispatchTask = createDispatchTask(
		{
			...options,
			hooks: {
				workerAnswered: (host, status, requestedAt) => {
					boots.set(host, status.boot);
					const { boot, draining, running } = status;
					hostStatus({ host, reachable: true, boot, running: running.length, draining, requestedAt });
					work.workerAnswered(host, status);
				},
				workerSilent: (host, requestedAt) => {
					const boot = boots.get(host) ?? '';
					hostStatus({ host, reachable: false, boot, running: 0, draining: false, requestedAt });
				},
				checkpointJob: grantId => work.checkpoint(grantId),
				// A request ends at its worker by its lease; the protocol has no way to stop it earlier.
				stopTask: () => options.counters.add('stops_not_sent_total'),
				setAside: (host, isSetAside) => waves.send({ type: isSetAside ? 'host-set-aside' : 'host-taken-back', host }),
				moveHost: (host, from, to) => {
					const record = {
						type: 'host-moved',
						version: 1,
						moveId: `${host}:${from}:${to}:${clock.now()}`,
						host,
						from,
						to,
					} as const;
					options.append(record).catch(() => options.counters.add('host_moves_failed_total'));
				},
				explain: options.explain,
			},
		},
		signal,
	);
	const waves: WaveTask = createWaveTask(
		{
			...options,
			drainedHosts: hosts => dispatch.send({ type: 'drained-hosts', hosts }),
			isLeading: () => lease() !== undefined,
		},
		signal,
	);
	const work: WorkTask = createWorkTask({ ...options, dispatch }, signal);

	const placementOf = (request: WorkRequest, deadline: number): PlacementRequest => ({
		requestId: request.requestId,
		entryHost: request.entryHost,
		cell: request.cell,
		team: request.team,
		keyId: request.keyId,
		queue: request.queue,
		class: request.class,
		deadline,
		avoidHosts: request.avoidHosts,
		kind: 'request',
	});

	const finishOne = (attempt: FinishedAttempt): void => {
		dispatch.finished(attempt.grantId, attempt.outcome);
		if (attempt.outcome === 'succeeded' || attempt.outcome === 'failed') {
			waves.send({ type: 'host-result', host: attempt.host, succeeded: attempt.outcome === 'succeeded' });
		}
		if (attempt.onlyOnce !== undefined && attempt.final) {
			work.requestEnded(attempt);
		}
	};

	return {
		work,
		leaseChanged: held => {
			if (held === undefined) {
				dispatch.send({ type: 'lease-lost' });
				waves.send({ type: 'not-leading' });
				work.notLeading();
				return;
			}
			// The wave driver goes first: hosts that dispatch sets aside under the new lease must not be lost on it.
			waves.send({ type: 'leading', term: held.term, until: held.until });
			dispatch.send({ type: 'lease-held', term: held.term, until: held.until });
			work.leading(held);
		},
		configurationChanged: ({ state, verdicts }) => {
			dispatch.send({ type: 'configuration', state });
			waves.send({ type: 'configuration', state });
			for (const verdict of verdicts) {
				if (!verdict.accepted && verdict.type === 'wave-claim') {
					options.counters.add('wave_claims_refused_total');
				}
			}
		},
		hostListChanged: ({ hosts }) => {
			dispatch.send({ type: 'host-list', hosts });
			waves.send({ type: 'host-list', hosts });
		},
		request: async request => {
			if (lease() === undefined) {
				return notLeading;
			}
			const waitUntil = clock.now() + WAIT_SLICE_MS;
			const deadline = clock.now() + request.remainingMs;
			if (request.onlyOnce !== undefined) {
				const refusal = await work.starts.record(request.team ?? '', request.onlyOnce, deadline, waitUntil);
				if (refusal !== undefined) {
					return refusal;
				}
			}
			const response = await dispatch.ask(placementOf(request, deadline), waitUntil);
			if (
				response.state === 'refused' &&
				request.onlyOnce !== undefined &&
				errorResponses[response.kind].outcome === 'not-run'
			) {
				work.starts.ended(request.onlyOnce, 'not-run');
			}
			return response;
		},
		cancel: (requestId, onlyOnce) => {
			dispatch.cancel(requestId);
			if (onlyOnce !== undefined) {
				work.starts.withdraw(onlyOnce);
			}
		},
		finish: attempts => {
			if (lease() === undefined) {
				return [];
			}
			attempts.forEach(finishOne);
			return attempts.map(attempt => attempt.grantId);
		},
		view: () => (lease() === undefined ? { jobs: [] } : { overview: dispatch.overview(), jobs: work.jobs() }),
	};
}
