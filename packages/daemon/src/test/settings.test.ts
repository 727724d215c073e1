import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { errorKindOf, errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import { parseYamlSettings } from '@chestnutwheel/base/node/parseYamlSettings.js';
import { describe, expect, it } from 'vitest';
import { z } from 'zod';
import { settingsSchema, type Settings } from '../common/settings.js';

const page = readFileSync(new URL('../../../../docs/settings.md', import.meta.url), 'utf8');
const example = /^```yaml settings\n(.*?)^```$/ms.exec(page)?.[1] ?? '';
const keysOnPage = [...page.matchAll(/^\| `([\w.]+)` \|/gm)].map(match => match[1]);
const daemonProgram = new URL('../../out/node/main.js', import.meta.url).pathname;

const read = (text: string): Settings =>
	parseYamlSettings({ file: 'entry-1.yaml', text, errorKind: 'settings-invalid' }, settingsSchema);

function problemOf(text: string): string {
	try {
		read(text);
	} catch (error) {
		expect(errorKindOf(error)).toBe('settings-invalid');
		return errorMessageOf(error);
	}
	return 'no problem';
}

/** The example without the line of one key. */
const without = (key: string): string => example.replace(new RegExp(`^ *${key}:.*\\n`, 'm'), '');
/** The example with another value of one key that stands on one line. */
const withValue = (key: string, value: string): string =>
	example.replace(new RegExp(`^( *${key}):.*$`, 'm'), `$1: ${value}`);
const lineOf = (text: string, key: string): number =>
	text.split('\n').findIndex(line => line.trim().startsWith(`${key}:`)) + 1;

function schemaKeys(schema: z.ZodType, path = ''): readonly string[] {
	return schema instanceof z.ZodObject
		? Object.entries(schema.shape as Record<string, z.ZodType>).flatMap(([key, inner]) => [
				`${path}${key}`,
				...schemaKeys(inner, `${path}${key}.`),
			])
		: [];
}

/** Opens a port, so that a daemon that binds it would fail in another way than by its settings. */
async function withOpenPort<Result>(work: (port: number) => Result): Promise<Result> {
	const server = createServer();
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
	const address = server.address();
	try {
		return work(typeof address === 'object' && address !== null ? address.port : 0);
	} finally {
		server.close();
	}
}

function runDaemon(text: string, ...options: string[]): { code: number | null; output: string; errors: string } {
	const folder = mkdtempSync(join(tmpdir(), 'chestnutwheel-settings-'));
	const file = join(folder, 'entry-1.yaml');
	try {
		writeFileSync(file, text);
		const run = spawnSync(process.execPath, [daemonProgram, '--settings', file, ...options], {
			encoding: 'utf8',
			timeout: 20_000,
		});
		return { code: run.status, output: run.stdout, errors: run.stderr.replaceAll(`${folder}/`, '') };
	} finally {
		rmSync(folder, { recursive: true });
	}
}

// Guards against a page whose example a daemon refuses, or that leaves out a key or names one that is gone.
describe('docs/settings.md', () => {
	it('has an example that the daemon reads, with every key', () => {
		const settings = read(example);
		expect(settings).toMatchObject({ entryHost: 'entry-1', platform: { logRetentionHours: 168 } });
		const { platform, ...others } = settings;
		const keys = [...Object.keys(others), 'platform', ...Object.keys(platform).map(key => `platform.${key}`)];
		expect(keys.sort()).toEqual([...schemaKeys(settingsSchema)].sort());
	});

	it('has a row for every key of the schema and no other', () => {
		expect(keysOnPage).toEqual(schemaKeys(settingsSchema));
	});

	it('gives the defaults of the code', () => {
		const required = example
			.replace(/^peers:\n( +-.*\n)+/m, '')
			.replace(/^ *(logRetentionHours|logLevel|balancerDelayMs):.*\n/gm, '');
		const { peers, logLevel, balancerDelayMs, platform } = read(required);
		const rowOf = (key: string): string => page.split('\n').find(line => line.startsWith(`| \`${key}\` |`)) ?? '';
		const defaultOf = (key: string): string => (rowOf(key).split('|')[3] ?? '').trim().replaceAll('`', '');
		expect(peers).toEqual([]);
		expect(defaultOf('peers')).toBe('empty');
		expect(defaultOf('logLevel')).toBe(logLevel);
		expect(defaultOf('balancerDelayMs')).toBe(String(balancerDelayMs));
		expect(defaultOf('platform.logRetentionHours')).toBe(String(platform.logRetentionHours));
	});
});

// Guards against an operator who cannot tell from the message which line to correct, and how.
describe('wrong settings', () => {
	it.each([
		['callerAddress', 'localhost:8080', 'callerAddress', 'an IP number and a port'],
		['entryHost', '1-entry', 'entryHost', 'a letter, then up to 62 letters'],
		['controlAddress', '999.1.1.1:7101', 'controlAddress', 'an IP number and a port'],
		['controlAddress', '10.0.0.1:99999', 'controlAddress', 'a port up to 65535'],
		['operatorKeySha256', 'abc', 'operatorKeySha256', '64 lower-case hexadecimal digits'],
		['log', 'https://log.example:7300', 'platform.log', 'http:// with an IP number and a port'],
		['logRetentionHours', 'a week', 'platform.logRetentionHours', 'a number from 1 to 8760'],
		['logLevel', 'loud', 'logLevel', 'debug, info, warn or error'],
		['balancerDelayMs', 'soon', 'balancerDelayMs', 'a whole number from 0 to 60000'],
	])('in %s: %s are reported with file, line, key, what was found and what is allowed', (key, value, path, allowed) => {
		const text = withValue(key, value);
		const problem = problemOf(text);
		expect(problem).toContain(`entry-1.yaml:${lineOf(text, key)}: ${path}: found ${JSON.stringify(value)}; allowed: `);
		expect(problem).toContain(allowed);
	});

	it.each(['entryHost', 'controlAddress', 'hostList'])('without %s are refused by the name of the key', key => {
		expect(problemOf(without(key))).toMatch(new RegExp(`^entry-1\\.yaml:\\d+: (platform\\.)?${key}: found nothing; `));
	});

	it('with a key that does not exist are refused by its name', () => {
		const text = `${example}speed: 3\n`;
		expect(problemOf(text)).toContain(`entry-1.yaml:${lineOf(text, 'speed')}: speed: found 3; this key is unknown`);
	});

	it('end a check with exit code 78 and the message alone', () => {
		const { code, output, errors } = runDaemon(withValue('logLevel', 'loud'), '--check-settings');
		expect(code).toBe(78);
		expect(output).toBe('');
		expect(errors).toBe(
			`entry-1.yaml:${lineOf(example, 'logLevel')}: logLevel: found "loud"; allowed: debug, info, warn or error\n`,
		);
	});

	it('are reported before a port is bound, also without --check-settings', async () => {
		const { code, errors } = await withOpenPort(port =>
			runDaemon(
				withValue('logLevel', 'loud').replace(/^(callerAddress|controlAddress):.*$/gm, `$1: 127.0.0.1:${port}`),
			),
		);
		expect(code).toBe(78);
		expect(errors).toContain('logLevel: found "loud"');
	});
});

it('a check of the example binds no port and ends with exit code 0', async () => {
	const { code, output, errors } = await withOpenPort(port =>
		runDaemon(example.replace(/^(callerAddress|controlAddress):.*$/gm, `$1: 127.0.0.1:${port}`), '--check-settings'),
	);
	expect(errors).toBe('');
	expect(output).toContain('the settings are valid');
	expect(code).toBe(0);
});
