import { readFile } from 'node:fs/promises';
import { kindError, errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import { LineCounter, parseDocument, type Document } from 'yaml';
import type { ReleaseNote } from '../common/controlRecord.js';
import { noteAloneProblem } from '../common/noteRules.js';
import { parseReleaseNote, type NoteProblem } from '../common/releaseNoteSchema.js';

/** Largest file that is read; the first note of the largest fleet has about 5 MiB. */
const MAXIMUM_CHARACTERS = 16 * 1024 * 1024;

/** Reads a release note from a YAML or JSON file. @throws `note-invalid` with the file, line and path of each problem */
export async function loadReleaseNote(file: string): Promise<ReleaseNote> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		throw kindError('note-invalid', `${file}: cannot be read: ${errorMessageOf(error)}`);
	}
	return parseReleaseNoteText(text, file);
}

/** Reads a release note from text. @param file the name for messages */
export function parseReleaseNoteText(text: string, file: string): ReleaseNote {
	if (text.length > MAXIMUM_CHARACTERS) {
		throw kindError('note-invalid', `${file}: has ${text.length} characters, allowed: ${MAXIMUM_CHARACTERS}`);
	}
	const lineCounter = new LineCounter();
	const document = parseDocument(text, { lineCounter, uniqueKeys: true });
	if (document.errors.length > 0) {
		const lines = document.errors.map(error => {
			const { line } = lineCounter.linePos(error.pos[0]);
			return `${file}:${line}: ${error.message.split('\n')[0] ?? 'is not YAML'}`;
		});
		throw kindError('note-invalid', lines.join('\n'));
	}
	const parsed = parseReleaseNote(valueOf(document, file));
	if (parsed.problems !== undefined) {
		const lines = parsed.problems.map(problem => problemLine(file, document, lineCounter, problem));
		throw kindError('note-invalid', lines.join('\n'));
	}
	const alone = noteAloneProblem(parsed.note);
	if (alone !== undefined) {
		throw kindError('note-invalid', `${file}: ${alone}`);
	}
	return parsed.note;
}

/** YAML aliases are limited, because a few lines of them can expand to gigabytes. */
function valueOf(document: Document, file: string): unknown {
	try {
		return document.toJS({ maxAliasCount: 100 });
	} catch (error) {
		throw kindError('note-invalid', `${file}: ${errorMessageOf(error)}`);
	}
}

function problemLine(file: string, document: Document, lineCounter: LineCounter, problem: NoteProblem): string {
	const path = problem.path === '' ? 'the whole note' : problem.path;
	const line = lineOf(document, lineCounter, problem.path);
	return `${file}:${line}: ${path}: found ${problem.found}, allowed: ${problem.allowed}`;
}

/** The line of a path, or of its nearest ancestor when the path itself is missing. */
function lineOf(document: Document, lineCounter: LineCounter, path: string): number {
	const keys = path
		.split(/[.[\]]/)
		.filter(key => key !== '')
		.map(key => (/^\d+$/.test(key) ? Number(key) : key));
	for (let length = keys.length; length > 0; length--) {
		const node = document.getIn(keys.slice(0, length), true);
		const range = typeof node === 'object' && node !== null && 'range' in node ? node.range : undefined;
		if (Array.isArray(range) && typeof range[0] === 'number') {
			return lineCounter.linePos(range[0]).line;
		}
	}
	return 1;
}
