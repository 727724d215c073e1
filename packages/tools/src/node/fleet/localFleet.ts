import { createHash } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { EntryHost } from '@chestnutwheel/configuration/common/fleetState.js';
import { stringify } from 'yaml';
import { startProcess, type RunningProcess } from './childProcess.js';

/** A daemon that runs as a process. */
export interface LocalDaemon {
	readonly entryHost: EntryHost;
	readonly callerAddress: string;
	readonly running: RunningProcess;
}

/** A worker stand-in. */
export interface LocalWorker {
	readonly host: string;
	readonly address: string;
}

/** Stand-ins and daemons on this machine, each daemon and each kind of stand-in in a process of its own. */
export interface LocalFleet {
	readonly logAddress: string;
	readonly hostListAddress: string;
	readonly workers: readonly LocalWorker[];
	readonly daemons: readonly LocalDaemon[];
	readonly log: RunningProcess;
	/** Key of the operators, for all daemons. */
	readonly operatorKey: string;
	/** Starts a daemon again on the addresses that it had. */
	restartDaemon(index: number): Promise<LocalDaemon>;
	/** Ends all processes; daemons stop gracefully. */
	stop(): Promise<void>;
}

/** What to start. */
export interface LocalFleetOptions {
	readonly workers: number;
	/** Data centre of each daemon. */
	readonly daemonDataCentres: readonly string[];
	readonly balancerDelayMs?: number;
}

const OPERATOR_KEY = 'operator-key-of-the-local-fleet';

/** Looks up a program of the workspace by its package and path. */
function programPath(name: string): string {
	return createRequire(import.meta.url).resolve(name);
}

const standinProgram = programPath('@chestnutwheel/standins/node/main.js');
const daemonProgram = programPath('@chestnutwheel/daemon/node/main.js');

/** Starts the stand-ins and the daemons. No release note has been accepted yet. */
export async function startLocalFleet(options: LocalFleetOptions): Promise<LocalFleet> {
	const folder = mkdtempSync(join(tmpdir(), 'chestnutwheel-fleet-'));
	const processes: RunningProcess[] = [];
	const start = (program: string, parameters: readonly string[]): RunningProcess => {
		const running = startProcess(program, parameters);
		processes.push(running);
		return running;
	};
	try {
		return await startAll(options, folder, start);
	} catch (error) {
		await Promise.all(processes.map(running => running.end('SIGKILL')));
		throw error;
	}
}

async function startAll(
	options: LocalFleetOptions,
	folder: string,
	start: (program: string, parameters: readonly string[]) => RunningProcess,
): Promise<LocalFleet> {
	const log = start(standinProgram, ['log']);
	const workerProcess = start(standinProgram, ['worker', '--count', String(options.workers)]);
	const logAddress = await addressOf(log, 'log');
	const workers = await workersOf(workerProcess, options.workers);
	const hostList = start(standinProgram, ['host-list', '--live', ...workers.map(worker => worker.host)]);
	const hostListAddress = await addressOf(hostList, 'host-list');
	const daemons: LocalDaemon[] = [];

	const startDaemon = async (index: number, addresses?: { caller: string; control: string }): Promise<LocalDaemon> => {
		const name = `entry-${index + 1}`;
		const dataCentre = options.daemonDataCentres[index] ?? 'dc-1';
		const file = join(folder, `${name}.yaml`);
		writeFileSync(
			file,
			stringify({
				entryHost: name,
				dataCentre,
				callerAddress: addresses?.caller ?? '127.0.0.1:0',
				controlAddress: addresses?.control ?? '127.0.0.1:0',
				operatorKeySha256: createHash('sha256').update(OPERATOR_KEY).digest('hex'),
				peers: daemons.filter(daemon => daemon.entryHost.name !== name).map(daemon => daemon.entryHost.address),
				platform: { log: logAddress, hostList: hostListAddress },
				balancerDelayMs: options.balancerDelayMs ?? 200,
			}),
		);
		const running = start(daemonProgram, ['--settings', file]);
		const started = await running.waitForLine(line => line.msg === 'started');
		return {
			entryHost: { name, dataCentre, address: String(started.controlAddress) },
			callerAddress: String(started.callerAddress),
			running,
		};
	};

	for (const index of options.daemonDataCentres.keys()) {
		daemons.push(await startDaemon(index));
	}

	return {
		logAddress,
		hostListAddress,
		workers,
		daemons,
		log,
		operatorKey: OPERATOR_KEY,
		restartDaemon: async index => {
			const previous = daemons[index];
			if (previous === undefined) {
				throw new Error(`there is no daemon ${index}`);
			}
			const withoutScheme = (address: string): string => address.replace('http://', '');
			const daemon = await startDaemon(index, {
				caller: withoutScheme(previous.callerAddress),
				control: withoutScheme(previous.entryHost.address),
			});
			daemons[index] = daemon;
			return daemon;
		},
		stop: async () => {
			await Promise.all(daemons.map(daemon => daemon.running.end()));
			await Promise.all([log, hostList, workerProcess].map(standin => standin.end()));
			rmSync(folder, { recursive: true, force: true });
		},
	};
}

async function addressOf(running: RunningProcess, kind: string): Promise<string> {
	const line = await running.waitForLine(candidate => candidate.kind === kind);
	return String(line.address);
}

async function workersOf(running: RunningProcess, count: number): Promise<LocalWorker[]> {
	const workers = await Promise.all(
		Array.from({ length: count }, (_, index) => {
			const host = count === 1 ? 'worker' : `worker-${index + 1}`;
			return running.waitForLine(line => line.host === host);
		}),
	);
	return workers.map(line => ({ host: String(line.host), address: String(line.address) }));
}
