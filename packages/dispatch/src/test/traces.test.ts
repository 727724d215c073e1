import { readdirSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';
import { runInterleaving } from './interleaving.js';
import type { Step } from './interleavingStep.js';

/** First line of a trace: which mutation the trace was found with. */
interface TraceHead {
	readonly seed: number;
	readonly guardsAgainst: string;
}

// The build leaves other files where they are, so the traces are read from the source folder.
const folder = fileURLToPath(new URL('../../src/test/traces/', import.meta.url));

describe('recorded interleavings', () => {
	it.each(readdirSync(folder))('keep the limits in %s', name => {
		const [first = '{}', ...rest] = readFileSync(`${folder}${name}`, 'utf8').trim().split('\n');
		const head = JSON.parse(first) as TraceHead;
		const steps = rest.map(line => JSON.parse(line) as Step);
		const result = runInterleaving(head.seed, steps);
		expect(result.violations, head.guardsAgainst).toEqual([]);
		// A trace under which nothing starts would guard against nothing.
		expect(result.starts).toBeGreaterThan(0);
	});
});
