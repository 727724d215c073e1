import { LineCounter, parseDocument } from 'yaml';
import type { z } from 'zod';
import { kindError } from '../common/kindError.js';
import type { ErrorKind } from '../common/errorKinds.js';

/** A YAML text with its origin and the error kind for reporting problems in it. */
export interface YamlSource {
	/** File name for error messages. */
	readonly file: string;
	readonly text: string;
	/** Error kind for syntax errors and schema violations. */
	readonly errorKind: ErrorKind;
}

/**
 * Parses a YAML text and validates it against a schema.
 * @throws an error of the kind given by the source; its message names the file, line, key, value found and allowed values
 */
export function parseYamlSettings<Output>(source: YamlSource, schema: z.ZodType<Output>): Output {
	const lineCounter = new LineCounter();
	const document = parseDocument(source.text, { lineCounter });
	const syntaxError = document.errors[0];
	if (syntaxError !== undefined) {
		throw kindError(source.errorKind, `${source.file}: ${syntaxError.message}`);
	}
	const value: unknown = document.toJS();
	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return parsed.data;
	}
	const lines = parsed.error.issues.flatMap(problemsOf).map(({ path, message }) => {
		const found = describe(valueAt(value, path));
		const line = lineOf(document, lineCounter, path);
		return `${source.file}:${line}: ${path.join('.') || '(whole file)'}: found ${found}; ${message}`;
	});
	throw kindError(source.errorKind, lines.join('\n'));
}

interface Problem {
	readonly path: readonly string[];
	readonly message: string;
}

/** Reports each unknown key separately, because the schema reports them together for the mapping that contains them. */
function problemsOf(issue: z.core.$ZodIssue): readonly Problem[] {
	const path = issue.path.map(String);
	return issue.code === 'unrecognized_keys'
		? issue.keys.map(key => ({
				path: [...path, key],
				message: 'this key is unknown; allowed: only the documented keys',
			}))
		: [{ path, message: issue.message }];
}

function valueAt(value: unknown, path: readonly string[]): unknown {
	return path.reduce<unknown>(
		(inner, key) =>
			typeof inner === 'object' && inner !== null ? (inner as Readonly<Record<string, unknown>>)[key] : undefined,
		value,
	);
}

function lineOf(document: ReturnType<typeof parseDocument>, lineCounter: LineCounter, path: readonly string[]): number {
	for (let length = path.length; length > 0; length--) {
		const keys = path.slice(0, length).map(key => (/^\d+$/.test(key) ? Number(key) : key));
		const node: unknown = document.getIn(keys, true);
		if (typeof node === 'object' && node !== null && 'range' in node && Array.isArray(node.range)) {
			return lineCounter.linePos(Number(node.range[0])).line;
		}
	}
	return 1;
}

function describe(value: unknown): string {
	return value === undefined ? 'nothing' : JSON.stringify(value);
}
