import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { startDeskFleet } from '../node/fleet/deskFleet.js';
import { barleyDesk } from '../node/fleet/deskNote.js';
import type { LocalFleet } from '../node/fleet/localFleet.js';

const repository = new URL('../../../../', import.meta.url);
const readme = readFileSync(new URL('README.md', repository), 'utf8');

/** One part of the tour: commands, a file to save, or texts that the output of the last commands must hold. */
interface TourBlock {
	readonly language: string;
	readonly file: string;
	readonly text: string;
}

const blocks: readonly TourBlock[] = [...readme.matchAll(/^```(\w+) tour ?(.*)\n([^]*?)^```$/gm)].map(
	([, language = '', file = '', text = '']) => ({ language, file, text }),
);

const MARKER = '=== end of part';

/** The options of curl that the tour uses, so that the test needs nothing but Node.js. */
const CURL = `
import { parseArgs } from 'node:util';
const options = { request: { type: 'string', short: 'X' }, header: { type: 'string', short: 'H', multiple: true }, data: { type: 'string', short: 'd' } };
const { values, positionals } = parseArgs({ options, allowPositionals: true });
const headers = Object.fromEntries((values.header ?? []).map(line => line.split(/: (.*)/)));
const answer = await fetch(positionals[0], { method: values.request, headers, body: values.data, signal: AbortSignal.timeout(20_000) });
process.stdout.write(await answer.text());
`;

/** The tour as one script; a marker after each part divides the output. */
function tourScript(): string {
	const parts = blocks.flatMap(({ language, file, text }) => {
		if (language === 'yaml') {
			return [`cat > ${file} <<'END_OF_FILE'\n${text}END_OF_FILE\n`];
		}
		return language === 'sh' ? [`${text}echo; echo '${MARKER}'\n`] : [];
	});
	return `set -eu\ncurl() { "$NODE" "$CURL" "$@"; echo; }\n${parts.join('')}`;
}

// Guards against a tour whose commands fail, or print something else, for somebody who tries the product.
describe('the tour of README.md', () => {
	let fleet: LocalFleet;
	let folder: string;
	const control = (): string => fleet.daemons[0]?.entryHost.address ?? '';

	beforeAll(async () => {
		folder = mkdtempSync(join(tmpdir(), 'chestnutwheel-tour-'));
		writeFileSync(join(folder, 'curl.mjs'), CURL);
		fleet = await startDeskFleet([barleyDesk], { workers: 10, daemonDataCentres: ['dc-1', 'dc-2', 'dc-3'] });
	});

	afterAll(async () => {
		await fleet.stop();
		rmSync(folder, { recursive: true });
	});

	it('runs from the first command to the last and prints what it shows', { timeout: 120_000 }, async () => {
		const shell = spawn('bash', ['-c', tourScript()], {
			cwd: repository,
			stdio: ['ignore', 'pipe', 'inherit'],
			env: {
				...process.env,
				TMPDIR: folder,
				NODE: process.execPath,
				CURL: join(folder, 'curl.mjs'),
				CALLERS: fleet.daemons[0]?.callerAddress,
				CHESTNUTWHEEL_DAEMON: control(),
				CHESTNUTWHEEL_OPERATOR_KEY: fleet.operatorKey,
			},
		});
		let output = '';
		shell.stdout.on('data', (chunk: Buffer) => (output += chunk.toString('utf8')));
		const [code] = (await once(shell, 'close')) as [number | null];
		expect(code, output).toBe(0);

		const outputs = output.split(MARKER);
		const shown = blocks.filter(block => block.language !== 'yaml');
		expect(shown.filter(block => block.language === 'text').length).toBeGreaterThanOrEqual(6);
		let part = -1;
		for (const { language, text } of shown) {
			part += language === 'sh' ? 1 : 0;
			for (const line of language === 'text' ? text.trim().split('\n') : []) {
				expect(outputs[part]).toContain(line);
			}
		}
	});

	it('names only commands of npm that package.json has', () => {
		const { scripts } = JSON.parse(readFileSync(new URL('package.json', repository), 'utf8')) as {
			scripts: Readonly<Record<string, string>>;
		};
		expect(Object.keys(scripts)).toEqual(expect.arrayContaining(['start', 'test']));
		expect(readme).toMatch(/^npm start\nnpm test$/m);
	});
});
