import { z } from 'zod';
import type { NotStartedReason, WorkerJobStatus, WorkerStatus, WorkerUsage } from '../common/workerProtocol.js';

/** The reasons by which a worker proves that a task did not start. */
export const notStartedSchema: z.ZodType<NotStartedReason> = z.enum([
	'stale-term',
	'wrong-boot',
	'start-by-passed',
	'slots-full',
	'connections-full',
	'draining',
	'unknown-queue',
]);

/** Schema of a worker's status. */
export const workerStatusSchema: z.ZodType<WorkerStatus> = z.object({
	host: z.string(),
	boot: z.string(),
	clockMs: z.number(),
	slots: z.number().int().min(0),
	draining: z.boolean(),
	terms: z.record(z.string(), z.number()),
	running: z.array(
		z.object({
			taskId: z.string(),
			team: z.string(),
			queue: z.string(),
			kind: z.enum(['request', 'job']),
			term: z.number(),
		}),
	),
});

/** Schema of the state of a job. */
export const jobStatusSchema: z.ZodType<WorkerJobStatus> = z.object({
	taskId: z.string(),
	state: z.enum(['running', 'finished', 'failed', 'stopped', 'lease-lapsed']),
	result: z.string().optional(),
	error: z.string().optional(),
	checkpoint: z.string().optional(),
});

/** Schema of a usage report. */
export const usageSchema: z.ZodType<WorkerUsage> = z.object({
	host: z.string(),
	slotMsByTeam: z.record(z.string(), z.number()),
	lagMs: z.number(),
});
