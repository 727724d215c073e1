import type { SeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { DispatchEffect } from './dispatchMessages.js';
import { defaultDispatchPolicy, type DispatchPolicy } from './dispatchPolicy.js';
import { createFairQueue, type FairQueue } from './fairQueue.js';
import { createGrantTable, type GrantTable } from './grantTable.js';
import { createHostTable, type HostTable } from './hostTable.js';
import { createMakeRoom, type MakeRoom } from './makeRoom.js';
import { createPlacement, type Placement } from './placement.js';
import { createScheduler, type Scheduler } from './scheduler.js';
import { createTakeover, type Takeover } from './takeover.js';
import { createWaitingQueues, type WaitingQueues } from './waitingQueues.js';
import { createWorkerClocks, type WorkerClocks } from './workerClocks.js';
import { createWorkerHealth, type WorkerHealth } from './workerHealth.js';
import { createWorkerPolls, type WorkerPolls } from './workerPolls.js';

/** What a dispatcher is made from. */
export interface DispatcherOptions {
	readonly cell: string;
	readonly random: SeededRandom;
	readonly policy?: Partial<DispatchPolicy> | undefined;
}

/** Takes what has to be done, in order. */
export type Emit = (effect: DispatchEffect) => void;

/** The units that the steps of a dispatcher share. */
export interface CellContext {
	readonly cell: string;
	readonly policy: DispatchPolicy;
	readonly waiting: WaitingQueues;
	readonly grants: GrantTable;
	readonly takeover: Takeover;
	readonly hosts: HostTable;
	readonly clocks: WorkerClocks;
	readonly health: WorkerHealth;
	readonly fair: FairQueue;
	readonly placement: Placement;
	readonly scheduler: Scheduler;
	readonly room: MakeRoom;
	readonly polls: WorkerPolls;
	/** The accepted configuration, once known. */
	state: FleetState | undefined;
	/** The lease, while the daemon believes to hold it. */
	lease: { readonly term: number; readonly until: number } | undefined;
	/** Whether grants may be given at all at this time. */
	mayGrant(now: number): boolean;
}

/** Creates the units of one cell. */
export function createCellContext({ cell, random, policy: changed = {} }: DispatcherOptions): CellContext {
	const policy: DispatchPolicy = { ...defaultDispatchPolicy, ...changed };
	const waiting = createWaitingQueues();
	const grants = createGrantTable();
	const takeover = createTakeover();
	const hosts = createHostTable(cell);
	const clocks = createWorkerClocks();
	const health = createWorkerHealth(policy.setAside);
	const fair = createFairQueue(policy);
	const placement = createPlacement({ policy, hosts, grants, takeover, clocks, health, random });
	const scheduler = createScheduler({ waiting, grants, hosts, takeover, placement, fair });
	const room = createMakeRoom(grants, fair);
	const polls = createWorkerPolls({ hosts, grants, takeover });
	const context: CellContext = {
		cell,
		policy,
		waiting,
		grants,
		takeover,
		hosts,
		clocks,
		health,
		fair,
		placement,
		scheduler,
		room,
		polls,
		state: undefined,
		lease: undefined,
		mayGrant: now => context.lease !== undefined && now < context.lease.until && takeover.ready(now),
	};
	return context;
}
