import { readFileSync } from 'node:fs';
import { exchange } from './fleetClient.js';
import type { LocalDaemon } from './localFleet.js';

/** What one daemon has used since its start. */
export interface ProcessUsage {
	readonly processorMs: number;
	readonly residentMegabytes: number;
	/** Bytes read and written, by use of the connection. */
	readonly bytesByUse: ReadonlyMap<string, number>;
}

const MILLISECONDS_PER_TICK = 10;
const KILOBYTES_PER_MEGABYTE = 1_024;

/** Processor time of a process so far, in milliseconds, with a resolution of 10 ms. */
export function readProcessorMs(pid: number): number {
	const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
	// The name in parentheses may have spaces; the user and system times are fields 14 and 15 of the line, see proc(5).
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) * MILLISECONDS_PER_TICK;
}

/** Reads the usage of a daemon from the operating system and from its metrics. */
export async function readUsage(daemon: LocalDaemon): Promise<ProcessUsage> {
	const pid = daemon.running.process.pid ?? 0;
	const resident = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
	const metrics = await exchange('GET', `${daemon.entryHost.address}/metrics`, undefined, {});
	const bytesByUse = new Map<string, number>();
	for (const match of metrics.body.matchAll(/network_bytes_total\{use="([^"]+)",direction="\w+"\} (\d+)/g)) {
		const [, use = '', bytes] = match;
		bytesByUse.set(use, (bytesByUse.get(use) ?? 0) + Number(bytes));
	}
	return {
		processorMs: readProcessorMs(pid),
		residentMegabytes: Number(resident) / KILOBYTES_PER_MEGABYTE,
		bytesByUse,
	};
}
