import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { ReleaseNote } from '@chestnutwheel/configuration/common/controlRecord.js';
import { startDeskFleet } from '../node/fleet/deskFleet.js';
import { barleyDesk, sampleKey } from '../node/fleet/deskNote.js';
import { exchange, leaderIndex, readView, submitNote, waitUntil } from '../node/fleet/fleetClient.js';
import { readLedgers } from '../node/fleet/ledgerReader.js';
import { startLoad } from '../node/fleet/loadDriver.js';
import type { LocalFleet } from '../node/fleet/localFleet.js';

describe('a maintenance wave over real processes', () => {
	let fleet: LocalFleet;
	const control = (index: number): string => fleet.daemons[index]?.entryHost.address ?? '';

	beforeAll(async () => {
		fleet = await startDeskFleet([barleyDesk], { workers: 15, daemonDataCentres: ['dc-1', 'dc-2', 'dc-3'] });
	});

	afterAll(async () => {
		await fleet.stop();
	});

	const boots = async (): Promise<ReadonlyMap<string, string>> => {
		const statuses = await Promise.all(
			fleet.workers.map(worker => exchange('GET', `${worker.address}/worker/status`, undefined, {})),
		);
		return new Map(
			statuses
				.filter(status => status.status === 200)
				.map(status => JSON.parse(status.body) as { host: string; boot: string })
				.map(({ host, boot }) => [host, boot]),
		);
	};

	it('reboots every host of a pool under load without cutting a request, across a change of the leader', async () => {
		const load = startLoad({
			name: 'wave',
			addresses: () => fleet.daemons.map(daemon => daemon.callerAddress),
			queue: 'pricing',
			key: sampleKey('brewers'),
			concurrency: 12,
			workMs: 30,
			deadlineMs: 20_000,
		});
		const before = await boots();
		const wave: ReleaseNote = {
			id: 'wave-note',
			author: 'test',
			writtenAgainst: 0,
			added: { waves: [{ name: 'kernel-update', pools: ['pricing'] }] },
		};
		const answer = await submitNote(control(0), fleet.operatorKey, wave);
		expect(answer.status, answer.body).toBe(200);
		const waveOf = async (index: number): Promise<FleetState['waves'][string] | undefined> =>
			((await readView(control(index), fleet.operatorKey, 'state')) as FleetState).waves['kernel-update'];
		await waitUntil('a claim', async () => Object.values((await waveOf(0))?.hosts ?? {}).includes('claimed'));
		const leader = await leaderIndex(fleet, 'barley', 0);
		load.exclude(leader);
		fleet.daemons[leader]?.running.process.kill('SIGKILL');
		const survivor = leader === 0 ? 1 : 0;
		await waitUntil('the wave', async () => (await waveOf(survivor))?.state === 'finished', 60_000);
		const sent = await load.stop();
		expect(sent.filter(request => request.daemon !== leader && request.answer?.status !== 200)).toEqual([]);
		const hosts = Object.keys((await waveOf(survivor))?.hosts ?? {});
		expect(hosts).toHaveLength(3);
		const after = await boots();
		for (const host of hosts) {
			expect(after.get(host), host).not.toBe(before.get(host));
		}
		const untouched = fleet.workers.filter(worker => !hosts.includes(worker.host));
		for (const { host } of untouched) {
			expect(after.get(host), host).toBe(before.get(host));
		}
		const ledgers = await readLedgers(fleet.workers);
		expect(ledgers.ends.filter(line => line.end === 'dropped')).toEqual([]);
	});
});
