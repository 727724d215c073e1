import { isDeepStrictEqual } from 'node:util';
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
	if (!rest.some(line => isOutcome(line))) {
		return differsAt(first.number, 'the trace states no outcome');
	}
	const header = first.content as TraceHeader;
	if (Object.hasOwn(steppedUnits, unit)) {
		return replaySteps(header, rest);
	}
	if (Object.hasOwn(wholeModels, unit)) {
		return replayModel(header, rest);
	}
	return differsAt(first.number, `there is no unit '${unit}'`);
}

function replaySteps(header: TraceHeader, lines: readonly Line[]): TraceResult {
	const unit = steppedUnits[header.unit]?.(header) ?? {};
	let returned: unknown;
	let events = 0;
	let outcomes = 0;
	for (const { number, content } of lines) {
		if ('returns' in content) {
			outcomes++;
			if (!isDeepStrictEqual(returned, content.returns)) {
				return { events, outcomes, difference: { line: number, reason: explain(content.returns, returned) } };
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
		returned = plain(method(at, ...(parameters as never[])));
	}
	return { events, outcomes, difference: undefined };
}

function replayModel(header: TraceHeader, lines: readonly Line[]): TraceResult {
	const events = lines.filter(line => !isOutcome(line)).map(line => line.content);
	const result = plain(wholeModels[header.unit]?.(header, events)) as Readonly<Record<string, unknown>>;
	let outcomes = 0;
	for (const { number, content } of lines.filter(isOutcome)) {
		outcomes++;
		const stated = parseOutcome(content.outcome);
		for (const [name, value] of Object.entries(stated ?? {})) {
			if (!isDeepStrictEqual(result[name], value)) {
				const reason = `${name}: ${explain(value, result[name])}`;
				return { events: events.length, outcomes, difference: { line: number, reason } };
			}
		}
		if (stated === undefined) {
			return { events: events.length, outcomes, difference: { line: number, reason: 'the outcome is no object' } };
		}
	}
	return { events: events.length, outcomes, difference: undefined };
}

function isOutcome({ content }: Line): boolean {
	return 'returns' in content || 'outcome' in content;
}

function parseOutcome(outcome: unknown): Readonly<Record<string, unknown>> | undefined {
	return typeof outcome === 'object' && outcome !== null && Object.keys(outcome).length > 0
		? (outcome as Readonly<Record<string, unknown>>)
		: undefined;
}

function parseObject(line: string): Readonly<Record<string, unknown>> | undefined {
	try {
		const value: unknown = JSON.parse(line);
		return typeof value === 'object' && value !== null && !Array.isArray(value)
			? (value as Readonly<Record<string, unknown>>)
			: undefined;
	} catch {
		return undefined;
	}
}

/** The value as JSON gives it; a call without a result returns null. */
function plain(value: unknown): unknown {
	return value === undefined ? null : (JSON.parse(JSON.stringify(value)) as unknown);
}

function explain(stated: unknown, found: unknown): string {
	return `stated ${JSON.stringify(stated)}, found ${JSON.stringify(found)}`;
}

function differsAt(line: number, reason: string): TraceResult {
	return { events: 0, outcomes: 0, difference: { line, reason } };
}
