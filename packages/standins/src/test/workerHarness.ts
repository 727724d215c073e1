import type { RequestAttempt, WorkerClient } from '@chestnutwheel/platform/common/workerClient.js';
import type { StartPermit } from '@chestnutwheel/platform/common/workerProtocol.js';
import { createHttpWorkerClient, type HttpWorkerClientOptions } from '@chestnutwheel/platform/node/httpWorkerClient.js';
import { createWorkerStandin, type WorkerStandin, type WorkerStandinOptions } from '../node/workerStandin.js';

/** A worker and a client of it. */
export interface WorkerHarness {
	readonly worker: WorkerStandin;
	readonly client: WorkerClient;
	/** A permit that the worker accepts, with the given changes. */
	permit(changes?: Partial<StartPermit>): StartPermit;
	run(
		permit: StartPermit,
		work?: object,
		options?: { deadline?: number; signal?: AbortSignal },
	): Promise<RequestAttempt>;
	/** How many starts of the task the worker has counted. */
	starts(taskId: string): number;
	close(): Promise<void>;
}

/** Starts a worker and a client with a short silence check. */
export async function startWorkerHarness(
	workerOptions: Partial<WorkerStandinOptions> = {},
	clientOptions: HttpWorkerClientOptions = {},
): Promise<WorkerHarness> {
	const worker = await createWorkerStandin({ host: 'worker-1', rebootMs: 20, ...workerOptions });
	const client = createHttpWorkerClient({ silenceMs: 30, silenceGraceMs: 30, ...clientOptions });
	let nextTask = 1;
	return {
		worker,
		client,
		permit: changes => ({
			taskId: `task-${nextTask++}`,
			cell: 'cell',
			team: 'team',
			queue: 'queue',
			term: 1,
			boot: worker.status().boot,
			startByMs: 1e9,
			leaseMs: 60_000,
			...changes,
		}),
		run: (permit, work = {}, { deadline = 20_000, signal } = {}) =>
			client.runRequest(worker.address, permit, Buffer.from(JSON.stringify(work)), {
				contentType: 'application/json',
				deadline,
				signal,
			}),
		starts: taskId =>
			worker.ledger().entries.filter(entry => entry.event === 'start' && entry.taskId === taskId).length,
		close: async () => {
			await client.close();
			await worker.close();
		},
	};
}

/** Waits until a condition holds; the test's own time-out bounds it. */
export async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
	while (!(await condition())) {
		await new Promise(resolve => setTimeout(resolve, 5));
	}
}
