import { z } from 'zod';
import { checksumOf } from './checksum.js';
import { MAXIMUM_VERDICTS } from './fleetParts.js';
import type { FleetState } from './fleetState.js';
import {
	entryHostSchema,
	hostSchema,
	identifierSchema,
	keySchema,
	nameSchema,
	poolSchema,
	queueSchema,
	returnWithinSchema,
	teamSchema,
} from './releaseNoteSchema.js';

const offsetSchema = z.int().min(-1);

const waveSchema = z.strictObject({
	name: nameSchema,
	pools: z.array(nameSchema),
	hosts: z.record(nameSchema, z.enum(['waiting', 'claimed', 'returned'])),
	state: z.enum(['running', 'stopped', 'withdrawn', 'finished']),
	reason: z.string().optional(),
	returnWithinMs: returnWithinSchema,
});

const verdictSchema = z.strictObject({
	id: identifierSchema,
	offset: offsetSchema,
	author: z.string(),
	accepted: z.boolean(),
	refusal: z.strictObject({ kind: z.enum(['note-refused', 'note-conflict']), reason: z.string() }).optional(),
	touched: z.array(z.string()),
});

const stateSchema = z.strictObject({
	formatVersion: z.literal(1),
	offset: offsetSchema,
	noteOffset: offsetSchema,
	pools: z.record(nameSchema, poolSchema),
	hosts: z.record(nameSchema, hostSchema),
	queues: z.record(nameSchema, queueSchema),
	teams: z.record(nameSchema, teamSchema),
	keys: z.record(nameSchema, keySchema),
	entryHosts: z.record(nameSchema, entryHostSchema),
	entrySetOffset: offsetSchema,
	previousEntryHosts: z.record(nameSchema, entryHostSchema).optional(),
	acknowledgedBy: z.array(nameSchema),
	waves: z.record(nameSchema, waveSchema),
	recentMoveIds: z.array(identifierSchema).optional(),
	verdicts: z.array(verdictSchema).max(MAXIMUM_VERDICTS),
}) satisfies z.ZodType<FleetState>;

const snapshotSchema = z.strictObject({
	format: z.literal('fleet-snapshot'),
	checksum: z.string(),
	state: z.string(),
});

/** The state as one record of the snapshot stream, with its checksum. */
export function serializeSnapshot(state: FleetState): string {
	const text = JSON.stringify(state);
	return JSON.stringify({ format: 'fleet-snapshot', checksum: checksumOf(text), state: text });
}

/** The state of a snapshot; `undefined` when the checksum or the schema does not hold, or the format is another. */
export function parseSnapshot(text: string): FleetState | undefined {
	const outer = snapshotSchema.safeParse(parseJson(text));
	if (!outer.success || checksumOf(outer.data.state) !== outer.data.checksum) {
		return undefined;
	}
	const state = stateSchema.safeParse(parseJson(outer.data.state));
	return state.success ? state.data : undefined;
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
