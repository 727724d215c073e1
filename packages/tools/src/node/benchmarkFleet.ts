import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { hideBin } from 'yargs/helpers';
import { startDeskFleet } from './fleet/deskFleet.js';
import { barleyDesk, sampleKey } from './fleet/deskNote.js';
import { leaderIndex } from './fleet/fleetClient.js';
import type { LocalFleet } from './fleet/localFleet.js';

const WORKERS = 10;

/** Measures a path through one that is not the leader, which has the longer way. */
async function run(fleet: LocalFleet): Promise<number> {
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

const fleet = await startDeskFleet([barleyDesk], {
	workers: WORKERS,
	daemonDataCentres: ['dc-1', 'dc-2', 'dc-3'],
});
try {
	process.exitCode = await run(fleet);
} finally {
	await fleet.stop();
}
