import type { Clock } from '@chestnutwheel/base/common/clock.js';
import { kindError, errorKindOf } from '@chestnutwheel/base/common/kindError.js';
import { delay } from '@chestnutwheel/base/node/delay.js';
import type { ControlRecord } from '@chestnutwheel/configuration/common/controlRecord.js';
import type { FleetState, NoteVerdict } from '@chestnutwheel/configuration/common/fleetState.js';
import { parseReleaseNote } from '@chestnutwheel/configuration/common/releaseNoteSchema.js';
import type { LogClient } from '@chestnutwheel/platform/common/logProtocol.js';
import { CONTROL_STREAM } from '../control/controlReader.js';

/** Submits release notes and finds out what became of them. */
export interface NoteSubmission {
	/**
	 * Appends a note and waits for the fold's verdict.
	 * @returns the verdict on an accepted note, also when this is a second copy of it
	 * @throws `note-invalid`, `note-refused`, `note-conflict`, `log-unavailable` (nothing was appended), or
	 * `append-unknown` (the same note may be submitted again)
	 */
	submit(value: unknown): Promise<NoteVerdict>;
}

/** Time to find a note after its append, or after an append whose answer was lost. */
const FIND_WITHIN_MS = 5_000;
const FIND_EVERY_MS = 20;

/** Creates the submission over the log and the folded state. */
export function createNoteSubmission(
	log: LogClient,
	state: () => FleetState,
	clock: Clock,
	signal: AbortSignal,
): NoteSubmission {
	const verdictOf = (id: string): NoteVerdict | undefined => state().verdicts.findLast(verdict => verdict.id === id);

	const waitForVerdict = async (id: string): Promise<NoteVerdict | undefined> => {
		const deadline = clock.now() + FIND_WITHIN_MS;
		for (;;) {
			const verdict = verdictOf(id);
			if (verdict !== undefined || clock.now() >= deadline || signal.aborted) {
				return verdict;
			}
			await delay(FIND_EVERY_MS, signal);
		}
	};

	const append = async (record: ControlRecord): Promise<void> => {
		try {
			await log.append(CONTROL_STREAM, JSON.stringify(record), signal);
		} catch (error) {
			// After an unknown append the verdict tells whether it took effect.
			if (errorKindOf(error) !== 'append-unknown') {
				throw kindError('log-unavailable', 'the note was not appended to the log; nothing has changed', {
					cause: error,
				});
			}
		}
	};

	return {
		submit: async value => {
			const parsed = parseReleaseNote(value);
			if (parsed.note === undefined) {
				const lines = parsed.problems.map(({ path, found, allowed }) => `${path}: found ${found}; allowed: ${allowed}`);
				throw kindError('note-invalid', lines.join('\n'));
			}
			const { note } = parsed;
			if (verdictOf(note.id) === undefined) {
				await append({ type: 'note', version: 1, note });
			}
			const verdict = await waitForVerdict(note.id);
			if (verdict === undefined) {
				throw kindError(
					'append-unknown',
					`the note ${note.id} may or may not be in the log; submit the same file again, which is safe`,
				);
			}
			if (verdict.refusal !== undefined) {
				throw kindError(verdict.refusal.kind, verdict.refusal.reason);
			}
			return verdict;
		},
	};
}
