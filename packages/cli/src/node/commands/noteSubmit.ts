import { kindError, errorKindOf, errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import type { ReleaseNote } from '@chestnutwheel/configuration/common/controlRecord.js';
import type { NoteVerdict } from '@chestnutwheel/configuration/common/fleetState.js';
import { noteDifference } from '@chestnutwheel/configuration/common/noteDifference.js';
import { kindWords } from '@chestnutwheel/configuration/common/noteKinds.js';
import { loadReleaseNote } from '@chestnutwheel/configuration/node/loadReleaseNote.js';
import type { EntryHostProgress } from '@chestnutwheel/configuration/common/operatorProtocol.js';
import type { OperatorClient } from '../../common/operatorClient.js';
import { countArgument, textArgument, type Command, type CommandContext } from '../command.js';

/** Time between two questions whether the note is in force. */
const POLL_MS = 250;

/** Submits a note and waits until every entry host has applied it. */
export const noteSubmit: Command = {
	usage: '<file>',
	description: 'Submit a release note and wait until it is in force on each entry host',
	positionals: { file: { type: 'string', describe: 'YAML file of the note' } },
	options: {
		'wait-ms': { type: 'number', default: 30_000, describe: 'Longest wait for the entry hosts; 0 does not wait' },
	},
	examples: [
		['note submit add-rack.yaml', 'submit and wait for up to 30 s'],
		['note submit add-rack.yaml --output json', 'the verdict and the progress of each entry host as JSON'],
	],
	run: async (context, given) => {
		const file = textArgument(given, 'file');
		const waitMs = countArgument(given, 'wait-ms');
		const note = await loadReleaseNote(file);
		const client = context.client();
		const verdict = await submit(client, note, file);
		if (!verdict.accepted) {
			const { kind, reason } = verdict.refusal ?? { kind: 'note-refused', reason: 'no reason given' };
			throw kindError(kind, reason);
		}
		await checkStored(context, client, note);
		context.progress(`accepted at offset ${verdict.offset}`);
		const entryHosts = waitMs > 0 ? await waitInForce(context, client, verdict.offset, waitMs) : [];
		return {
			data: { verdict, entryHosts },
			text: waitMs > 0 ? `in force on ${entryHosts.length} entry hosts` : 'not waited for the entry hosts',
		};
	},
};

async function submit(client: OperatorClient, note: ReleaseNote, file: string): Promise<NoteVerdict> {
	try {
		return (await client.submitNote(note)).verdict;
	} catch (error) {
		if (errorKindOf(error) !== 'append-unknown') {
			throw error;
		}
		throw kindError(
			'append-unknown',
			`${errorMessageOf(error)}\n` +
				`The outcome is unknown: note ${note.id} may or may not have been accepted.\n` +
				`Submit the same, unchanged file again: chestnutwheel note submit ${file}\n` +
				'A second copy is recognised by its id and changes nothing.',
		);
	}
}

/**
 * The daemon knows a note by its id alone, so a different note under a used id gets the verdict of the first.
 * @throws `note-refused` when the accepted note does other things than this one
 */
async function checkStored(context: CommandContext, client: OperatorClient, note: ReleaseNote): Promise<void> {
	let stored: ReleaseNote;
	try {
		stored = (await client.note(note.id)).note;
	} catch (error) {
		context.progress(
			`could not compare the accepted note with the file: ${errorKindOf(error)}: ${errorMessageOf(error)}`,
		);
		return;
	}
	const [difference] = noteDifference(stored, note);
	if (difference !== undefined) {
		const thing = `${kindWords[difference.kind]} ${difference.name}`;
		throw kindError(
			'note-refused',
			`the id ${note.id} belongs to an earlier note, which differs in ${thing}; give this note an id of its own`,
		);
	}
}

/** Asks until every entry host has reached the offset. @throws `not-in-force` naming those that lag */
async function waitInForce(
	context: CommandContext,
	client: OperatorClient,
	offset: number,
	waitMs: number,
): Promise<readonly EntryHostProgress[]> {
	const deadline = context.now() + waitMs;
	let shown = '';
	for (;;) {
		const answer = await readProgress(client, offset);
		const lagging = answer.entryHosts.filter(entryHost => entryHost.offset < offset);
		if (answer.problem === undefined && answer.entryHosts.length > 0 && lagging.length === 0) {
			return answer.entryHosts;
		}
		const waiting = answer.problem ?? lagText(lagging, offset);
		if (context.now() >= deadline) {
			throw kindError('not-in-force', `accepted at offset ${offset}, but not yet in force everywhere: ${waiting}`);
		}
		if (waiting !== shown) {
			context.progress(`waiting: ${waiting}`);
			shown = waiting;
		}
		await context.pause(POLL_MS);
	}
}

/** The note is accepted by now, so a failed question is repeated and never ends the command as a failure of the note. */
async function readProgress(
	client: OperatorClient,
	offset: number,
): Promise<{ readonly entryHosts: readonly EntryHostProgress[]; readonly problem?: string }> {
	try {
		return await client.inForce(offset);
	} catch (error) {
		return { entryHosts: [], problem: `${errorKindOf(error)}: ${errorMessageOf(error)}` };
	}
}

function lagText(lagging: readonly EntryHostProgress[], offset: number): string {
	if (lagging.length === 0) {
		return 'no entry host is known';
	}
	return lagging
		.map(({ name, offset: reached, reachable }) =>
			reachable ? `${name} is at offset ${reached} of ${offset}` : `${name} does not answer`,
		)
		.join(', ');
}
