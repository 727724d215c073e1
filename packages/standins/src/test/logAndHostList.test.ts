import { createSteppedClock } from '@chestnutwheel/base/common/clock.js';
import { errorKindOf } from '@chestnutwheel/base/common/kindError.js';
import { createHttpHostListClient } from '@chestnutwheel/platform/node/httpHostListClient.js';
import { createHttpLogClient, type HttpLogClientOptions } from '@chestnutwheel/platform/node/httpLogClient.js';
import { afterEach, describe, expect, it } from 'vitest';
import { createHostListStandin, type HostListStandinOptions } from '../node/hostListStandin.js';
import { createLogStandin, type LogStandinOptions } from '../node/logStandin.js';

const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
	for (const close of closers.splice(0)) {
		await close();
	}
});

async function startLog(options: LogStandinOptions = {}, clientOptions: Partial<HttpLogClientOptions> = {}) {
	const log = await createLogStandin(options);
	const client = createHttpLogClient({ baseUrl: log.address, ...clientOptions });
	closers.push(
		() => client.close(),
		() => log.close(),
	);
	return { log, client };
}

async function startHostList(options: HostListStandinOptions) {
	const hostList = await createHostListStandin(options);
	const client = createHttpHostListClient({ baseUrl: hostList.address });
	closers.push(
		() => client.close(),
		() => hostList.close(),
	);
	return { hostList, client };
}

async function kindOfFailure(call: Promise<unknown>): Promise<string> {
	return call.then(
		() => 'no error',
		(error: unknown) => errorKindOf(error),
	);
}

describe('the log', () => {
	it('reads in order from an offset, the last record by -1, and streams apart', async () => {
		const { client } = await startLog();
		expect(await client.read('a b/c', -1)).toEqual({ firstOffset: 0, endOffset: 0, records: [] });
		expect([await client.append('a b/c', 'x'), await client.append('a b/c', 'y')]).toEqual([0, 1]);
		expect(await client.append('other', 'z')).toBe(0);
		expect(await client.read('a b/c', 1)).toEqual({
			firstOffset: 0,
			endOffset: 2,
			records: [{ offset: 1, value: 'y' }],
		});
		expect((await client.read('a b/c', -1)).records).toEqual([{ offset: 1, value: 'y' }]);
		expect((await client.read('a b/c', 0, { limit: 1 })).records).toEqual([{ offset: 0, value: 'x' }]);
	});

	it('ends a long poll with the record that is appended meanwhile', async () => {
		const { client } = await startLog();
		const poll = client.read('s', 0, { waitMs: 60_000 });
		await client.append('s', 'x');
		expect((await poll).records).toEqual([{ offset: 0, value: 'x' }]);
		expect((await client.read('s', 1, { waitMs: 60_000 })).records).toEqual([]);
	});

	it('expires by count, by age and on demand, and says so instead of skipping records', async () => {
		const clock = createSteppedClock();
		const { client, log } = await startLog({ maximumRecords: 3, maximumAgeMs: 1_000, clock });
		for (const value of ['0', '1', '2', '3']) {
			await client.append('s', value);
		}
		expect(await kindOfFailure(client.read('s', 0))).toBe('log-record-expired');
		expect((await client.read('s', 1)).records.map(record => record.value)).toEqual(['1', '2', '3']);
		log.setFaults({ expireBefore: { s: 2 } });
		expect(await kindOfFailure(client.read('s', 1))).toBe('log-record-expired');
		clock.advance(1_001);
		expect(await kindOfFailure(client.read('s', 3))).toBe('log-record-expired');
		expect(await client.read('s', 4)).toEqual({ firstOffset: 4, endOffset: 4, records: [] });
	});

	it('says "unknown" for an append whose answer is lost or late, because it took effect', async () => {
		const { client, log } = await startLog({}, { appendTimeoutMs: 200 });
		log.setFaults({ loseAppendAnswers: true });
		expect(await kindOfFailure(client.append('s', 'x'))).toBe('append-unknown');
		log.setFaults({ delayMs: 500 });
		expect(await kindOfFailure(client.append('s', 'y'))).toBe('append-unknown');
		log.setFaults({});
		const read = await client.read('s', 1, { waitMs: 1_000 });
		expect(read.records.map(record => record.value)).toEqual(['y']);
	});

	it('says "unreachable" for an append that certainly had no effect', async () => {
		const { client, log } = await startLog();
		log.setFaults({ down: true });
		expect(await kindOfFailure(client.append('s', 'x'))).toBe('platform-unreachable');
		expect(await kindOfFailure(client.append('s', 'x', AbortSignal.abort()))).toBe('platform-unreachable');
		log.setFaults({});
		expect((await client.read('s', 0)).endOffset).toBe(0);
		await log.close();
		const fresh = createHttpLogClient({ baseUrl: log.address });
		expect(await kindOfFailure(fresh.append('s', 'x'))).toBe('platform-unreachable');
		await fresh.close();
	});

	it('ends reads of a slow or absent log by their own deadline', async () => {
		const { client, log } = await startLog({}, { readTimeoutMs: 50 });
		log.setFaults({ delayMs: 60_000 });
		expect(await kindOfFailure(client.read('s', 0))).toBe('platform-unreachable');
		log.setFaults({ down: true });
		expect(await kindOfFailure(client.read('s', 0))).toBe('platform-unreachable');
	});
});

describe('the host list', () => {
	it('shows a change after its lag, and nothing when the version is known', async () => {
		const clock = createSteppedClock();
		const { client, hostList } = await startHostList({ lagMs: 100, hosts: { a: 'live', b: 'live' }, clock });
		expect(await client.read(undefined)).toEqual({ version: 1, hosts: { a: 'live', b: 'live' } });
		hostList.setHosts({ a: 'leaving', b: undefined });
		expect(await client.read(1)).toBeUndefined();
		clock.advance(100);
		expect(await client.read(1)).toEqual({ version: 2, hosts: { a: 'leaving' } });
		expect(await client.read(2)).toBeUndefined();
	});

	it('stays at a stale version and never goes back when the lag becomes shorter', async () => {
		const clock = createSteppedClock();
		const { client, hostList } = await startHostList({ lagMs: 100, hosts: { a: 'live' }, clock });
		hostList.setHosts({ a: 'leaving' });
		hostList.setFaults({ lagMs: 0 });
		hostList.setHosts({ a: 'down' });
		expect(await client.read(1)).toEqual({ version: 3, hosts: { a: 'down' } });
		clock.advance(100);
		expect(await client.read(3)).toBeUndefined();
		hostList.setFaults({ stale: true });
		hostList.setHosts({ a: 'live' });
		clock.advance(1_000);
		expect(await client.read(3)).toBeUndefined();
		hostList.setFaults({ down: true });
		expect(await kindOfFailure(client.read(3))).toBe('platform-unreachable');
		hostList.setFaults({});
		expect(await client.read(3)).toEqual({ version: 4, hosts: { a: 'live' } });
	});
});
