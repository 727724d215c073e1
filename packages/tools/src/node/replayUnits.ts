import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { emptyFleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { DispatchMessage } from '@chestnutwheel/dispatch/common/dispatchMessages.js';
import { createDispatcher } from '@chestnutwheel/dispatch/common/dispatcher.js';
import { runInterleaving } from '@chestnutwheel/dispatch/test/interleaving.js';
import type { Step } from '@chestnutwheel/dispatch/test/interleavingStep.js';
import { createLeaseHolder, type HolderContext } from '@chestnutwheel/membership/common/leaseHolder.js';
import type {
	DaemonIdentity,
	LeaseRelease,
	LeaseRequest,
	LeaseResponse,
	ViewReport,
} from '@chestnutwheel/membership/common/leaseMessages.js';
import { createLeaseVoter, type VoterContext } from '@chestnutwheel/membership/common/leaseVoter.js';
import { createViewFreshness } from '@chestnutwheel/membership/common/viewFreshness.js';
import {
	runLeaseCluster,
	type ClusterEvent,
	type ClusterOptions,
} from '@chestnutwheel/membership/test/leaseCluster.js';
import { createJobController } from '@chestnutwheel/work/common/jobController.js';
import { createRequestRecorder } from '@chestnutwheel/work/common/requestRecorder.js';
import { createWorkLedger } from '@chestnutwheel/work/common/workLedger.js';
import type { JobMessage, RecorderMessage } from '@chestnutwheel/work/common/workMessages.js';
import { runJobModel, type JobStep } from '@chestnutwheel/work/test/jobModel.js';
import { runRequestModel, type RequestStep } from '@chestnutwheel/work/test/requestModel.js';

/** First line of a trace. */
export type TraceHeader = Readonly<Record<string, unknown>> & { readonly unit: string };

/** A call of a unit: the time comes first, then what the trace gives as arguments. */
export type UnitCall = (at: number, ...parameters: never[]) => unknown;

/** A unit that is replayed call by call; the calls by name. */
export type ReplayedUnit = Readonly<Record<string, UnitCall>>;

/** Units that a trace can name, which answer each event. */
export const steppedUnits: Readonly<Record<string, (header: TraceHeader) => ReplayedUnit>> = {
	'lease-voter': header => {
		const voter = createLeaseVoter({
			identity: header.identity as DaemonIdentity,
			startedAt: header.startedAt as number,
		});
		return {
			answer: (now, request: LeaseRequest, context: Omit<VoterContext, 'now'>) =>
				voter.answer(request, { ...context, now }),
			release: (now, release: LeaseRelease) => voter.release(release, now),
			mayAcknowledge: (now, entrySetOffset: number) => voter.mayAcknowledge(entrySetOffset, now),
		};
	},
	'lease-holder': header => {
		const holder = createLeaseHolder({
			identity: header.identity as DaemonIdentity,
			cell: header.cell as string,
			random: createSeededRandom(header.seed as number),
		});
		return {
			tick: (now, context: HolderContext) => holder.tick(now, context),
			receive: (now, response: LeaseResponse, sentAt: number) => holder.receive(response, sentAt, now),
			observeRenewal: (now, entryHost: string, term: number) => holder.observeRenewal(entryHost, term, now),
			voterReleased: now => holder.observeRelease(now),
			lease: now => holder.lease(now),
			observedHolder: () => holder.observedHolder(),
			observeTerm: (_now, term: number) => holder.observeTerm(term),
			release: () => holder.release(),
		};
	},
	'view-freshness': header => {
		const view = createViewFreshness({ offset: header.offset as number });
		return {
			folded: (_now, offset: number) => view.folded(offset),
			readConfirmed: (_now, offset: number, sentAt: number) => view.readConfirmed(offset, sentAt),
			readWorked: () => view.readSucceeded(),
			readFailed: () => view.readFailed(),
			peerAnswered: (now, entryHost: string, report: ViewReport, sentAt: number) =>
				view.peerReported(entryHost, report, sentAt, now),
			peerOffset: (now, offset: number) => view.peerOffsetReceived(offset, now),
			mayServe: (now, entryHosts: readonly string[], self: string) => view.mayServe(now, entryHosts, self),
			report: now => view.report(now),
		};
	},
	dispatcher: header => {
		const { cell, seed } = header;
		if (typeof cell !== 'string' || typeof seed !== 'number') {
			throw new Error('the first line names no cell or no seed');
		}
		const dispatcher = createDispatcher({ cell, random: createSeededRandom(seed) });
		return {
			handle: (now, message: DispatchMessage) => dispatcher.handle(completeMessage(message), now),
			nextTickAt: () => dispatcher.nextTickAt(),
			overview: now => dispatcher.overview(now),
		};
	},
	'request-recorder': header => {
		const ledger = createWorkLedger({ cell: header.cell as string });
		const recorder = createRequestRecorder({ ledger });
		return {
			fold: (now, value: object) => ledger.fold(ledger.offset + 1, JSON.stringify(value), now),
			handle: (now, message: RecorderMessage) => recorder.handle(message, now),
			nextTickAt: () => recorder.nextTickAt(),
			requestKey: (now, team: string, key: string) => ledger.requestKey(team, key, now),
		};
	},
	'job-controller': header => {
		const ledger = createWorkLedger({ cell: header.cell as string });
		const racks = header.racks as Readonly<Record<string, string>>;
		const controller = createJobController({
			ledger,
			leader: header.leader as string,
			retentionMs: header.retentionMs as number,
			rackOf: host => racks[host] ?? 'unknown',
		});
		return {
			fold: (now, value: object) => ledger.fold(ledger.offset + 1, JSON.stringify(value), now),
			handle: (now, message: JobMessage) => controller.handle(message, now),
			job: (_now, jobId: string) => ledger.job(jobId),
		};
	},
};

/** Models of several daemons, which take all events and give one result. */
export const wholeModels: Readonly<Record<string, (header: TraceHeader, events: readonly unknown[]) => object>> = {
	'lease-cluster': (header, events) =>
		runLeaseCluster(header as unknown as ClusterOptions, events as readonly ClusterEvent[]),
	'dispatcher-interleaving': (header, events) => runInterleaving(header.seed as number, events as readonly Step[]),
	'request-model': (_header, events) => runRequestModel(events as readonly RequestStep[]),
	'job-model': (_header, events) => runJobModel(events as readonly JobStep[]),
};

/** A trace may leave out the empty parts of a fleet state. */
function completeMessage(message: DispatchMessage): DispatchMessage {
	return message.type === 'configuration' ? { ...message, state: { ...emptyFleetState, ...message.state } } : message;
}
