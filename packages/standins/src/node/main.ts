import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { createAdminServer } from './adminServer.js';
import { createHostListStandin } from './hostListStandin.js';
import { createLogStandin } from './logStandin.js';
import { createWorkerStandin } from './workerStandin.js';

/** Prints where a stand-in listens, one JSON object a line. */
function announce(fields: Readonly<Record<string, string>>): void {
	process.stdout.write(`${JSON.stringify(fields)}\n`);
}

/** Closes everything when the process is told to stop. */
function closeOnSignal(closers: readonly (() => Promise<void>)[]): void {
	const stop = (): void => {
		void Promise.all(closers.map(close => close())).then(() => process.exit(0));
	};
	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
}

const portOption = { type: 'number', default: 0, describe: '0 lets the operating system choose' } as const;

await yargs(hideBin(process.argv))
	.command(
		'log',
		'Runs a log service',
		{
			port: portOption,
			'maximum-records': { type: 'number', default: 1_000_000, describe: 'records kept per stream' },
			'maximum-age-ms': { type: 'number', describe: 'age after which a record expires' },
			'delay-ms': { type: 'number', default: 0, describe: 'time that every call waits first' },
		},
		async ({ port, maximumRecords, maximumAgeMs, delayMs }) => {
			const log = await createLogStandin({ port, maximumRecords, maximumAgeMs, delayMs });
			announce({ kind: 'log', address: log.address });
			closeOnSignal([() => log.close()]);
		},
	)
	.command(
		'host-list',
		'Runs a host list',
		{
			port: portOption,
			'lag-ms': { type: 'number', default: 0, describe: 'time until a change becomes visible' },
			live: { type: 'string', array: true, default: [] as string[], describe: 'hosts that are live at the start' },
		},
		async ({ port, lagMs, live }) => {
			const hosts = Object.fromEntries(live.map(host => [host, 'live'] as const));
			const hostList = await createHostListStandin({ port, lagMs, hosts });
			announce({ kind: 'host-list', address: hostList.address });
			closeOnSignal([() => hostList.close()]);
		},
	)
	.command(
		'worker',
		'Runs one or more worker hosts, each on a port of its own',
		{
			port: { ...portOption, describe: 'port of the first worker; 0 lets the operating system choose all' },
			count: { type: 'number', default: 1, describe: 'number of workers' },
			host: { type: 'string', default: 'worker', describe: 'host name; with --count, its prefix' },
			'admin-port': { type: 'number', describe: 'port of a server for faults and ledgers of all workers' },
			slots: { type: 'number', default: 8 },
			connections: { type: 'number', default: 64 },
			'reboot-ms': { type: 'number', default: 500 },
			'usage-lag-ms': { type: 'number', default: 2_000 },
		},
		async ({ port, count, host, adminPort, slots, connections, rebootMs, usageLagMs }) => {
			const workers = await Promise.all(
				Array.from({ length: count }, (_, index) =>
					createWorkerStandin({
						host: count === 1 ? host : `${host}-${index + 1}`,
						port: port === 0 ? 0 : port + index,
						slots,
						connections,
						rebootMs,
						usageLagMs,
					}),
				),
			);
			for (const worker of workers) {
				announce({ kind: 'worker', host: worker.host, address: worker.address });
			}
			const closers = workers.map(worker => () => worker.close());
			if (adminPort !== undefined) {
				const admin = await createAdminServer(adminPort, workers);
				announce({ kind: 'admin', address: admin.address });
				closers.push(() => admin.close());
			}
			closeOnSignal(closers);
		},
	)
	.demandCommand(1, 'Name the stand-in to run: log, host-list or worker.')
	.strict()
	.parseAsync();
