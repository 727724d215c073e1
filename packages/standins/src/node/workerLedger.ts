import type { Clock } from '@chestnutwheel/base/common/clock.js';
import { createRingBuffer } from '@chestnutwheel/base/common/ringBuffer.js';
import type { RunningTask } from '@chestnutwheel/platform/common/workerProtocol.js';

/** How a task ended on a worker. */
export type TaskEnd = 'finished' | 'failed' | 'stopped' | 'lease-lapsed' | 'dropped';

/** One start or end of a task, as the worker saw it. */
export interface LedgerEntry extends RunningTask {
	/** Counts up from 1 over all entries of the worker. */
	readonly sequence: number;
	readonly event: 'start' | 'end';
	/** How the task ended; only with `end`. */
	readonly end?: TaskEnd | undefined;
	/** Milliseconds on the clock of the stand-in's process, which all workers of the process share. */
	readonly atMs: number;
	readonly host: string;
	readonly boot: string;
	/** The `mark` of the request body or payload, by which a test recognises its own work. */
	readonly mark?: string | undefined;
}

/** A worker's own account of its tasks and of the slot time of each team. Survives reboots. */
export interface WorkerLedger {
	started(task: RunningTask, boot: string, mark: string | undefined): void;
	ended(taskId: string, end: TaskEnd): void;
	/** Notes the tasks that run now: their connections go silent, so that their answers are withheld. */
	silenced(): void;
	/** The entries kept, oldest first, how many were dropped, and the tasks whose connections went silent. */
	read(): {
		readonly dropped: number;
		readonly entries: readonly LedgerEntry[];
		readonly silencedTasks: readonly string[];
	};
	/** Slot-milliseconds by team since the last reboot, up to a time on the process clock that never goes back. */
	slotMsByTeam(until: number): Readonly<Record<string, number>>;
	/** Begins the count of slot time again. Call it when no task runs. */
	resetUsage(): void;
}

/** Entries kept; 100,000 starts with their ends. */
const MAXIMUM_ENTRIES = 200_000;

interface Interval {
	readonly team: string;
	readonly startedAt: number;
	endedAt: number;
}

/** Creates an empty ledger. */
export function createWorkerLedger(host: string, clock: Clock): WorkerLedger {
	const entries = createRingBuffer<LedgerEntry>(MAXIMUM_ENTRIES);
	const running = new Map<string, { entry: LedgerEntry; interval: Interval }>();
	const totals = new Map<string, number>();
	const silencedTasks: string[] = [];
	let intervals: Interval[] = [];
	let sequence = 0;

	return {
		started: (task, boot, mark) => {
			const entry: LedgerEntry = { ...task, sequence: ++sequence, event: 'start', atMs: clock.now(), host, boot, mark };
			const interval: Interval = { team: task.team, startedAt: entry.atMs, endedAt: Infinity };
			entries.push(entry);
			running.set(task.taskId, { entry, interval });
			intervals.push(interval);
		},
		ended: (taskId, end) => {
			const found = running.get(taskId);
			if (found !== undefined) {
				running.delete(taskId);
				found.interval.endedAt = clock.now();
				entries.push({ ...found.entry, sequence: ++sequence, event: 'end', end, atMs: found.interval.endedAt });
			}
		},
		silenced: () => {
			silencedTasks.push(...running.keys());
		},
		read: () => ({ dropped: entries.dropped, entries: entries.items(), silencedTasks }),
		slotMsByTeam: until => {
			for (const interval of intervals.filter(candidate => candidate.endedAt <= until)) {
				const before = totals.get(interval.team) ?? 0;
				totals.set(interval.team, before + interval.endedAt - interval.startedAt);
			}
			intervals = intervals.filter(interval => interval.endedAt > until);
			const result = new Map(totals);
			for (const { team, startedAt } of intervals) {
				result.set(team, (result.get(team) ?? 0) + Math.max(0, until - startedAt));
			}
			return Object.fromEntries(result);
		},
		resetUsage: () => {
			totals.clear();
			intervals = [];
		},
	};
}
