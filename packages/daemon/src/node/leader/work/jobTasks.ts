import type { Grant } from '@chestnutwheel/dispatch/common/dispatchMessages.js';
import type { WorkerClient } from '@chestnutwheel/platform/common/workerClient.js';
import type { WorkerJobStatus } from '@chestnutwheel/platform/common/workerProtocol.js';
import type { JobEffect, JobMessage } from '@chestnutwheel/work/common/workMessages.js';

type EffectOf<Type extends JobEffect['type']> = Extract<JobEffect, { type: Type }>;

/** Carries out what the job controller wants from workers, and tells it what came of it. */
export interface JobTasks {
	start(effect: EffectOf<'start-task'>, grant: Grant | undefined): Promise<void>;
	renew(effect: EffectOf<'renew-task'>, term: number): Promise<void>;
	stop(effect: EffectOf<'stop-task'>): Promise<void>;
	delete(effect: EffectOf<'delete-task'>): Promise<void>;
}

/** What the calls need. */
export interface JobTasksOptions {
	readonly cell: string;
	readonly workers: WorkerClient;
	/** Address of a host by the accepted configuration. */
	readonly addressOf: (host: string) => string | undefined;
	readonly tell: (message: JobMessage) => void;
}

/** Creates the calls. */
export function createJobTasks({ cell, workers, addressOf, tell }: JobTasksOptions): JobTasks {
	const tellStatus = (taskId: string, status: WorkerJobStatus | undefined, checkpoint?: string): void => {
		if (status === undefined) {
			tell({ type: 'task-status', taskId, state: 'not-known', checkpoint });
			return;
		}
		const { state, result, error } = status;
		tell({ type: 'task-status', taskId, state, result, error, checkpoint: status.checkpoint ?? checkpoint });
	};

	/** Runs a call at the worker of a task; the task counts as unreachable when it fails. */
	const atWorker = async (taskId: string, host: string, call: (address: string) => Promise<void>): Promise<void> => {
		const address = addressOf(host);
		try {
			if (address === undefined) {
				throw new Error(`the host ${host} is not in the accepted configuration`);
			}
			await call(address);
		} catch {
			tell({ type: 'task-unreachable', taskId });
		}
	};

	return {
		start: async ({ taskId, job, checkpoint, leaseMs }, grant) => {
			if (grant === undefined) {
				tell({ type: 'start-ended', taskId, result: 'not-started' });
				return;
			}
			const permit = { ...grant.permit, leaseMs };
			const attempt = await workers.startJob(grant.address, { permit, payload: job.payload, checkpoint });
			tell({ type: 'start-ended', taskId, result: attempt.type });
		},
		renew: ({ taskId, host, leaseMs }, term) =>
			atWorker(taskId, host, async address => {
				tellStatus(taskId, await workers.renewJob(address, taskId, { cell, term, leaseMs }));
			}),
		stop: ({ taskId, host, checkpoint }) =>
			atWorker(taskId, host, async address => {
				const saved = checkpoint ? await workers.checkpointJob(address, taskId) : undefined;
				tellStatus(taskId, await workers.stopJob(address, taskId), saved?.checkpoint);
			}),
		delete: async ({ taskId, host }) => {
			const address = addressOf(host);
			if (address !== undefined) {
				await workers.deleteJob(address, taskId).catch(() => {
					// The worker drops the copy with its next reboot at the latest.
				});
			}
		},
	};
}
