import { performance } from 'node:perf_hooks';
import type { ReleaseNote } from '@chestnutwheel/configuration/common/controlRecord.js';
import type { FleetState, Host } from '@chestnutwheel/configuration/common/fleetState.js';
import { startDeskFleet } from './fleet/deskFleet.js';
import { barleyDesk, createDeskNote } from './fleet/deskNote.js';
import { exchange, leaderIndex, readView, submitNote, waitUntil } from './fleet/fleetClient.js';
import { startLocalFleet, type LocalFleet } from './fleet/localFleet.js';
import { readUsage, type ProcessUsage } from './fleet/processUsage.js';

/** Numbers of entry hosts for the idle cost; the slope over them gives the cost of one more voter. */
const ENTRY_HOSTS = [3, 5, 7, 9];
const WORKERS = 35;
const SETTLE_MS = 5_000;
const WINDOW_MS = 15_000;
/** Sizes of the folded state for the memory of one real daemon. */
const FOLDED_WORKERS = [0, 5_000, 10_000, 20_000];
const HOSTS_PER_NOTE = 2_500;
const CHANGES = 40;

const sleep = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));
const dataCentres = (count: number): string[] => Array.from({ length: count }, (_, index) => `dc-${(index % 3) + 1}`);
const print = (line: string): void => void process.stdout.write(`${line}\n`);

function startWithDesk(entryHosts: number): Promise<LocalFleet> {
	return startDeskFleet([barleyDesk], { workers: WORKERS, daemonDataCentres: dataCentres(entryHosts) });
}

function usageRow(
	role: string,
	entryHosts: number,
	before: ProcessUsage,
	after: ProcessUsage,
	seconds: number,
): string {
	const rates = [...after.bytesByUse].map(
		([use, bytes]) => [use, (bytes - (before.bytesByUse.get(use) ?? 0)) / seconds] as const,
	);
	const total = rates.reduce((sum, [, rate]) => sum + rate, 0);
	const parts = rates.filter(([, rate]) => rate >= 1).map(([use, rate]) => `${use} ${rate.toFixed(0)}`);
	const processor = (after.processorMs - before.processorMs) / seconds / 10;
	const fields = [
		entryHosts,
		role,
		processor.toFixed(1),
		after.residentMegabytes.toFixed(0),
		(total / 1_000).toFixed(1),
	];
	return `| ${fields.join(' | ')} | ${parts.join(', ')} |`;
}

async function measureIdle(): Promise<void> {
	print('\n| Entry hosts | Role | Processor (% of a core) | Resident (MB) | KB/s | Bytes a second by use |');
	print('|---|---|---|---|---|---|');
	for (const entryHosts of ENTRY_HOSTS) {
		const fleet = await startWithDesk(entryHosts);
		await sleep(SETTLE_MS);
		const before = await Promise.all(fleet.daemons.map(readUsage));
		const startedAt = performance.now();
		await sleep(WINDOW_MS);
		const after = await Promise.all(fleet.daemons.map(readUsage));
		const seconds = (performance.now() - startedAt) / 1_000;
		const leader = await leaderIndex(fleet, 'barley', 0);
		const follower = leader === 0 ? 1 : 0;
		for (const [role, index] of [['leader', leader] as const, ['follower', follower] as const]) {
			const [first, last] = [before[index], after[index]];
			if (first !== undefined && last !== undefined) {
				print(usageRow(role, entryHosts, first, last, seconds));
			}
		}
		await fleet.stop();
	}
}

function hostsNote(index: number, writtenAgainst: number): ReleaseNote {
	const hosts = Array.from({ length: HOSTS_PER_NOTE }, (_, position): Host => {
		const number = index * HOSTS_PER_NOTE + position;
		const address = `http://127.${Math.floor(number / 65_536) + 1}.${Math.floor(number / 256) % 256}.${number % 256}:7000`;
		const rack = `rack-${Math.floor(number / 4)}`;
		return { name: `w-${number}`, pool: 'pricing', address, dataCentre: 'dc-1', rack, slots: 8, connections: 64 };
	});
	return { id: `hosts-${index}`, author: 'measure', writtenAgainst, added: { hosts } };
}

/** A daemon whose peers do not exist never leads, so that it folds the hosts and does not ask them. */
async function measureFold(workers: number): Promise<void> {
	const fleet = await startLocalFleet({ workers: 1, daemonDataCentres: ['dc-1'] });
	const daemon = fleet.daemons[0];
	if (daemon === undefined) {
		throw new Error('no daemon has started');
	}
	const { address } = daemon.entryHost;
	const absent = [1, 2].map(number => ({
		name: `absent-${number}`,
		dataCentre: 'dc-2',
		address: `http://127.0.0.1:${number}`,
	}));
	const desk = createDeskNote([barleyDesk], [], [daemon.entryHost, ...absent]);
	await submitNote(address, fleet.operatorKey, desk);
	for (let index = 0; index * HOSTS_PER_NOTE < workers; index++) {
		const { noteOffset } = (await readView(address, fleet.operatorKey, 'state')) as { noteOffset: number };
		const answer = await submitNote(address, fleet.operatorKey, hostsNote(index, noteOffset));
		if (answer.status !== 200) {
			throw new Error(answer.body);
		}
	}
	await daemon.running.end('SIGKILL');
	const startedAt = performance.now();
	const restarted = await fleet.restartDaemon(0);
	await waitUntil('the fold', async () => {
		const health = await exchange('GET', `${restarted.entryHost.address}/health`, undefined, {});
		return (JSON.parse(health.body) as { reason?: string }).reason !== 'not-ready';
	});
	const readyMs = performance.now() - startedAt;
	await sleep(SETTLE_MS);
	const usage = await readUsage(restarted);
	print(
		`| ${workers} | ${usage.residentMegabytes.toFixed(0)} | ${usage.processorMs.toFixed(0)} | ${readyMs.toFixed(0)} |`,
	);
	await fleet.stop();
}

/** Time from the submission of a small note until every entry host answers that it has applied it. */
async function measureInForce(): Promise<void> {
	const fleet = await startWithDesk(9);
	const address = fleet.daemons[0]?.entryHost.address ?? '';
	const times: number[] = [];
	for (let change = 0; change < CHANGES; change++) {
		const { noteOffset, teams } = (await readView(address, fleet.operatorKey, 'state')) as FleetState;
		const brewers = teams.brewers;
		if (brewers === undefined) {
			throw new Error('the sample note has lost a team');
		}
		const note: ReleaseNote = {
			id: `change-${change}`,
			author: 'measure',
			writtenAgainst: noteOffset,
			changed: { teams: [{ ...brewers, limit: 40 + (change % 2) }] },
		};
		const startedAt = performance.now();
		await submitNote(address, fleet.operatorKey, note);
		await waitUntil('the change', async () => {
			const answer = (await readView(address, fleet.operatorKey, 'in-force')) as { entryHosts: { offset: number }[] };
			return answer.entryHosts.every(entryHost => entryHost.offset > noteOffset);
		});
		times.push(performance.now() - startedAt);
	}
	times.sort((left, right) => left - right);
	print(
		`\nIn force on 9 of 9 daemons, ${CHANGES} changes: median ${times[CHANGES / 2]?.toFixed(0) ?? ''} ms, worst ${times.at(-1)?.toFixed(0) ?? ''} ms.`,
	);
	await fleet.stop();
}

await measureIdle();
print('\n| Workers folded | Resident (MB) | Processor since start (ms) | Start to caught up (ms) |');
print('|---|---|---|---|');
for (const workers of FOLDED_WORKERS) {
	await measureFold(workers);
}
await measureInForce();
