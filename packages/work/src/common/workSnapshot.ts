import { z } from 'zod';
import { jobRequestSchema, jobStateSchema } from './workRecordSchema.js';

const keySchema = z.object({
	team: z.string(),
	requestKey: z.string(),
	requestId: z.string(),
	term: z.number(),
	state: z.enum(['started', 'ran', 'not-run', 'unknown']),
	/** Time left until the key may be forgotten. */
	keepMs: z.number(),
});

const attemptSchema = z.object({ taskId: z.string(), host: z.string(), rack: z.string(), reason: z.string() });

const jobSchema = z.object({
	request: jobRequestSchema,
	state: jobStateSchema,
	taskId: z.string().optional(),
	host: z.string().optional(),
	checkpoint: z.string().optional(),
	result: z.string().optional(),
	reason: z.string().optional(),
	attempts: z.array(attemptSchema),
	pastTaskIds: z.array(z.string()),
	/** Time left until an ended job may be forgotten. */
	keepMs: z.number().optional(),
});

const snapshotSchema = z.object({
	formatVersion: z.literal(1),
	cell: z.string(),
	offset: z.number().int(),
	term: z.number().int(),
	keys: z.array(keySchema),
	jobs: z.array(jobSchema),
});

/** The work state of a cell up to an offset of its work stream. Points in time are stored as remaining durations. */
export type WorkSnapshot = z.infer<typeof snapshotSchema>;

/** Writes a snapshot with its checksum in front. */
export function writeWorkSnapshot(snapshot: WorkSnapshot): string {
	const body = JSON.stringify(snapshot);
	return `${checksumOf(body)} ${body}`;
}

/** Reads a snapshot; `undefined` when its checksum or its schema does not fit. */
export function readWorkSnapshot(text: string): WorkSnapshot | undefined {
	const space = text.indexOf(' ');
	const body = text.slice(space + 1);
	if (space < 0 || text.slice(0, space) !== checksumOf(body)) {
		return undefined;
	}
	try {
		return snapshotSchema.safeParse(JSON.parse(body)).data;
	} catch {
		return undefined;
	}
}

/** FNV-1a over UTF-16 code units; finds damage, not forgery. */
function checksumOf(text: string): string {
	let hash = 0x811c9dc5;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0;
	}
	return hash.toString(16).padStart(8, '0');
}
