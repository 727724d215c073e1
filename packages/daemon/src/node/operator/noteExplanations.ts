import type { NoteVerdict } from '@chestnutwheel/configuration/common/fleetState.js';
import type { ControlChange, ControlState } from '../control/controlState.js';
import type { Explanations } from '../leader/explanations.js';

/** Records on this daemon when each note came into force or was refused, and why. */
export function explainNotes(
	control: ControlState,
	explanations: Explanations,
	entryHost: string,
	signal: AbortSignal,
): void {
	const explain = ({ id, offset, author, accepted, refusal, touched }: NoteVerdict): void => {
		const reason = accepted ? 'in-force' : (refusal?.kind ?? 'refused');
		const details = { entryHost, offset, author, touched: touched.join(' '), refusal: refusal?.reason ?? '' };
		explanations.add(`note/${id}`, reason, details);
	};
	const onChange = ({ state, verdicts }: ControlChange): void => {
		const offsets = new Set(verdicts.filter(verdict => verdict.type === 'note').map(verdict => verdict.offset));
		// The verdicts of the latest records stand last.
		for (const verdict of offsets.size === 0 ? [] : state.verdicts.slice(-offsets.size)) {
			if (offsets.has(verdict.offset)) {
				explain(verdict);
			}
		}
	};
	control.listen(onChange, signal);
}
