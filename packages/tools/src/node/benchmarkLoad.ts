import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';
import { readProcessorMs } from './fleet/processUsage.js';

/** One of the ways to the endpoint that are compared. */
export interface BenchmarkPath {
	readonly name: string;
	readonly origin: string;
	readonly path: string;
	/** Headers of one request, given its number. */
	readonly headers: (requestNumber: number) => Record<string, string>;
	/** Processes between the caller and the endpoint, whose processor time is counted. */
	readonly pids: readonly number[];
}

/** What one path has shown so far, over all rounds. */
export interface BenchmarkTotals {
	/** Times of single requests without others beside them, in microseconds. */
	readonly alone: Histogram;
	/** Times of requests under load, in microseconds. */
	readonly loaded: Histogram;
	requests: number;
	failures: number;
	loadedRequests: number;
	loadedMs: number;
	/** Processor time of the processes of the path under load. */
	processorMs: number;
	firstFailure: string | undefined;
}

/** How much is sent in one round. */
export interface RoundSize {
	readonly aloneRequests: number;
	readonly loadedRequests: number;
	readonly concurrency: number;
	readonly bodyBytes: number;
}

const LONGEST_MICROSECONDS = 60_000_000;

function createHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: LONGEST_MICROSECONDS,
		numberOfSignificantValueDigits: 3,
	});
}

/** Creates totals without any request. */
export function createTotals(): BenchmarkTotals {
	return {
		alone: createHistogram(),
		loaded: createHistogram(),
		requests: 0,
		failures: 0,
		loadedRequests: 0,
		loadedMs: 0,
		processorMs: 0,
		firstFailure: undefined,
	};
}

/** Request numbers count up over all paths and rounds, so that no task identifier is used twice. */
let nextRequestNumber = 1;

/** Sends one request, checks that its own body came back, and records its time. */
async function sendOne(
	pool: Pool,
	path: BenchmarkPath,
	bodyBytes: number,
	totals: BenchmarkTotals,
	histogram: Histogram | undefined,
): Promise<void> {
	const requestNumber = nextRequestNumber++;
	const mark = `benchmark-${requestNumber}`;
	const body = JSON.stringify({ mark }).padEnd(bodyBytes, ' ');
	const startedAt = performance.now();
	let failure: string | undefined;
	try {
		const answer = await pool.request({
			path: path.path,
			method: 'POST',
			headers: { 'content-type': 'application/json', ...path.headers(requestNumber) },
			body,
		});
		const text = await answer.body.text();
		if (answer.statusCode !== 200 || !text.includes(`${mark}\\"`)) {
			failure = `status ${answer.statusCode}: ${text.slice(0, 200)}`;
		}
	} catch (error) {
		failure = String(error);
	}
	const microseconds = Math.round((performance.now() - startedAt) * 1_000);
	totals.requests++;
	if (failure !== undefined) {
		totals.failures++;
		totals.firstFailure ??= failure;
		return;
	}
	histogram?.recordValue(Math.min(Math.max(1, microseconds), LONGEST_MICROSECONDS));
}

/** Sends requests, so many at once as `concurrency` says, until `count` are sent. */
async function sendMany(count: number, concurrency: number, send: () => Promise<void>): Promise<void> {
	let remaining = count;
	const lane = async (): Promise<void> => {
		while (remaining-- > 0) {
			await send();
		}
	};
	await Promise.all(Array.from({ length: concurrency }, lane));
}

/** Runs one round over a path: first requests one by one, then under load. */
export async function runRound(path: BenchmarkPath, size: RoundSize, totals: BenchmarkTotals): Promise<void> {
	const { aloneRequests, loadedRequests, concurrency, bodyBytes } = size;
	const pool = new Pool(path.origin, { connections: concurrency, pipelining: 1 });
	const processorTime = (): number => path.pids.reduce((sum, pid) => sum + readProcessorMs(pid), 0);
	try {
		// Opens the connections and lets the compiler optimise; its times are not recorded.
		await sendMany(concurrency * 20, concurrency, () => sendOne(pool, path, bodyBytes, totals, undefined));
		await sendMany(aloneRequests, 1, () => sendOne(pool, path, bodyBytes, totals, totals.alone));
		const processorBefore = processorTime();
		const startedAt = performance.now();
		await sendMany(loadedRequests, concurrency, () => sendOne(pool, path, bodyBytes, totals, totals.loaded));
		totals.loadedMs += performance.now() - startedAt;
		totals.processorMs += processorTime() - processorBefore;
		totals.loadedRequests += loadedRequests;
	} finally {
		await pool.destroy();
	}
}
