import type { RunningTask, StartPermit, WorkerStatus } from '@chestnutwheel/platform/common/workerProtocol.js';

/** A worker that enforces terms, boots, start deadlines and task leases on its own clock. */
export interface FakeWorker {
	readonly host: string;
	/** Whether calls reach the worker. */
	reachable: boolean;
	/** Why a start would be refused now; `undefined` when it would run. */
	refusal(permit: StartPermit, now: number): string | undefined;
	start(permit: StartPermit, kind: 'request' | 'job'): void;
	end(taskId: string): boolean;
	/** Ends the tasks whose leases have passed. */
	lapse(now: number): void;
	fence(term: number): void;
	restart(): void;
	status(now: number): WorkerStatus;
	running(): readonly RunningTask[];
}

/** Creates a worker whose clock starts at `offsetMs` and runs at `rate`. */
export function createFakeWorker(host: string, cell: string, offsetMs: number, rate: number): FakeWorker {
	let boot = 1;
	let highestTerm = 0;
	const tasks = new Map<string, { readonly task: RunningTask; readonly endsAtMs: number }>();
	let startedAt = 0;
	const clock = (now: number): number => offsetMs + now * rate;
	return {
		host,
		reachable: true,
		refusal: (permit, now) => {
			if (permit.term < highestTerm) {
				return 'stale-term';
			}
			if (permit.boot !== `${host}-${boot}`) {
				return 'wrong-boot';
			}
			return clock(now) > permit.startByMs ? 'start-by-passed' : undefined;
		},
		start: (permit, kind) => {
			highestTerm = Math.max(highestTerm, permit.term);
			const { taskId, team, queue, term } = permit;
			// The lease counts from the start; `startedAt` follows the last lapse and start.
			tasks.set(taskId, { task: { taskId, team, queue, kind, term }, endsAtMs: clock(startedAt) + permit.leaseMs });
		},
		end: taskId => tasks.delete(taskId),
		lapse: now => {
			startedAt = now;
			for (const [taskId, { endsAtMs }] of tasks) {
				if (clock(now) >= endsAtMs) {
					tasks.delete(taskId);
				}
			}
		},
		fence: term => {
			highestTerm = Math.max(highestTerm, term);
		},
		restart: () => {
			boot++;
			tasks.clear();
			highestTerm = 0;
		},
		status: now => ({
			host,
			boot: `${host}-${boot}`,
			clockMs: clock(now),
			slots: 8,
			draining: false,
			terms: { [cell]: highestTerm },
			running: [...tasks.values()].map(({ task }) => task),
		}),
		running: () => [...tasks.values()].map(({ task }) => task),
	};
}
