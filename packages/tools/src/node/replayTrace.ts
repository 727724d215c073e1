import { isDeepStrictEqual } from 'node:util';
import { errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import { steppedUnits, wholeModels, type TraceHeader } from './replayUnits.js';

/** The first place where a trace and the code differ. */
export interface TraceDifference {
	/** Counted from 1. */
	readonly line: number;
	readonly reason: string;
}

/** Result of one trace. */
export interface TraceResult {
	readonly events: number;
	readonly outcomes: number;
	readonly difference: TraceDifference | undefined;
}

interface Line {
	readonly number: number;
	readonly content: Readonly<Record<string, unknown>>;
}

/**
 * Replays one trace; docs/traces.md gives the format.
 * @returns the first difference, if any; a trace without a stated outcome differs as well
 */
export function replayTrace(text: string): TraceResult {
	const lines: Line[] = [];
	for (const [index, line] of text.split('\n').entries()) {
		if (line.trim() === '') {
			continue;
		}
		const content = parseObject(line);
		if (content === undefined) {
			return differsAt(index + 1, 'the line is not a JSON object');
		}
		lines.push({ number: index + 1, content });
	}
	const [first, ...rest] = lines;
	const unit = first?.content.unit;
	if (first === undefined || typeof unit !== 'string') {
		return differsAt(1, 'the first line names no unit');
	}
	const isStepped = Object.hasOwn(steppedUnits, unit);
	if (!isStepped && !Object.hasOwn(wholeModels, unit)) {
		return differsAt(first.number, `there is no unit '${unit}'`);
	}
	// The first line of a stepped unit follows no event, so only a model can state its outcome there.
	if (!(isStepped ? rest : lines).some(isOutcome)) {
		return differsAt(first.number, 'the trace states no outcome');
	}
	const header = first.content as TraceHeader;
	try {
		return isStepped ? replaySteps(header, rest) : replayModel(header, lines);
	} catch (error) {
		return differsAt(first.number, `the unit failed: ${errorMessageOf(error)}`);
	}
}

function replaySteps(header: TraceHeader, lines: readonly Line[]): TraceResult {
	const unit = steppedUnits[header.unit]?.(header) ?? {};
	let returned: unknown;
	let events = 0;
	let outcomes = 0;
	for (const line of lines) {
		const { number, content } = line;
		if (isOutcome(line)) {
			outcomes++;
			const reason =
				'returns' in content ? compare(content.returns, returned) : compareFields(content.outcome, returned);
			if (reason !== undefined) {
				return { events, outcomes, difference: { line: number, reason } };
			}
			continue;
		}
		const { at, call, arguments: parameters = [] } = content;
		if (typeof at !== 'number' || typeof call !== 'string' || !Array.isArray(parameters)) {
			return { events, outcomes, difference: { line: number, reason: 'the event lacks a time or a call' } };
		}
		const method = Object.hasOwn(unit, call) ? unit[call] : undefined;
		if (method === undefined) {
			return { events, outcomes, difference: { line: number, reason: `the unit has no call '${call}'` } };
		}
		events++;
		try {
			returned = plain(method(at, ...(parameters as never[])));
		} catch (error) {
			return { events, outcomes, difference: { line: number, reason: `the call failed: ${errorMessageOf(error)}` } };
		}
	}
	return { events, outcomes, difference: undefined };
}

function replayModel(header: TraceHeader, lines: readonly Line[]): TraceResult {
	const events = lines.slice(1).filter(line => !isOutcome(line));
	const contents = events.map(line => line.content);
	const result = plain(wholeModels[header.unit]?.(header, contents));
	let outcomes = 0;
	for (const { number, content } of lines.filter(isOutcome)) {
		outcomes++;
		const reason = compareFields(content.outcome, result);
		if (reason !== undefined) {
			return { events: events.length, outcomes, difference: { line: number, reason } };
		}
	}
	return { events: events.length, outcomes, difference: undefined };
}

/** Compares a whole result. @returns the difference, if any */
function compare(stated: unknown, found: unknown): string | undefined {
	return isDeepStrictEqual(found, stated)
		? undefined
		: `stated ${JSON.stringify(stated)}, found ${JSON.stringify(found)}`;
}

/** Compares the stated fields of a result, each as a whole. @returns the first difference, if any */
function compareFields(stated: unknown, found: unknown): string | undefined {
	if (!isObject(stated) || Object.keys(stated).length === 0) {
		return 'the outcome is no object with fields';
	}
	if (!isObject(found)) {
		return 'the result has no fields to compare';
	}
	for (const [name, value] of Object.entries(stated)) {
		const reason = compare(value, found[name]);
		if (reason !== undefined) {
			return `${name}: ${reason}`;
		}
	}
	return undefined;
}

function isOutcome({ content }: Line): boolean {
	return 'returns' in content || 'outcome' in content;
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function parseObject(line: string): Readonly<Record<string, unknown>> | undefined {
	try {
		const value: unknown = JSON.parse(line);
		return isObject(value) ? value : undefined;
	} catch {
		return undefined;
	}
}

/** The value as JSON gives it; a call without a result returns null. */
function plain(value: unknown): unknown {
	return value === undefined ? null : (JSON.parse(JSON.stringify(value)) as unknown);
}

function differsAt(line: number, reason: string): TraceResult {
	return { events: 0, outcomes: 0, difference: { line, reason } };
}
