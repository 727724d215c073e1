/**
 * A maintenance wave names one machine. Right after the platform has accepted its upkeep, all daemons lose power for some seconds,
 * within which the machine has its upkeep and returns with a new worker. The next leader orders the same upkeep again, which the
 * platform answers with 200, since it is already done. What the new worker runs goes on, and is started a second time elsewhere.
 */
import { call, delay, isReady, runCase, startDaemons, waitUntil } from '../shared-3/deployment.mjs';
import { startPlatform } from '../shared-3/hosts.mjs';

const MACHINES = 6;
const MACHINE = 'm-0';
const WAVE = { wave: 1, machines: [MACHINE], 'duration-s': 26, cap: 1 };

/** Time for which the daemons have no power; a machine is back from its upkeep after 2 s. */
const DARK_MS = 3_000;

/** Time for which the runs are watched after the jobs were submitted. */
const WATCHED_MS = 18_000;

/** Overlap of two runs that counts, longer than what the clocks of this process may differ by. */
const TOLERANCE_MS = 50;

const configuration = {
	version: 1,
	routes: [
		{
			name: 'drafts',
			host: 'desk.example',
			'path-prefix': '/drafts/',
			service: 'desk',
			priority: 0,
			attempts: 4,
			'deadline-factor': 1.6,
			'target-latency-ms': 600,
			public: true,
		},
	],
	services: [{ name: 'desk' }],
	tenants: [{ name: 'harbor', 'api-keys': ['key-harbor'], weight: 20 }],
};

/** A task on each of the other machines, so that the second job fits on the new worker only. */
const FILLING_JOB = {
	path: '/drafts/00000000000000f1',
	body: {
		spec: 'slow',
		pipeline: [{ count: MACHINES - 1, cpu: 10_000, 'mem-mb': 1_024, 'estimate-ms': 1_500, 'anti-affinity': 1 }],
	},
};
const WATCHED_JOB = {
	path: '/drafts/00000000000000f2',
	body: { spec: 'long', pipeline: [{ count: 1, cpu: 24_000, 'mem-mb': 1_024, 'estimate-ms': 8_000 }] },
};

runCase(import.meta.url, async ({ record, hasTrouble, onClose }) => {
	let fleet;
	let isDark = false;
	const losePower = () => {
		if (hasTrouble && !isDark) {
			isDark = true;
			record('all daemons lose power');
			fleet.daemons.forEach(daemon => daemon.process.kill('SIGKILL'));
		}
	};
	const platform = await startPlatform({ pool: 'desk', machines: MACHINES, record, onUpkeepAccepted: losePower });
	onClose(() => platform.close());
	platform.configure(configuration);
	fleet = await startDaemons(3, platform.addresses, record);
	onClose(() => fleet.close());
	const allReady = async () => (await Promise.all(fleet.daemons.map(isReady))).every(Boolean);
	await waitUntil('all daemons are ready', allReady, 20_000);
	await delay(3_000);

	platform.requestWave(WAVE);
	await waitUntil('the upkeep has begun', () => platform.orders.some(({ status }) => status === 200), 20_000);
	if (hasTrouble) {
		await Promise.all(fleet.daemons.map(daemon => fleet.restart(daemon, DARK_MS, 1)));
		await waitUntil('all daemons are ready again', allReady, 20_000);
	}
	await waitUntil('the machine is back', () => platform.stateOf(MACHINE) === 'up', 10_000);
	const [daemon] = fleet.daemons;
	for (const { path, body } of [FILLING_JOB, WATCHED_JOB]) {
		const { status, text } = await call(daemon, 'POST', path, { body });
		record(`POST ${path}: ${status} ${text}`);
		if (status !== 200) {
			throw new Error('the job was not accepted');
		}
	}
	await delay(WATCHED_MS);
	for (const { path } of [FILLING_JOB, WATCHED_JOB]) {
		const { status, text } = await call(daemon, 'GET', path);
		record(`GET ${path}: ${status} ${text}`);
	}
	record(`status/wave/1: ${platform.waveStatus(1)}`);

	const ledger = platform.allWorkers.flatMap(worker =>
		worker.ledger.map(entry => ({ ...entry, machine: worker.host })),
	);
	if (
		!ledger.some(({ task, run, machine }) => task.startsWith('00000000000000f2') && run === 1 && machine === MACHINE)
	) {
		throw new Error('the second job did not begin on the machine of the wave');
	}
	const origin = Math.min(...ledger.map(({ startedAt }) => startedAt));
	const seconds = time => (time === undefined ? 'now' : `${((time - origin) / 1_000).toFixed(2)} s`);
	for (const { task, run, worker, machine, startedAt, endedAt, end } of ledger) {
		record(
			`${task} run ${run} on ${worker} (${machine}): ${seconds(startedAt)} to ${seconds(endedAt)} ${end ?? 'running'}`,
		);
	}
	for (const { name, lines } of fleet.daemons) {
		for (const line of lines) {
			if (['host-ordered', 'host-settled', 'worker-ended', 'run-lost'].includes(line.decision)) {
				record(`${name} logs ${JSON.stringify({ ...line, level: undefined, entryHost: undefined })}`);
			}
		}
	}
	const violations = [];
	for (const one of ledger) {
		for (const other of ledger) {
			const overlapMs = Math.min(one.endedAt ?? Infinity, other.endedAt ?? Infinity) - other.startedAt;
			if (one.task === other.task && one.run < other.run && overlapMs > TOLERANCE_MS) {
				violations.push(
					`TWICE: ${one.task} run ${one.run} on ${one.worker} and run ${other.run} on ${other.worker} at the same time, from ${seconds(other.startedAt)} on, for ${Math.round(overlapMs)} ms`,
				);
			}
		}
	}
	return violations;
});
