import { z } from 'zod';
import type { JobRequest, JobState, RequestEnd, RequestStart, WorkRecord } from './workRecord.js';

/** Largest payload or result of a job, in UTF-8 bytes. */
export const MAXIMUM_JOB_TEXT_BYTES = 65_536;

const name = z.string().min(1).max(256);
const jobText = z.string().max(MAXIMUM_JOB_TEXT_BYTES);
const envelope = { version: z.literal(1), term: z.number().int().nonnegative() };

export const jobRequestSchema = z.object({
	jobId: name,
	team: name,
	keyId: name,
	queue: name,
	payload: jobText,
	repeatable: z.boolean(),
}) satisfies z.ZodType<JobRequest>;

const requestStartSchema = z.object({
	team: name,
	requestKey: name,
	requestId: name,
	keepMs: z.number().nonnegative(),
}) satisfies z.ZodType<RequestStart>;

const requestEndSchema = z.object({
	team: name,
	requestKey: name,
	requestId: name,
	outcome: z.enum(['ran', 'not-run', 'unknown']),
}) satisfies z.ZodType<RequestEnd>;

export const jobStateSchema = z.enum([
	'waiting',
	'running',
	'finished',
	'failed',
	'cancelled',
	'outcome-unknown',
]) satisfies z.ZodType<JobState>;

const record = <Type extends string, Shape extends z.ZodRawShape>(type: Type, shape: Shape) =>
	z.object({ ...envelope, type: z.literal(type), ...shape });

const workRecordSchema = z.discriminatedUnion('type', [
	record('term-opened', { leader: name }),
	record('requests-started', { starts: z.array(requestStartSchema).min(1) }),
	record('requests-ended', { ends: z.array(requestEndSchema).min(1) }),
	record('job-accepted', { job: jobRequestSchema }),
	record('job-started', { jobId: name, taskId: name, host: name }),
	record('job-checkpointed', { jobId: name, taskId: name, checkpoint: jobText }),
	record('job-finished', { jobId: name, taskId: name, result: jobText }),
	record('job-attempt-failed', { jobId: name, taskId: name, host: name, rack: name, reason: z.string().max(1_024) }),
	record('job-failed', { jobId: name, reason: z.string().max(1_024) }),
	record('job-cancelled', { jobId: name }),
	record('job-outcome-unknown', { jobId: name, reason: z.string().max(1_024) }),
]) satisfies z.ZodType<WorkRecord>;

const versionSchema = z.object({ version: z.number().int().min(2) });

/** What a record of the work stream turned out to be. */
export type ParsedWorkRecord = WorkRecord | 'corrupt' | 'newer-format';

/** Parses one record; never throws. */
export function parseWorkRecord(value: string): ParsedWorkRecord {
	let json: unknown;
	try {
		json = JSON.parse(value);
	} catch {
		return 'corrupt';
	}
	if (versionSchema.safeParse(json).success) {
		return 'newer-format';
	}
	const parsed = workRecordSchema.safeParse(json);
	return parsed.success ? parsed.data : 'corrupt';
}
