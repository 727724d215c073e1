import type { ControlRecord, ReleaseNote, RecordVerdict } from './controlRecord.js';
import { createFleetDraft, type FleetDraft } from './fleetDraft.js';
import { partsOf, stateOf, type FleetParts } from './fleetParts.js';
import type { FleetState, NoteVerdict } from './fleetState.js';
import { noteChanges, touchedName } from './noteKinds.js';
import { applyNote } from './noteRules.js';
import { parseControlRecord } from './parseControlRecord.js';
import {
	acknowledgeEntrySet,
	claimHost,
	moveHost,
	resumeStoppedWave,
	returnHost,
	stopWave,
	type RecordRule,
} from './waveRules.js';

/** The state after one record, or the stop at a record of a newer format version. */
export type FoldResult =
	| { readonly state: FleetState; readonly verdict: RecordVerdict; readonly newerFormat?: undefined }
	/** The record was not applied: this program cannot read it, and the state before it stays in force. */
	| {
			readonly state: FleetState;
			readonly verdict?: undefined;
			readonly newerFormat: { readonly offset: number; readonly version: number };
	  };

/** What a handler made of one record. */
interface Handled {
	readonly draft: FleetDraft;
	readonly accepted: boolean;
	readonly reason?: string | undefined;
}

type RecordHandler<Type extends ControlRecord['type']> = (
	parts: FleetParts,
	record: Extract<ControlRecord, { readonly type: Type }>,
	offset: number,
) => Handled;

/**
 * Folds one value of the control stream. The result depends only on the arguments.
 * @param offset of the value; one that was already applied changes nothing
 */
export function foldControlRecord(state: FleetState, offset: number, value: string): FoldResult {
	const parts = partsOf(state);
	const parsed = parseControlRecord(value);
	if (parsed.kind === 'newer-format') {
		return { state, newerFormat: { offset, version: parsed.version } };
	}
	const type = parsed.kind === 'record' ? parsed.record.type : parsed.kind === 'malformed-note' ? 'note' : 'corrupt';
	if (offset <= parts.fields.offset) {
		return { state, verdict: { offset, type, accepted: false, reason: 'the offset was already applied' } };
	}
	const handled =
		parsed.kind === 'record'
			? handleRecord(parts, parsed.record, offset)
			: parsed.kind === 'malformed-note'
				? handleMalformedNote(parts, parsed, offset)
				: { draft: createFleetDraft(parts), accepted: false, reason: parsed.reason };
	const { draft, accepted, reason } = handled;
	return {
		state: stateOf(draft.finish(offset)),
		verdict: { offset, type, accepted, ...(reason === undefined ? {} : { reason }) },
	};
}

const recordHandlers: { readonly [Type in ControlRecord['type']]: RecordHandler<Type> } = {
	note: (parts, record, offset) => handleNote(parts, record.note, offset),
	'wave-claim': plainHandler(claimHost),
	'host-returned': plainHandler(returnHost),
	'wave-stopped': plainHandler(stopWave),
	'wave-resumed': plainHandler(resumeStoppedWave),
	'host-moved': plainHandler(moveHost),
	'entry-acknowledged': plainHandler(acknowledgeEntrySet),
};

function handleRecord(parts: FleetParts, record: ControlRecord, offset: number): Handled {
	// The table maps each type to its handler, which the compiler cannot follow through a union of types.
	const handler = recordHandlers[record.type] as RecordHandler<ControlRecord['type']>;
	return handler(parts, record, offset);
}

function plainHandler<Type extends ControlRecord['type']>(rule: RecordRule<Type>): RecordHandler<Type> {
	return (parts, record) => {
		const draft = createFleetDraft(parts);
		const reason = rule(draft, record);
		return reason === undefined
			? { draft, accepted: true }
			: { draft: createFleetDraft(parts), accepted: false, reason };
	};
}

/** The verdict that stands when this identifier was seen before. */
function handleCopy(parts: FleetParts, id: string): Handled | undefined {
	const first = parts.verdictById.get(id);
	return first === undefined
		? undefined
		: {
				draft: createFleetDraft(parts),
				accepted: first.accepted,
				reason: `a copy of the note at offset ${first.offset}, whose verdict stands`,
			};
}

function handleNote(parts: FleetParts, note: ReleaseNote, offset: number): Handled {
	const copy = handleCopy(parts, note.id);
	if (copy !== undefined) {
		return copy;
	}
	const draft = createFleetDraft(parts);
	const refusal = applyNote(draft, note, offset);
	const touched = noteChanges(note).map(touchedName);
	const { id, author } = note;
	if (refusal !== undefined) {
		return refuseNote(parts, { id, offset, author, accepted: false, refusal, touched });
	}
	draft.setFields({ noteOffset: offset });
	draft.remember({ id, offset, author, accepted: true, touched });
	return { draft, accepted: true };
}

function handleMalformedNote(
	parts: FleetParts,
	malformed: { readonly id: string; readonly author: string; readonly reason: string },
	offset: number,
): Handled {
	const { id, author, reason } = malformed;
	const refusal = { kind: 'note-refused', reason } as const;
	return handleCopy(parts, id) ?? refuseNote(parts, { id, offset, author, accepted: false, refusal, touched: [] });
}

function refuseNote(parts: FleetParts, verdict: NoteVerdict): Handled {
	const draft = createFleetDraft(parts);
	draft.remember(verdict);
	return { draft, accepted: false, reason: verdict.refusal?.reason };
}
