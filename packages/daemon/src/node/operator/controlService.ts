import { createHash, timingSafeEqual } from 'node:crypto';
import type { BurnPart } from '@chestnutwheel/burn/common/burnRecorder.js';
import type { BurnReport } from '@chestnutwheel/burn/common/burnReport.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import { kindError } from '@chestnutwheel/base/common/kindError.js';
import { cellNames } from '@chestnutwheel/configuration/common/cellNames.js';
import type { FleetState, NoteVerdict } from '@chestnutwheel/configuration/common/fleetState.js';
import type { LogClient } from '@chestnutwheel/platform/common/logProtocol.js';
import type {
	CellStatus,
	ExplainAnswer,
	InForceAnswer,
	JobsAnswer,
	NoteAnswer,
	NotesAnswer,
	StatusAnswer,
} from '@chestnutwheel/configuration/common/operatorProtocol.js';
import type { ReleaseNote } from '@chestnutwheel/configuration/common/controlRecord.js';
import type { PeerMethods, PeerStatus } from '../../common/peerProtocol.js';
import { CONTROL_STREAM } from '../control/controlReader.js';
import type { CellCalls } from '../peers/cellCalls.js';
import type { PeerServer } from '../peers/peerServer.js';
import type { LatencyRecorder } from '@chestnutwheel/base/node/latencyRecorder.js';
import { formatMetrics } from './metricsText.js';
import type { NetworkMeter } from './networkMeter.js';
import type { NoteSubmission } from './noteSubmission.js';

/** Injection token of the {@link ControlService}. */
export const CONTROL_SERVICE = Symbol('ControlService');

/** Health of the daemon, for the balancer. */
export interface Health extends PeerStatus {
	/** Why the daemon takes no new work. */
	readonly reason?: string | undefined;
}

/** What the routes on the control address offer. */
export interface ControlService {
	peerCall(body: unknown): Promise<unknown>;
	health(): Health;
	metrics(): string;
	/** @throws `operator-unauthorized` */
	authorize(authorization: string | undefined): void;
	submitNote(body: unknown): Promise<NoteVerdict>;
	/** @throws `unknown-item` */
	note(id: string): Promise<NoteAnswer>;
	inForce(): Promise<InForceAnswer>;
	explain(kind: string, name: string): Promise<ExplainAnswer>;
	/** @throws `unknown-item` */
	view(name: string): Promise<unknown>;
}

/** What the service needs. */
export interface ControlServiceOptions {
	readonly self: string;
	readonly operatorKeySha256: string;
	readonly state: () => FleetState;
	readonly calls: CellCalls;
	readonly peerServer: PeerServer;
	readonly submission: NoteSubmission;
	readonly log: LogClient;
	readonly counters: Counters;
	readonly latencies: LatencyRecorder;
	readonly meter: NetworkMeter;
	readonly health: () => Health;
	readonly leaderOf: (cell: string) => string | undefined;
	/** Merges the burn reports of all entry hosts. */
	readonly mergeBurn: (parts: readonly BurnPart[]) => BurnReport;
}

/** A call for operators may take longer than one between daemons. */
const OPERATOR_CALL_TIMEOUT_MS = 3_000;

/** Creates the service behind the control routes. */
export function createControlService(options: ControlServiceOptions): ControlService {
	const { calls, state } = options;

	const entryHosts = (): string[] => Object.keys(state().entryHosts);

	/** Asks every entry host; an unreachable one gives `undefined`. */
	const askAll = async <Result>(ask: (entryHost: string) => Promise<Result>): Promise<(Result | undefined)[]> =>
		Promise.all(entryHosts().map(name => ask(name).catch(() => undefined)));

	const cells = (): readonly string[] => cellNames(state());

	const cellView = (cell: string): Promise<PeerMethods['operator.cell']['result']> =>
		calls.toLeader(cell, 'operator.cell', { cell }, OPERATOR_CALL_TIMEOUT_MS).catch(() => ({ jobs: [] }));

	const status = async (): Promise<StatusAnswer> => {
		const { ready, reason, view } = options.health();
		const names = cells();
		const overviews = await Promise.all(names.map(async cell => (await cellView(cell)).overview));
		const known = overviews.filter((overview): overview is CellStatus => overview !== undefined);
		return {
			daemon: options.self,
			ready,
			reason,
			offset: view.configurationOffset,
			viewAgeMs: view.viewAgeMs,
			logReadable: view.logReadable,
			leaders: Object.fromEntries(
				names.map((cell, index) => [cell, { entryHost: options.leaderOf(cell), term: overviews[index]?.term ?? 0 }]),
			),
			cells: Object.fromEntries(known.map(overview => [overview.cell, overview])),
		};
	};

	const jobs = async (): Promise<JobsAnswer> => ({
		jobs: (await Promise.all(cells().map(cellView))).flatMap(view => view.jobs),
	});

	const notes = (): Promise<NotesAnswer> => Promise.resolve({ verdicts: state().verdicts });

	const burn = async (): Promise<BurnReport> => {
		const answers = await askAll(name => calls.toEntryHost(name, 'operator.burn', {}, OPERATOR_CALL_TIMEOUT_MS));
		return options.mergeBurn(answers.flatMap(answer => (answer === undefined ? [] : [answer.part])));
	};

	const views: Readonly<Record<string, () => Promise<unknown>>> = {
		state: () => Promise.resolve(state()),
		notes,
		status,
		jobs,
		burn,
	};

	return {
		peerCall: body => options.peerServer.receive(body),
		health: options.health,
		metrics: () => formatMetrics(options.counters, options.latencies, options.meter),
		authorize: authorization => {
			const key = /^Bearer (\S+)$/.exec(authorization ?? '')?.[1] ?? '';
			const found = createHash('sha256').update(key).digest();
			if (!timingSafeEqual(found, Buffer.from(options.operatorKeySha256, 'hex'))) {
				throw kindError('operator-unauthorized', 'the operator key is missing or wrong');
			}
		},
		submitNote: body => options.submission.submit(body),
		note: async id => {
			const verdict = state().verdicts.findLast(candidate => candidate.id === id);
			if (verdict === undefined) {
				throw kindError('unknown-item', `no note ${JSON.stringify(id)} is among the remembered ones`);
			}
			const answer = await options.log.read(CONTROL_STREAM, verdict.offset, { limit: 1 });
			const record = JSON.parse(answer.records[0]?.value ?? '{}') as { note: ReleaseNote };
			return { verdict, note: record.note };
		},
		inForce: async () => {
			const answers = await askAll(name => calls.toEntryHost(name, 'control.status', {}));
			return {
				entryHosts: entryHosts().map((name, index) => {
					const configurationOffset = answers[index]?.view.configurationOffset;
					return { name, offset: configurationOffset ?? -1, reachable: configurationOffset !== undefined };
				}),
			};
		},
		explain: async (kind, name) => {
			const subject = `${kind}/${name}`;
			const answers = await askAll(entryHost => calls.toEntryHost(entryHost, 'operator.explain', { subject }));
			const entries = answers.flatMap(answer => answer?.entries ?? []);
			return { entries: entries.sort((left, right) => left.at - right.at) };
		},
		view: async name => {
			const handler = Object.hasOwn(views, name) ? views[name] : undefined;
			if (handler === undefined) {
				throw kindError(
					'unknown-item',
					`there is no view ${JSON.stringify(name)}; allowed: ${Object.keys(views).join(', ')}`,
				);
			}
			return handler();
		},
	};
}
