import { readFile } from 'node:fs/promises';
import { describe, expect, it } from 'vitest';
import { errorResponses } from '@chestnutwheel/base/common/errorKinds.js';
import { foldControlRecord } from '@chestnutwheel/configuration/common/foldControlRecord.js';
import { emptyFleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import { parseReleaseNoteText } from '@chestnutwheel/configuration/node/loadReleaseNote.js';
import { commandTable } from '../node/commandTable.js';

const page = await readFile(new URL('../../../../docs/operating.md', import.meta.url), 'utf8');

describe('docs/operating.md', () => {
	it('shows notes that the fold accepts one after the other, so that nobody copies an example that is refused', () => {
		const examples = [...page.matchAll(/```yaml\n([^]*?)```/g)].map(match => match[1] ?? '');
		expect(examples.length).toBeGreaterThanOrEqual(8);
		let state = emptyFleetState;
		for (const text of examples) {
			const note = parseReleaseNoteText(text, 'docs/operating.md');
			if (note.id.startsWith('resume-')) {
				const stop = { type: 'wave-stopped', version: 1, wave: 'spring', reason: 'rye-01 did not return' };
				({ state } = foldControlRecord(state, state.offset + 1, JSON.stringify(stop)));
			}
			const value = JSON.stringify({ type: 'note', version: 1, note });
			const result = foldControlRecord(state, state.offset + 1, value);
			expect(result.verdict, note.id).toMatchObject({ accepted: true });
			({ state } = result);
		}
	});

	it('explains every error kind and every command', () => {
		for (const kind of Object.keys(errorResponses)) {
			expect(page, kind).toContain(`\`${kind}\``);
		}
		for (const words of Object.keys(commandTable)) {
			expect(page, words).toMatch(new RegExp(`\`${words}\\b`));
		}
	});
});
