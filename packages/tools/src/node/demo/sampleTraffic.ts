import { performance } from 'node:perf_hooks';
import { sampleKey, type DeskShape } from '../fleet/deskNote.js';
import { sendRequest } from '../fleet/fleetClient.js';
import type { LocalDaemon } from '../fleet/localFleet.js';

/** What became of the requests to one queue. */
export interface TrafficRow {
	readonly queue: string;
	readonly sent: number;
	readonly answered: number;
	/** Number of different hosts that answered. */
	readonly hosts: number;
	/** Data centres of the daemons that took the requests. */
	readonly dataCentres: readonly string[];
	readonly medianMs: number;
	readonly worstMs: number;
}

interface SampleResult {
	readonly queue: string;
	readonly status: number;
	readonly host: string;
	readonly milliseconds: number;
}

const REQUESTS_PER_QUEUE = 60;
const WORK_MS = 20;

/** Sends requests to every queue of the desks, spread over their teams and over the daemons. */
export async function runSampleTraffic(
	daemons: readonly LocalDaemon[],
	desks: readonly DeskShape[],
): Promise<TrafficRow[]> {
	const results = await Promise.all(
		desks.flatMap(desk =>
			desk.services.flatMap(queue =>
				Array.from({ length: REQUESTS_PER_QUEUE }, (_, index) => sendOne(daemons, desk, queue, index)),
			),
		),
	);
	const queues = desks.flatMap(desk => desk.services);
	const dataCentres = [...new Set(daemons.map(daemon => daemon.entryHost.dataCentre))];
	return queues.map(queue =>
		summarize(
			queue,
			dataCentres,
			results.filter(result => result.queue === queue),
		),
	);
}

async function sendOne(
	daemons: readonly LocalDaemon[],
	desk: DeskShape,
	queue: string,
	index: number,
): Promise<SampleResult> {
	const organisation = desk.organisations[index % desk.organisations.length]?.name ?? '';
	const address = daemons[index % daemons.length]?.callerAddress ?? '';
	const startedAt = performance.now();
	const answer = await sendRequest(address, {
		queue,
		key: sampleKey(organisation),
		body: JSON.stringify({ workMs: WORK_MS, text: `sample ${index}` }),
	});
	const milliseconds = performance.now() - startedAt;
	const { host } = JSON.parse(answer.body) as { host?: string };
	return { queue, status: answer.status, host: host ?? '', milliseconds };
}

function summarize(queue: string, dataCentres: readonly string[], results: readonly SampleResult[]): TrafficRow {
	const answered = results.filter(result => result.status === 200);
	const times = results.map(result => result.milliseconds).sort((left, right) => left - right);
	return {
		queue,
		sent: results.length,
		answered: answered.length,
		hosts: new Set(answered.map(result => result.host)).size,
		dataCentres,
		medianMs: times[Math.floor(times.length / 2)] ?? 0,
		worstMs: times.at(-1) ?? 0,
	};
}
