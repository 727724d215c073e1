import { z } from 'zod';
import type { ControlRecord } from './controlRecord.js';
import { identifierSchema, nameSchema, parseReleaseNote, problemText } from './releaseNoteSchema.js';

/** The newest format version of control records that this program reads. */
export const CONTROL_RECORD_VERSION = 1;

/** What one value of the control stream holds. */
export type ParsedRecord =
	| { readonly kind: 'record'; readonly record: ControlRecord }
	| { readonly kind: 'newer-format'; readonly version: number }
	/** A note whose identifier can be read but whose form is wrong. */
	| { readonly kind: 'malformed-note'; readonly id: string; readonly author: string; readonly reason: string }
	| { readonly kind: 'corrupt'; readonly reason: string };

/** Most hosts that a claimant may list as unavailable. */
const MAXIMUM_UNAVAILABLE = 20_000;

const reasonSchema = z.string().min(1).max(1_000);
const version = z.literal(CONTROL_RECORD_VERSION);

const plainRecordSchema = z.discriminatedUnion('type', [
	z.strictObject({
		type: z.literal('wave-claim'),
		version,
		claimId: identifierSchema,
		wave: nameSchema,
		host: nameSchema,
		unavailable: z.array(nameSchema).max(MAXIMUM_UNAVAILABLE),
	}),
	z.strictObject({ type: z.literal('host-returned'), version, wave: nameSchema, host: nameSchema }),
	z.strictObject({ type: z.literal('wave-stopped'), version, wave: nameSchema, reason: reasonSchema }),
	z.strictObject({ type: z.literal('wave-resumed'), version, wave: nameSchema, reason: reasonSchema }),
	z.strictObject({
		type: z.literal('host-moved'),
		version,
		moveId: identifierSchema,
		host: nameSchema,
		from: nameSchema,
		to: nameSchema,
	}),
	z.strictObject({
		type: z.literal('entry-acknowledged'),
		version,
		entryHost: nameSchema,
		entrySetOffset: z.int().min(0),
	}),
]);

const envelopeSchema = z.looseObject({ type: z.string(), version: z.int().min(1) });
const noteEnvelopeSchema = z.strictObject({ type: z.literal('note'), version, note: z.unknown() });
const noteHeadSchema = z.looseObject({ id: identifierSchema, author: z.string().max(200).catch('') });

/** Reads one value of the control stream. Every daemon reads it in the same way. */
export function parseControlRecord(value: string): ParsedRecord {
	let json: unknown;
	try {
		json = JSON.parse(value);
	} catch {
		return { kind: 'corrupt', reason: 'the record is not JSON' };
	}
	const envelope = envelopeSchema.safeParse(json);
	if (!envelope.success) {
		return { kind: 'corrupt', reason: 'the record has no type and format version' };
	}
	if (envelope.data.version > CONTROL_RECORD_VERSION) {
		return { kind: 'newer-format', version: envelope.data.version };
	}
	if (envelope.data.type === 'note') {
		return parseNoteRecord(json);
	}
	const plain = plainRecordSchema.safeParse(json);
	return plain.success
		? { kind: 'record', record: plain.data }
		: { kind: 'corrupt', reason: `the record of type ${envelope.data.type.slice(0, 40)} does not follow its schema` };
}

function parseNoteRecord(json: unknown): ParsedRecord {
	const envelope = noteEnvelopeSchema.safeParse(json);
	if (!envelope.success) {
		return { kind: 'corrupt', reason: 'the record of type note does not follow its schema' };
	}
	const parsed = parseReleaseNote(envelope.data.note);
	if (parsed.problems === undefined) {
		return { kind: 'record', record: { type: 'note', version: CONTROL_RECORD_VERSION, note: parsed.note } };
	}
	const head = noteHeadSchema.safeParse(envelope.data.note);
	const [first] = parsed.problems;
	const reason = first === undefined ? 'the note does not follow its schema' : problemText(first);
	return head.success
		? { kind: 'malformed-note', id: head.data.id, author: head.data.author, reason }
		: { kind: 'corrupt', reason };
}
