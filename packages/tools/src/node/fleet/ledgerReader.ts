import type { LocalWorker } from './localFleet.js';
import { exchange, singleUse } from './fleetClient.js';

/** One start or end of a task, as a worker stand-in saw it. */
export interface LedgerLine {
	readonly event: 'start' | 'end';
	readonly taskId: string;
	readonly team: string;
	readonly host: string;
	readonly atMs: number;
	readonly mark?: string | undefined;
	/** How the task ended; `dropped` by a reboot. */
	readonly end?: string | undefined;
}

/** What the workers' own accounts say; independent of the counters of the system under test. */
export interface LedgerSummary {
	/** Most tasks of a team that ran at once over all workers. */
	readonly mostRunningByTeam: ReadonlyMap<string, number>;
	/** Most tasks that ran at once on one worker. */
	readonly mostRunningOnOneWorker: number;
	/** How often each mark was started. */
	readonly startsByMark: ReadonlyMap<string, number>;
	/** Starts in order of time. */
	readonly starts: readonly LedgerLine[];
	readonly ends: readonly LedgerLine[];
	/** Marks of the tasks that ran when the connections of their worker went silent. */
	readonly silencedMarks: ReadonlySet<string>;
}

/** The ledger of one worker. */
interface WorkerLedgerAnswer {
	readonly entries: readonly LedgerLine[];
	readonly silencedTasks: readonly string[];
}

/** Reads the ledgers of all workers, which must share one process and so one clock. */
export async function readLedgers(workers: readonly LocalWorker[]): Promise<LedgerSummary> {
	const answers = await Promise.all(
		workers.map(worker => exchange('GET', `${worker.address}/worker/ledger`, undefined, singleUse)),
	);
	const ledgers = answers.map(answer => JSON.parse(answer.body) as WorkerLedgerAnswer);
	const lines = ledgers.flatMap(({ entries }) => entries);
	const silencedTasks = new Set(ledgers.flatMap(ledger => ledger.silencedTasks));
	// Ends go before starts at the same reading, since a slot may be reused within one tick of the clock.
	lines.sort((left, right) => left.atMs - right.atMs || left.event.localeCompare(right.event));
	const mostRunningByTeam = new Map<string, number>();
	const running = new Map<string, number>();
	let mostRunningOnOneWorker = 0;
	const startsByMark = new Map<string, number>();
	const count = (key: string, change: number): number => {
		const next = (running.get(key) ?? 0) + change;
		running.set(key, next);
		return next;
	};
	for (const line of lines) {
		const change = line.event === 'start' ? 1 : -1;
		const ofTeam = count(`team/${line.team}`, change);
		const onHost = count(`host/${line.host}`, change);
		mostRunningByTeam.set(line.team, Math.max(ofTeam, mostRunningByTeam.get(line.team) ?? 0));
		mostRunningOnOneWorker = Math.max(mostRunningOnOneWorker, onHost);
		if (change > 0 && line.mark !== undefined) {
			startsByMark.set(line.mark, (startsByMark.get(line.mark) ?? 0) + 1);
		}
	}
	return {
		mostRunningByTeam,
		mostRunningOnOneWorker,
		startsByMark,
		starts: lines.filter(line => line.event === 'start'),
		ends: lines.filter(line => line.event === 'end'),
		silencedMarks: new Set(lines.filter(({ taskId }) => silencedTasks.has(taskId)).map(({ mark }) => mark ?? '')),
	};
}
