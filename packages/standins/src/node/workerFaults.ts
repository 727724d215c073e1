import { z } from 'zod';

/** Fault switches of a worker. */
export const workerFaultsSchema = z.strictObject({
	/** Every request is answered with 500 and every job fails. */
	failEverything: z.boolean().default(false),
	/** Time that every request takes longer. */
	answerLateMs: z.number().min(0).default(0),
	/** Answers declare one byte more than they have, and their connection is cut. */
	truncateAnswers: z.boolean().default(false),
	/** Answers declare no length. */
	omitLength: z.boolean().default(false),
	/** Answers carry the task identifier and the body of the answer before. */
	crossAnswers: z.boolean().default(false),
	/** The connections that are open when the switch is set answer nothing from then on; new ones work. */
	silentConnections: z.boolean().default(false),
	/** New connections are refused. */
	refuseConnections: z.boolean().default(false),
	/** The worker stays down after a reboot, until this switch is taken back. */
	doNotReturnAfterReboot: z.boolean().default(false),
});

/** Fault switches of a worker. */
export type WorkerFaults = z.infer<typeof workerFaultsSchema>;
