import type { StartPermit, WorkerStatus } from '@chestnutwheel/platform/common/workerProtocol.js';
import { DESK_CELL } from './deskShape.js';

/** A worker of the replay: it runs what it is told and can go down. */
export interface ReplayWorker {
	readonly name: string;
	up: boolean;
	failsEverything: boolean;
	readonly running: Map<string, StartPermit>;
	term: number;
	status(now: number): WorkerStatus;
}

/** Creates an idle worker. */
export function createReplayWorker(name: string, slots: number): ReplayWorker {
	const running = new Map<string, StartPermit>();
	const worker: ReplayWorker = {
		name,
		up: true,
		failsEverything: false,
		running,
		term: 0,
		status: now => ({
			host: name,
			boot: 'first',
			clockMs: now,
			slots,
			draining: false,
			terms: { [DESK_CELL]: worker.term },
			running: [...running.values()].map(({ taskId, team, queue, term }) => ({
				taskId,
				team,
				queue,
				kind: 'request',
				term,
			})),
		}),
	};
	return worker;
}
