import { request } from 'undici';
import type { ReleaseNote } from '@chestnutwheel/configuration/common/controlRecord.js';
import type { StatusAnswer } from '@chestnutwheel/configuration/common/operatorProtocol.js';
import type { LocalFleet } from './localFleet.js';

/** What came back from a daemon. */
export interface FleetAnswer {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: string;
}

/** A short request of a caller. */
export interface SampleRequest {
	readonly queue: string;
	readonly key?: string;
	readonly body?: string;
	readonly deadlineMs?: number;
	readonly headers?: Readonly<Record<string, string>>;
}

const DEFAULT_DEADLINE_MS = 5_000;

/** Sends a short request to a daemon's caller address. */
export async function sendRequest(callerAddress: string, sample: SampleRequest): Promise<FleetAnswer> {
	return exchange('POST', `${callerAddress}/v1/queues/${sample.queue}/requests`, sample.body ?? '{}', {
		'content-type': 'application/json',
		'x-deadline-ms': String(sample.deadlineMs ?? DEFAULT_DEADLINE_MS),
		...(sample.key === undefined ? {} : { authorization: `Bearer ${sample.key}` }),
		...sample.headers,
	});
}

/** Submits a release note to a daemon's control address. */
export async function submitNote(controlAddress: string, operatorKey: string, note: ReleaseNote): Promise<FleetAnswer> {
	return exchange('POST', `${controlAddress}/operator/notes`, JSON.stringify(note), {
		'content-type': 'application/json',
		authorization: `Bearer ${operatorKey}`,
	});
}

/** Reads an operator view from a daemon's control address. */
export async function readView(controlAddress: string, operatorKey: string, path: string): Promise<unknown> {
	const answer = await exchange('GET', `${controlAddress}/operator/${path}`, undefined, {
		authorization: `Bearer ${operatorKey}`,
	});
	return JSON.parse(answer.body) as unknown;
}

/** Headers of an exchange whose connection is not used again, since a stand-in may silence the open ones. */
export const singleUse = { connection: 'close' } as const;

/** Sets the faults of a stand-in. */
export async function setFaults(address: string, faults: object): Promise<void> {
	const headers = { 'content-type': 'application/json', ...singleUse };
	await exchange('POST', `${address}/faults`, JSON.stringify(faults), headers);
}

/** One HTTP exchange; the whole body is read. @param signal ends the exchange and closes its connection */
export async function exchange(
	method: 'GET' | 'POST' | 'DELETE',
	url: string,
	body: string | undefined,
	headers: Readonly<Record<string, string>>,
	signal?: AbortSignal,
): Promise<FleetAnswer> {
	const answer = await request(url, { method, body: body ?? null, headers, signal: signal ?? null });
	return { status: answer.statusCode, headers: answer.headers, body: await answer.body.text() };
}

/** Waits until a condition holds. @throws when the time is over */
export async function waitUntil(
	what: string,
	condition: () => Promise<boolean> | boolean,
	withinMs = 15_000,
): Promise<void> {
	for (let waited = 0; waited < withinMs; waited += 50) {
		if (await condition()) {
			return;
		}
		await new Promise(resolve => setTimeout(resolve, 50));
	}
	throw new Error(`${what} did not happen within ${withinMs} ms`);
}

/** Waits until a daemon's health check passes. */
export async function waitUntilReady(controlAddress: string): Promise<void> {
	await waitUntil(`health at ${controlAddress}`, async () => {
		const answer = await exchange('GET', `${controlAddress}/health`, undefined, {});
		return answer.status === 200;
	});
}

/** Reads the status of the fleet through one daemon. */
export async function readStatus(controlAddress: string, operatorKey: string): Promise<StatusAnswer> {
	return (await readView(controlAddress, operatorKey, 'status')) as StatusAnswer;
}

/** Waits until every cell has a leader that grants work. */
export async function waitUntilLed(controlAddress: string, operatorKey: string): Promise<void> {
	await waitUntil('a leader of every cell', async () => {
		const { cells, leaders } = await readStatus(controlAddress, operatorKey);
		const names = Object.keys(leaders);
		return names.length > 0 && names.every(cell => cells[cell]?.ready === true);
	});
}

/** Index of the daemon that leads a cell; -1 when none is known. */
export async function leaderIndex(fleet: LocalFleet, cell: string, through: number): Promise<number> {
	const { leaders } = await readStatus(fleet.daemons[through]?.entryHost.address ?? '', fleet.operatorKey);
	return fleet.daemons.findIndex(daemon => daemon.entryHost.name === leaders[cell]?.entryHost);
}
