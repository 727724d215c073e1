import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { barleyDesk, createDeskNote } from '../node/fleet/deskNote.js';
import { submitNote, waitUntilLed, waitUntilReady } from '../node/fleet/fleetClient.js';
import { startLocalFleet, type LocalFleet } from '../node/fleet/localFleet.js';

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

/** The tour as one script; a marker after each part divides the output. */
function tourScript(): string {
	const parts = blocks.flatMap(({ language, file, text }) => {
		if (language === 'yaml') {
			return [`cat > ${file} <<'END_OF_FILE'\n${text}END_OF_FILE\n`];
		}
		return language === 'sh' ? [`${text}echo; echo '${MARKER}'\n`] : [];
	});
	return `set -eu\ncurl() { command curl --silent --show-error --max-time 20 "$@"; echo; }\n${parts.join('')}`;
}

// Guards against a tour whose commands fail, or print something else, for somebody who tries the product.
describe('the tour of README.md', () => {
	let fleet: LocalFleet;
	let folder: string;
	const control = (): string => fleet.daemons[0]?.entryHost.address ?? '';

	beforeAll(async () => {
		folder = mkdtempSync(join(tmpdir(), 'chestnutwheel-tour-'));
		fleet = await startLocalFleet({ workers: 10, daemonDataCentres: ['dc-1', 'dc-2', 'dc-3'] });
		const entryHosts = fleet.daemons.map(daemon => daemon.entryHost);
		const note = createDeskNote([barleyDesk], fleet.workers, entryHosts);
		expect((await submitNote(control(), fleet.operatorKey, note)).status).toBe(200);
		await Promise.all(entryHosts.map(({ address }) => waitUntilReady(address)));
		await waitUntilLed(control(), fleet.operatorKey);
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
