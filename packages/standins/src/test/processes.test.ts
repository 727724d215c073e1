import type { HostList } from '@chestnutwheel/platform/common/hostList.js';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';
import { until } from './workerHarness.js';

interface Announcement {
	readonly kind: string;
	readonly host?: string;
	readonly address: string;
}

const main = fileURLToPath(new URL('../../out/node/main.js', import.meta.url));
const children: ChildProcess[] = [];

/** Starts the built program and reads as many announcements as it should make. */
async function start(programArguments: readonly string[], count: number): Promise<readonly Announcement[]> {
	const child = spawn(process.execPath, [main, ...programArguments], { stdio: ['ignore', 'pipe', 'inherit'] });
	children.push(child);
	const announcements: Announcement[] = [];
	for await (const line of createInterface({ input: child.stdout })) {
		announcements.push(JSON.parse(line) as Announcement);
		if (announcements.length === count) {
			break;
		}
	}
	return announcements;
}

async function get(url: string): Promise<unknown> {
	return (await request(url)).body.json();
}

describe('stand-ins as processes', () => {
	afterEach(async () => {
		for (const child of children.splice(0)) {
			const exited = once(child, 'exit');
			child.kill('SIGTERM');
			// Guards against a stand-in that keeps its port after it was told to stop.
			expect(await exited).toEqual([0, null]);
		}
	});

	it('host 35 workers in one process, and answer at the admin port while they refuse connections', async () => {
		const announced = await start(['worker', '--count', '35', '--host', 'w', '--admin-port', '0'], 36);
		const workers = announced.filter(({ kind }) => kind === 'worker');
		expect(new Set(workers.map(({ address }) => address)).size).toBe(35);
		expect(workers.at(-1)?.host).toBe('w-35');
		const [first, second] = workers;
		const admin = announced.at(-1)?.address ?? '';
		const headers = { 'content-type': 'application/json' };
		await request(`${admin}/faults/w-1`, { method: 'POST', headers, body: '{"refuseConnections":true}' });
		await expect(get(`${first?.address ?? ''}/worker/status`)).rejects.toThrow();
		expect(await get(`${second?.address ?? ''}/worker/status`)).toMatchObject({ host: 'w-2', slots: 8 });
		await request(`${admin}/faults/w-1`, { method: 'POST', headers, body: '{}' });
		await until(() =>
			get(`${first?.address ?? ''}/worker/status`).then(
				() => true,
				() => false,
			),
		);
		expect(await get(`${admin}/ledger`)).toEqual({ dropped: 0, entries: [] });
	});

	it('run the log and the host list', async () => {
		const [hostList] = await start(['host-list', '--live', 'a', 'b'], 1);
		const list = (await get(`${hostList?.address ?? ''}/hosts`)) as HostList;
		expect(list.hosts).toEqual({ a: 'live', b: 'live' });
		const [log] = await start(['log', '--delay-ms', '1'], 1);
		expect(await get(`${log?.address ?? ''}/streams/s/records?from=0`)).toMatchObject({ endOffset: 0 });
	});
});
