import { createBurnRecorder } from '@chestnutwheel/burn/common/burnRecorder.js';
import { createBurnReport, type BurnReport } from '@chestnutwheel/burn/common/burnReport.js';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { errorResponses } from '@chestnutwheel/base/common/errorKinds.js';
import { parse } from 'yaml';
import { commandTable } from '../node/commandTable.js';
import { createFakeOperator, run, type FakeOperator, type Run } from './fakeOperator.js';

const firstNote = `
id: first
author: nadia
writtenAgainst: -1
added:
  pools:
    - { name: rye, cell: desk, budget: { maximumUnavailable: 1 }, spare: false }
  hosts:
    - { name: rye-01, pool: rye, address: http://10.0.0.1:7000, dataCentre: east, rack: r1, slots: 8, connections: 64 }
    - { name: rye-02, pool: rye, address: http://10.0.0.2:7000, dataCentre: west, rack: r2, slots: 8, connections: 64 }
  queues:
    - { name: bread, pools: [rye], open: false, maximumWaiting: 100 }
  teams:
    - { name: mill, organisation: granary, share: 1, limit: 12, queues: [bread] }
`;

let operator: FakeOperator;
let folder: string;

beforeEach(async () => {
	operator = await createFakeOperator();
	folder = await mkdtemp(join(tmpdir(), 'chestnutwheel-cli-'));
});

afterEach(async () => {
	await operator.close();
	await rm(folder, { recursive: true });
});

async function file(name: string, text: string): Promise<string> {
	const path = join(folder, name);
	await writeFile(path, text);
	return path;
}

const call = (...commandLine: string[]): Promise<Run> => run(commandLine, operator);

const at = (name: string, offset: number, reachable = true) => ({ name, offset, reachable });

async function submitFirst(): Promise<string> {
	const path = await file('first.yaml', firstNote);
	expect(await call('note', 'submit', path, '--wait-ms', '0')).toMatchObject({ exitCode: 0 });
	return path;
}

describe('note validate', () => {
	it('names the file, the line and the path of each problem, without a daemon', async () => {
		const path = await file('bad.yaml', firstNote.replace('share: 1', 'share: 0').replace('slots: 8', 'slots: none'));
		const result = await run(['note', 'validate', path], { address: '' });
		expect(result.exitCode).toBe(65);
		expect(result.errors).toContain(`${path}:9: added.hosts[0].slots: found "none"`);
		expect(result.errors).toContain(`${path}:14: added.teams[0].share: found 0`);
	});

	it.each([
		['a: [', /:1: /],
		['id: x\nid: y\n', /:2: .*unique/],
		['- 1\n', /the whole note: found \[1\]/],
		[firstNote.replace('rye-02', 'rye-01'), /host\/rye-01 is named twice/],
		[`${firstNote}surprise: 1\n`, /surprise: found a key that is not known/],
	])('refuses %j', async (text, message) => {
		const result = await call('note', 'validate', await file('bad.yaml', text));
		expect(result).toMatchObject({ exitCode: 65, out: '' });
		expect(result.errors).toMatch(message);
	});
});

describe('note submit', () => {
	it('waits for each entry host and shows which lag, so that "submitted" is not taken for "in force"', async () => {
		operator.progress.push([at('a', 0), at('b', -1)], [at('a', 0), at('b', -1, false)], [at('a', 0), at('b', 0)]);
		const result = await call('note', 'submit', await file('first.yaml', firstNote));
		expect(result).toMatchObject({ exitCode: 0, out: 'in force on 2 entry hosts\n' });
		expect(result.errors).toBe('accepted at offset 0\nwaiting: b is at offset -1 of 0\nwaiting: b does not answer\n');
	});

	it('ends as not-in-force when an entry host lags beyond the wait', async () => {
		operator.progress.push([at('a', 0), at('b', -1)]);
		const result = await call('note', 'submit', await file('first.yaml', firstNote), '--wait-ms', '1000');
		expect(result.exitCode).toBe(errorResponses['not-in-force'].exitCode);
		expect(result.errors).toContain('accepted at offset 0, but not yet in force everywhere: b is at offset -1 of 0');
	});

	it('reports a lost answer as unknown, and the same file again gives the verdict of the first copy', async () => {
		const path = await file('first.yaml', firstNote);
		operator.faults.push('lose-answer');
		const lost = await call('note', 'submit', path, '--output', 'json');
		expect(lost.exitCode).toBe(errorResponses['append-unknown'].exitCode);
		expect(JSON.parse(lost.out)).toMatchObject({ error: { kind: 'append-unknown', outcome: 'unknown' } });
		expect(lost.errors).toContain(`chestnutwheel note submit ${path}`);
		expect(operator.submissions).toHaveLength(1);
		expect(await call('note', 'submit', path, '--wait-ms', '0')).toMatchObject({ exitCode: 0 });
		expect(operator.state.verdicts).toHaveLength(1);
	});

	it('takes a page of another server for a lost answer, never for an accepted note', async () => {
		operator.faults.push('foreign-page');
		const result = await call('note', 'submit', await file('first.yaml', firstNote));
		expect(result.exitCode).toBe(errorResponses['append-unknown'].exitCode);
	});

	const kinds = ['append-unknown', 'log-unavailable', 'note-conflict', 'not-ready'] as const;
	it.each(kinds)('gives the exit code of the table for %s', async kind => {
		operator.faults.push(kind);
		const result = await call('note', 'submit', await file('first.yaml', firstNote));
		expect(result.exitCode).toBe(errorResponses[kind].exitCode);
		expect(result.errors).toContain(kind);
	});

	it('ends with the refusal when the verdict is a refusal', async () => {
		const path = await submitFirst();
		const second = await file('second.yaml', (await readFile(path, 'utf8')).replace('id: first', 'id: second'));
		const result = await call('note', 'submit', second);
		expect(result).toMatchObject({ exitCode: 65, errors: expect.stringContaining('also touched pool/rye') as string });
	});

	it('refuses another note under a used id, which the daemon takes for a copy of the first', async () => {
		const path = await submitFirst();
		expect((await call('note', 'submit', path, '--wait-ms', '0')).exitCode).toBe(0);
		const other = await file('other.yaml', firstNote.replace('limit: 12', 'limit: 9'));
		const result = await call('note', 'submit', other, '--wait-ms', '0');
		expect(result).toMatchObject({ exitCode: 65, errors: expect.stringContaining('differs in team mill') as string });
	});

	it('says unreachable, not unknown, when no connection was made', async () => {
		const path = await file('first.yaml', firstNote);
		await operator.close();
		const result = await call('note', 'submit', path);
		expect(result.exitCode).toBe(errorResponses['daemon-unreachable'].exitCode);
		operator = await createFakeOperator();
	});
});

describe('notes against the present state', () => {
	const change = `
id: shrink
author: nadia
writtenAgainst: 0
changed:
  teams:
    - { name: mill, organisation: granary, share: 2, limit: 3, queues: [bread] }
withdrawn:
  hosts: [rye-02]
`;

	it('plans moves, drains, limits and warnings with the running tasks of the daemons', async () => {
		await submitFirst();
		operator.answers.set('/operator/status', { daemon: 'a', cells: { desk: { runningByTeam: { mill: 5 } } } });
		const result = await call('note', 'plan', await file('shrink.yaml', change));
		expect(result.exitCode).toBe(0);
		expect(result.out).toContain('- host rye-02\n~ team mill\n    limit: 12 -> 3\n    share: 1 -> 2\n');
		expect(result.out).toContain('drain: host rye-02 (withdrawn)');
		expect(result.out).toContain('warning: team mill runs 5 tasks, above its new limit of 3');
		expect(result.out).toContain('verdict now: accepted');
		expect(operator.state.hosts['rye-02']).toBeDefined();
	});

	it('plans a refusal with the exit code that the submission would have', async () => {
		const result = await call('note', 'plan', await file('shrink.yaml', change));
		expect(result).toMatchObject({ exitCode: 65, out: expect.stringContaining('note-conflict') as string });
	});

	it('reverts a note to what was there before it', async () => {
		const path = await submitFirst();
		await call('note', 'submit', await file('shrink.yaml', change), '--wait-ms', '0');
		const undo = await call('note', 'revert', 'shrink');
		expect(parse(undo.out)).toMatchObject({ id: 'revert-shrink', author: 'nadia', writtenAgainst: 1 });
		const before = operator.state;
		await call('note', 'submit', await file('undo.yaml', undo.out), '--wait-ms', '0');
		expect(before.hosts['rye-02']).toBeUndefined();
		expect(operator.state.hosts['rye-02']).toMatchObject({ pool: 'rye' });
		expect(operator.state.teams.mill).toMatchObject({ share: 1, limit: 12 });
		const difference = await call('note', 'diff', 'shrink', path);
		expect(difference.out).toContain('~ team mill\n    action: "changed" -> "added"\n    limit: 3 -> 12');
		expect((await call('note', 'show', 'shrink')).out).toContain('# offset 1, accepted\nid: shrink');
		expect((await call('note', 'history', '--last', '1')).out).toContain('revert-shrink');
	});
});

describe('what operators see', () => {
	const entries = [{ at: 0, subject: 'rye-01', reason: 'set-aside', details: { failures: 6 } }];
	const burnReport = (): BurnReport => {
		const objective = { latencyMs: 200, target: 0.99 };
		const recorder = createBurnRecorder();
		for (let index = 0; index < 100; index++) {
			const failure = index < 15 ? 'queue-full' : undefined;
			recorder.record({ team: '<mill>', queue: 'bread', latencyMs: 10, failure }, objective, 0);
		}
		recorder.record({ team: 'inn', queue: 'bread', latencyMs: 10, failure: undefined }, objective, 0);
		return createBurnReport([recorder.part(0)], { bread: objective });
	};

	beforeEach(async () => {
		await submitFirst();
		const work = { waitingByQueue: { bread: 2 }, runningByTeam: { mill: 3 }, slotMsByTeam: { mill: 9_000 } };
		const hosts = { 'rye-01': { state: 'set-aside', reason: 'failures', running: 0, slots: 8 } };
		const cells = { desk: { cell: 'desk', ready: true, term: 4, ...work, hosts } };
		const view = { ready: false, reason: 'the view is too old', offset: 0, viewAgeMs: 5_000, logReadable: false };
		const leaders = { desk: { entryHost: 'b', term: 4 } };
		operator.answers.set('/operator/status', { daemon: 'a', ...view, leaders, cells });
		const job = { id: 'j1', cell: 'desk', team: 'mill', queue: 'bread', state: 'running', attempts: 1, host: 'rye-01' };
		operator.answers.set('/operator/jobs', { jobs: [job] });
		operator.answers.set('/operator/explain/host/rye-01', { entries });
		operator.answers.set('/operator/explain/host/rye-02', { entries: [] });
		operator.answers.set('/operator/burn', burnReport());
	});

	it.each([
		[['status'], 75, /not ready: the view is too old[^]*desk +b +4 +ready +3 +2/],
		[['pools'], 0, /rye +desk +2 +16 +0 +1/],
		[['hosts', '--state', 'set-aside'], 0, /^HOST[^\n]*\nrye-01 [^\n]*failures\n$/],
		[['teams'], 0, /mill +granary +1 +12 +3 +9 +bread/],
		[['jobs', '--team', 'inn'], 0, /^\(none\)\n$/],
		[['jobs'], 0, /j1 .* running +1 +rye-01/],
		[['waves'], 0, /^\(none\)\n$/],
		[['explain', 'host', 'rye-01'], 0, /set-aside +failures=6/],
		[['explain', 'host', 'rye-02'], 66, /^$/],
		[['explain', 'host', 'rye-09'], 66, /^$/],
		[['burn'], 0, /<mill> \/ bread: fast burn[^]*queue-full 15 \(100 %\)[^]*inn \/ bread: no alarm/],
		[['burn', '--team', 'inn'], 0, /^inn \/ bread: no alarm(?![^]*mill)/],
	] as const)('%j', async (commandLine, exitCode, pattern) => {
		const result = await call(...commandLine);
		expect(result.exitCode).toBe(exitCode);
		expect(result.out).toMatch(pattern);
		const asJson = await call(...commandLine, '--output', 'json');
		expect(JSON.parse(asJson.out)).toBeTypeOf('object');
	});

	it('escapes names in the burn page, because it is shown in browsers', async () => {
		const path = join(folder, 'burn.html');
		await call('burn', '--html', path);
		const page = await readFile(path, 'utf8');
		expect(page).toContain('&lt;mill&gt; / bread');
		expect(page).not.toContain('<mill>');
	});

	it('marks heads only on a terminal without NO_COLOR', async () => {
		const environment = { CHESTNUTWHEEL_DAEMON: operator.address, CHESTNUTWHEEL_OPERATOR_KEY: 'operator-test-key' };
		const marked = await run(['pools'], operator, { isTerminal: true });
		const plain = await run(['pools'], operator, { isTerminal: true, environment: { ...environment, NO_COLOR: '1' } });
		expect(marked.out).toContain('[1m');
		expect(plain.out).not.toContain('[1m');
	});
});

describe('use of the command line', () => {
	it('answers wrong usage with exit code 64', async () => {
		for (const text of ['', 'note', 'feast', 'pools --colour', 'explain pool rye', 'key create']) {
			const commandLine = text.split(' ').filter(word => word !== '');
			expect(await call(...commandLine), text).toMatchObject({ exitCode: 64, out: '' });
		}
	});

	it('answers wrong usage as JSON when JSON is asked for, and refuses counts that are none', async () => {
		const result = await call('note', 'history', '--last', 'all', '--output', 'json');
		expect(JSON.parse(result.out)).toMatchObject({ error: { kind: 'usage', outcome: 'not-applicable' } });
		expect(JSON.parse((await call('feast', '--output=json')).out)).toMatchObject({ error: { kind: 'usage' } });
		expect((await call('note', 'submit', 'x.yaml', '--wait-ms', '-1')).exitCode).toBe(64);
	});

	it('refuses a wrong key, a missing key and a missing daemon', async () => {
		expect((await call('pools', '--operator-key', 'wrong')).exitCode).toBe(77);
		expect((await run(['pools'], operator, { environment: {} })).exitCode).toBe(64);
		expect((await call('pools', '--daemon', 'entry-1')).exitCode).toBe(64);
	});

	it('shows help with an example for every command', async () => {
		for (const [words, command] of Object.entries(commandTable)) {
			const help = await call(...words.split(' '), '--help');
			expect(help.exitCode, words).toBe(0);
			expect(help.out.replace(/\s+/g, ' '), words).toContain(command.description);
			expect(help.out, words).toContain('Examples:');
		}
	});

	it('makes a key whose hash alone goes into the note', async () => {
		const result = await call('key', 'create', '--team', 'mill', '--id', 'mill-2', '--output', 'json');
		const { key, item } = JSON.parse(result.out) as { key: string; item: Record<string, string> };
		expect(key).toMatch(/^cwk_[\w-]{43}$/);
		expect(item).toEqual({ id: 'mill-2', team: 'mill', sha256: expect.stringMatching(/^[0-9a-f]{64}$/) as string });
	});
});
