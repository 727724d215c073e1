import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type { Counters } from '@chestnutwheel/base/common/counters.js';
import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { ControlRecord } from '@chestnutwheel/configuration/common/controlRecord.js';
import { cellNames } from '@chestnutwheel/configuration/common/cellNames.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { HostList } from '@chestnutwheel/platform/common/hostList.js';
import type { LogClient } from '@chestnutwheel/platform/common/logProtocol.js';
import type { WorkerClient } from '@chestnutwheel/platform/common/workerClient.js';
import type { Logger } from 'pino';
import type { ControlChange, ControlState } from '../control/controlState.js';
import type { MembershipTask } from '../membership/membershipTask.js';
import type { CellCalls } from '../peers/cellCalls.js';
import { createCellLeader, type CellLeader } from './cellLeader.js';

/** The leader tasks of all cells; each works only while this daemon holds the lease of its cell. */
export interface CellLeaders {
	/** The leader task of a cell; `undefined` when the configuration names no such cell. */
	of(cell: string): CellLeader | undefined;
	leadsAny(): boolean;
	/** Whether this daemon leads the cell whose name sorts first. */
	leadsFirstCell(): boolean;
	hostListChanged(list: HostList): void;
	run(signal: AbortSignal): Promise<void>;
}

/** What the leaders need. */
export interface CellLeadersOptions {
	readonly self: string;
	readonly workers: WorkerClient;
	readonly calls: CellCalls;
	readonly log: LogClient;
	readonly retentionMs: number;
	readonly state: () => FleetState;
	readonly append: (record: ControlRecord) => Promise<unknown>;
	readonly membership: MembershipTask;
	readonly control: ControlState;
	readonly explain: (subject: string, reason: string, details: Readonly<Record<string, string | number>>) => void;
	readonly clock: Clock;
	readonly random: SeededRandom;
	readonly counters: Counters;
	readonly logger: Logger;
}

/** Time for workers and entry hosts to answer during a failover, so that urgent work starts within 2.8 s. */
const FAILOVER_ANSWER_MS = 400;
const ACKNOWLEDGE_EVERY_MS = 500;

/** Creates the leader tasks; a cell's task is made when the configuration first names the cell. */
export function createCellLeaders(options: CellLeadersOptions, signal: AbortSignal): CellLeaders {
	const { control, membership } = options;
	const leaders = new Map<string, CellLeader>();

	const cells = (): readonly string[] => cellNames(control.current());

	const create = (cell: string): CellLeader =>
		createCellLeader(
			{
				...options,
				cell,
				answerWithinMs: FAILOVER_ANSWER_MS,
				lease: () => membership.lease(cell),
				observeTerm: term => membership.observeTerm(cell, term),
			},
			signal,
		);

	const configurationChanged = (change: ControlChange): void => {
		for (const cell of cells()) {
			const leader = leaders.get(cell) ?? create(cell);
			leaders.set(cell, leader);
			leader.configurationChanged(change);
		}
	};

	/** Tells the fold that this daemon has left the older set of entry hosts behind. */
	const acknowledgeEntrySet = async (): Promise<void> => {
		const { acknowledgedBy, entryHosts, entrySetOffset, previousEntryHosts } = control.current();
		const isKnown = options.self in entryHosts || options.self in (previousEntryHosts ?? {});
		const isDue = previousEntryHosts !== undefined && isKnown && !acknowledgedBy.includes(options.self);
		if (isDue && membership.mayAcknowledge(entrySetOffset)) {
			await options.append({ type: 'entry-acknowledged', version: 1, entryHost: options.self, entrySetOffset });
		}
	};

	control.listen(configurationChanged, signal);
	membership.listen(({ cell, lease }) => leaders.get(cell)?.leaseChanged(lease), signal);

	return {
		of: cell => leaders.get(cell),
		leadsAny: () => [...leaders.keys()].some(cell => membership.lease(cell) !== undefined),
		leadsFirstCell: () => membership.lease(cells()[0] ?? '') !== undefined,
		hostListChanged: list => {
			for (const leader of leaders.values()) {
				leader.hostListChanged(list);
			}
		},
		run: async running => {
			while (!running.aborted) {
				await acknowledgeEntrySet().catch(() => options.counters.add('entry_acknowledgements_failed_total'));
				await delay(ACKNOWLEDGE_EVERY_MS, running);
			}
		},
	};
}
