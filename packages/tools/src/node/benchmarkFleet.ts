import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { hideBin } from 'yargs/helpers';
import { barleyDesk, createDeskNote, sampleKey } from './fleet/deskNote.js';
import { leaderIndex, submitNote, waitUntilLed, waitUntilReady } from './fleet/fleetClient.js';
import { startLocalFleet, type LocalFleet } from './fleet/localFleet.js';

const WORKERS = 10;

/** Starts three daemons and measures a path through one that is not the leader, which has the longer way. */
async function run(fleet: LocalFleet): Promise<number> {
	const entryHosts = fleet.daemons.map(daemon => daemon.entryHost);
	const first = entryHosts[0]?.address ?? '';
	await submitNote(first, fleet.operatorKey, createDeskNote([barleyDesk], fleet.workers, entryHosts));
	await Promise.all(entryHosts.map(entryHost => waitUntilReady(entryHost.address)));
	await waitUntilLed(first, fleet.operatorKey);
	const leader = await leaderIndex(fleet, 'barley', 0);
	const follower = fleet.daemons.find((_, index) => index !== leader);
	const pids = fleet.daemons.map(daemon => String(daemon.running.process.pid));
	const parameters = [
		['--daemon', follower?.callerAddress ?? ''],
		['--endpoint', fleet.workers[0]?.address ?? ''],
		['--key', sampleKey('brewers')],
		['--queue', 'pricing'],
		['--daemon-pid', ...pids],
	].flat();
	const program = fileURLToPath(new URL('benchmark.js', import.meta.url));
	const child = spawn(process.execPath, [program, ...parameters, ...hideBin(process.argv)], { stdio: 'inherit' });
	const [code] = (await once(child, 'exit')) as [number | null];
	return code ?? 1;
}

const fleet = await startLocalFleet({ workers: WORKERS, daemonDataCentres: ['dc-1', 'dc-2', 'dc-3'] });
try {
	process.exitCode = await run(fleet);
} finally {
	await fleet.stop();
}
