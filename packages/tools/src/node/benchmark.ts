import { request } from 'undici';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { createTotals, runRound, type BenchmarkPath, type BenchmarkTotals, type RoundSize } from './benchmarkLoad.js';
import { startAddressed, type BenchmarkProcess } from './benchmarkProcess.js';

/** The figures of one path. Times are in microseconds. */
interface PathFigures {
	readonly aloneP50: number;
	readonly aloneP99: number;
	readonly loadedP50: number;
	readonly loadedP99: number;
	readonly requestsPerSecond: number;
	/**
	 * Of the processes between the caller and the endpoint; of the endpoint itself for the direct path. Not known when
	 * the process ids were not given.
	 */
	readonly processorPerRequest: number | undefined;
	readonly requests: number;
	readonly failures: number;
}

function figuresOf(totals: BenchmarkTotals): PathFigures {
	return {
		aloneP50: totals.alone.getValueAtPercentile(50),
		aloneP99: totals.alone.getValueAtPercentile(99),
		loadedP50: totals.loaded.getValueAtPercentile(50),
		loadedP99: totals.loaded.getValueAtPercentile(99),
		requestsPerSecond: (totals.loadedRequests * 1_000) / totals.loadedMs,
		processorPerRequest: totals.processorMs === 0 ? undefined : (totals.processorMs * 1_000) / totals.loadedRequests,
		requests: totals.requests,
		failures: totals.failures,
	};
}

/** The ratios of a hop to the direct path and to the bare hop. */
function ratiosOf(
	hop: PathFigures,
	direct: PathFigures,
	bare: PathFigures,
): Readonly<Record<string, number | undefined>> {
	return {
		addedP50Microseconds: hop.aloneP50 - direct.aloneP50,
		addedP99Microseconds: hop.aloneP99 - direct.aloneP99,
		addedP50ToBare: (hop.aloneP50 - direct.aloneP50) / (bare.aloneP50 - direct.aloneP50),
		addedP99ToBare: (hop.aloneP99 - direct.aloneP99) / (bare.aloneP99 - direct.aloneP99),
		requestsPerSecondToDirect: hop.requestsPerSecond / direct.requestsPerSecond,
		requestsPerSecondToBare: hop.requestsPerSecond / bare.requestsPerSecond,
		processorToBare:
			hop.processorPerRequest === undefined || bare.processorPerRequest === undefined
				? undefined
				: hop.processorPerRequest / bare.processorPerRequest,
	};
}

const options = await yargs(hideBin(process.argv))
	.options({
		daemon: { type: 'string', describe: 'address of a daemon, as http://IP:port; without it two paths are measured' },
		'daemon-pid': {
			type: 'number',
			array: true,
			default: [] as number[],
			describe: 'process ids of all daemons of the system, for their processor time',
		},
		key: { type: 'string', default: '', describe: 'team key for the daemon' },
		queue: { type: 'string', default: 'benchmark', describe: 'queue that the daemon serves' },
		endpoint: {
			type: 'string',
			describe: 'address of the endpoint stand-in that the daemon uses; one is started when left out',
		},
		'endpoint-pid': { type: 'number', describe: 'process id of that stand-in' },
		rounds: { type: 'number', default: 5, describe: 'rounds; each goes over all paths' },
		'alone-requests': { type: 'number', default: 1_000, describe: 'requests one by one, per path and round' },
		'loaded-requests': { type: 'number', default: 5_000, describe: 'requests under load, per path and round' },
		concurrency: { type: 'number', default: 8, describe: 'requests at once under load; 8 is the slots of a worker' },
		'body-bytes': { type: 'number', default: 512, describe: 'length of the request body' },
	})
	.check(({ daemon, endpoint }) => {
		if (daemon !== undefined && endpoint === undefined) {
			throw new Error('--daemon needs --endpoint, the stand-in that the daemon is configured with');
		}
		return true;
	})
	.strict()
	.parseAsync();

const started: BenchmarkProcess[] = [];

/** Starts a process that is stopped at the end of the benchmark. */
async function start(script: string, programArguments: readonly string[]): Promise<BenchmarkProcess> {
	const child = await startAddressed(new URL(script, import.meta.url), programArguments);
	started.push(child);
	return child;
}

/** Measures all paths and returns their totals by name. */
async function measure(): Promise<ReadonlyMap<string, BenchmarkTotals>> {
	const { queue, key, daemon, concurrency } = options;
	const ownEndpoint =
		options.endpoint === undefined
			? await start('../../../standins/out/node/main.js', ['worker', '--host', 'benchmark'])
			: undefined;
	const endpoint = options.endpoint ?? ownEndpoint?.address ?? '';
	const endpointPid = options.endpointPid ?? ownEndpoint?.pid;
	const hop = await start('benchmarkHop.js', [endpoint]);

	const status = await request(`${endpoint}/worker/status`);
	const { boot } = (await status.body.json()) as { boot: string };
	// The cell of the permits is the benchmark's own, so that the terms of a daemon's leader do not matter.
	const permitHeaders = (requestNumber: number): Record<string, string> => ({
		'x-task-id': `benchmark-${process.pid}-${requestNumber}`,
		'x-cell': 'benchmark',
		'x-team': 'benchmark',
		'x-term': '1',
		'x-boot': boot,
		'x-start-by': '1000000000000',
		'x-lease-ms': '60000',
	});
	const path = `/endpoint/${encodeURIComponent(queue)}`;
	const paths: BenchmarkPath[] = [
		{
			name: 'direct',
			origin: endpoint,
			path,
			headers: permitHeaders,
			pids: endpointPid === undefined ? [] : [endpointPid],
		},
		{ name: 'bare hop', origin: hop.address, path, headers: permitHeaders, pids: [hop.pid] },
	];
	if (daemon !== undefined) {
		paths.push({
			name: 'chestnutwheel',
			origin: daemon,
			path: `/v1/queues/${encodeURIComponent(queue)}/requests`,
			headers: () => ({
				'x-deadline-ms': '10000',
				...(key === '' ? {} : { authorization: `Bearer ${key}` }),
			}),
			pids: options.daemonPid,
		});
	}

	const size: RoundSize = {
		aloneRequests: options.aloneRequests,
		loadedRequests: options.loadedRequests,
		concurrency,
		bodyBytes: options.bodyBytes,
	};
	const totals = new Map(paths.map(({ name }) => [name, createTotals()]));
	// The rounds alternate between the paths, so that a change of the machine's load meets all of them.
	for (let round = 0; round < options.rounds; round++) {
		for (const measured of paths) {
			await runRound(measured, size, totals.get(measured.name) ?? createTotals());
		}
	}
	return totals;
}

try {
	const totals = await measure();
	const figures = new Map([...totals].map(([name, total]) => [name, figuresOf(total)]));
	const direct = figures.get('direct');
	const bare = figures.get('bare hop');
	for (const [name, found] of figures) {
		console.log(JSON.stringify({ path: name, ...found }));
	}
	if (direct !== undefined && bare !== undefined) {
		// A path that fails is fast for the wrong reason, so its ratios are left out.
		const hops = [...figures].filter(([name, { failures }]) => name !== 'direct' && failures === 0);
		for (const [name, found] of hops) {
			console.log(JSON.stringify({ ratiosOf: name, ...ratiosOf(found, direct, bare) }));
		}
	}
	for (const [name, { firstFailure }] of totals) {
		if (firstFailure !== undefined) {
			console.error(`the first failure of the path ${name}: ${firstFailure}`);
			process.exitCode = 1;
		}
	}
} finally {
	await Promise.all(started.map(child => child.stop()));
}
