import { once } from 'node:events';
import { startDeskFleet } from '../fleet/deskFleet.js';
import { barleyDesk, sampleKey, speechwritingDesk } from '../fleet/deskNote.js';
import type { LocalFleet } from '../fleet/localFleet.js';
import { runSampleTraffic, type TrafficRow } from './sampleTraffic.js';

/** How the demo runs. */
export interface DemoOptions {
	/** Stop after the summary instead of staying up. */
	readonly once: boolean;
	readonly print: (line: string) => void;
}

const WORKERS_PER_DESK = 35;
const desks = [speechwritingDesk, barleyDesk];

/** Starts a fleet with both desks, sends sample traffic and prints what ran where. */
export async function runDemo({ once: stopsAtOnce, print }: DemoOptions): Promise<void> {
	print('Starting the log, the host list, 70 workers and three daemons in three data centres ...');
	const fleet = await startDeskFleet(desks, {
		workers: WORKERS_PER_DESK * desks.length,
		daemonDataCentres: ['dc-1', 'dc-2', 'dc-3'],
	});
	try {
		print('The sample note is in force on all three daemons, and every cell has a leader.');
		printTraffic(await runSampleTraffic(fleet.daemons, desks), print);
		printAddresses(fleet, print);
		if (!stopsAtOnce) {
			print('\nThe fleet stays up until it is interrupted with Ctrl-C.');
			await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
		}
	} finally {
		print('Stopping gracefully ...');
		await fleet.stop();
	}
}

function printTraffic(rows: readonly TrafficRow[], print: (line: string) => void): void {
	print('\nqueue            sent  answered  hosts  data centres      p50 ms   worst ms');
	for (const row of rows) {
		const fields = [
			row.queue.padEnd(15),
			String(row.sent).padStart(5),
			String(row.answered).padStart(9),
			String(row.hosts).padStart(6),
			` ${row.dataCentres.join(' ')}`.padEnd(18),
			row.medianMs.toFixed(1).padStart(7),
			row.worstMs.toFixed(1).padStart(10),
		];
		print(fields.join(' '));
	}
}

function printAddresses(fleet: LocalFleet, print: (line: string) => void): void {
	const first = fleet.daemons[0];
	print('\nDaemons:');
	for (const daemon of fleet.daemons) {
		const { name, dataCentre, address } = daemon.entryHost;
		print(`  ${name} (${dataCentre})  callers ${daemon.callerAddress}  control ${address}`);
	}
	print(`Log ${fleet.logAddress}, host list ${fleet.hostListAddress}, first worker ${fleet.workers[0]?.address ?? ''}`);
	print('\nTo try as a caller:');
	print(`  curl -X POST ${first?.callerAddress ?? ''}/v1/queues/pricing/requests \\`);
	print(`    -H 'authorization: Bearer ${sampleKey('brewers')}' -H 'x-deadline-ms: 2000' -d '{"workMs": 50}'`);
	print('\nTo try as an operator:');
	print(`  export CHESTNUTWHEEL_DAEMON=${first?.entryHost.address ?? ''}`);
	print(`  export CHESTNUTWHEEL_OPERATOR_KEY=${fleet.operatorKey}`);
	for (const command of ['status', 'pools', 'hosts', 'teams', 'note history', 'burn']) {
		print(`  npx chestnutwheel ${command}`);
	}
}
