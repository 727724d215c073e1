import type { Clock } from '@chestnutwheel/base/common/clock.js';
import type {
	NotStartedReason,
	RunningTask,
	StartPermit,
	WorkerStatus,
} from '@chestnutwheel/platform/common/workerProtocol.js';
import { randomUUID } from 'node:crypto';
import type { TaskEnd, WorkerLedger } from './workerLedger.js';

/** Options of {@link createWorkerTasks}. */
export interface WorkerTasksOptions {
	readonly host: string;
	readonly slots: number;
	/** Queues that the worker serves; all when left out. */
	readonly queues: ReadonlySet<string> | undefined;
	readonly clock: Clock;
	readonly ledger: WorkerLedger;
}

/** Longest lease; a timer with a longer time would fire at once. */
export const LONGEST_LEASE_MS = 2 ** 31 - 1;

/** What to call when the worker itself ends a task. */
export type EndedByWorker = (end: Extract<TaskEnd, 'lease-lapsed' | 'dropped'>) => void;

/** The slots of one worker: who may start, what runs, and until when. */
export interface WorkerTasks {
	/**
	 * Starts a task if its permit holds.
	 * @param isConnectionFull whether the start came over a connection above the worker's bound
	 * @returns why the task was not started; `duplicate` when it runs already; `undefined` when it was started
	 */
	start(
		permit: StartPermit,
		kind: RunningTask['kind'],
		mark: string | undefined,
		isConnectionFull: boolean,
		endedByWorker: EndedByWorker,
	): NotStartedReason | 'duplicate' | undefined;
	/** Ends a task and frees its slot. @returns false when the task does not run */
	end(taskId: string, end: TaskEnd): boolean;
	/** Replaces the lease of a running task. @returns false when the task does not run */
	renew(taskId: string, leaseMs: number): boolean;
	/** Takes over a term of a cell if it is not lower than the known one. @returns whether it is not lower */
	raiseTerm(cell: string, term: number): boolean;
	setDraining(draining: boolean): void;
	readonly boot: string;
	status(): WorkerStatus;
	/** Drops everything that runs and begins a new boot. */
	reboot(): void;
}

interface Task {
	readonly task: RunningTask;
	readonly endedByWorker: EndedByWorker;
	leaseTimer: NodeJS.Timeout;
}

/** Creates the slots of a worker, all free. */
export function createWorkerTasks(options: WorkerTasksOptions): WorkerTasks {
	const { host, slots, queues, clock, ledger } = options;
	const tasks = new Map<string, Task>();
	const terms = new Map<string, number>();
	let boot = randomUUID();
	let bootedAt = clock.now();
	let draining = false;

	/** The worker's own clock starts at zero with every boot. */
	const workerClock = (): number => clock.now() - bootedAt;

	/** The checks of a permit, in the order in which the protocol names them. */
	const checks: readonly (readonly [NotStartedReason, (permit: StartPermit, isConnectionFull: boolean) => boolean])[] =
		[
			['stale-term', permit => permit.term < (terms.get(permit.cell) ?? 0)],
			['wrong-boot', permit => permit.boot !== boot],
			['start-by-passed', permit => workerClock() > permit.startByMs],
			['draining', () => draining],
			['slots-full', () => tasks.size >= slots],
			['connections-full', (_permit, isConnectionFull) => isConnectionFull],
			['unknown-queue', permit => queues?.has(permit.queue) === false],
		];

	const end = (taskId: string, how: TaskEnd): Task | undefined => {
		const task = tasks.get(taskId);
		if (task !== undefined) {
			clearTimeout(task.leaseTimer);
			tasks.delete(taskId);
			ledger.ended(taskId, how);
		}
		return task;
	};

	const startLease = (taskId: string, leaseMs: number): NodeJS.Timeout =>
		setTimeout(() => end(taskId, 'lease-lapsed')?.endedByWorker('lease-lapsed'), leaseMs);

	const raiseTerm = (cell: string, term: number): boolean => {
		const known = terms.get(cell) ?? 0;
		terms.set(cell, Math.max(known, term));
		return term >= known;
	};

	return {
		start: (permit, kind, mark, isConnectionFull, endedByWorker) => {
			if (tasks.has(permit.taskId)) {
				return 'duplicate';
			}
			const refused = checks.find(([, applies]) => applies(permit, isConnectionFull));
			if (refused !== undefined) {
				return refused[0];
			}
			raiseTerm(permit.cell, permit.term);
			const { taskId, team, queue, term } = permit;
			const task = { taskId, team, queue, kind, term };
			tasks.set(taskId, { task, endedByWorker, leaseTimer: startLease(taskId, permit.leaseMs) });
			ledger.started(task, boot, mark);
			return undefined;
		},
		end: (taskId, how) => end(taskId, how) !== undefined,
		renew: (taskId, leaseMs) => {
			const task = tasks.get(taskId);
			if (task === undefined) {
				return false;
			}
			clearTimeout(task.leaseTimer);
			task.leaseTimer = startLease(taskId, leaseMs);
			return true;
		},
		raiseTerm,
		setDraining: changed => {
			draining = changed;
		},
		get boot() {
			return boot;
		},
		status: () => ({
			host,
			boot,
			clockMs: workerClock(),
			slots,
			draining,
			terms: Object.fromEntries(terms),
			running: [...tasks.values()].map(({ task }) => task),
		}),
		reboot: () => {
			for (const taskId of [...tasks.keys()]) {
				end(taskId, 'dropped')?.endedByWorker('dropped');
			}
			ledger.resetUsage();
			terms.clear();
			draining = false;
			boot = randomUUID();
			bootedAt = clock.now();
		},
	};
}
