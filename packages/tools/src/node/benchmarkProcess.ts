import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';

/** A process that the benchmark has started. */
export interface BenchmarkProcess {
	readonly pid: number;
	/** `http://127.0.0.1:port`, from the first line that the process printed. */
	readonly address: string;
	stop(): Promise<void>;
}

/** Clock ticks per second in /proc; fixed at 100 in the Linux user interface. */
const TICKS_PER_SECOND = 100;

/**
 * Starts a Node program that prints a line of JSON with its `address` first.
 * @throws when it ends before it has printed the line
 */
export async function startProcess(script: URL, programArguments: readonly string[]): Promise<BenchmarkProcess> {
	const child: ChildProcess = spawn(process.execPath, [script.pathname, ...programArguments], {
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	if (child.stdout === null || child.pid === undefined) {
		throw new Error(`could not start ${script.pathname}`);
	}
	const lines = createInterface({ input: child.stdout });
	const line = await Promise.race([
		once(lines, 'line').then(([text]) => String(text)),
		once(child, 'exit').then(() => undefined),
	]);
	if (line === undefined) {
		throw new Error(`${script.pathname} ended before it was ready`);
	}
	const { address } = JSON.parse(line) as { address: string };
	return {
		pid: child.pid,
		address,
		stop: async () => {
			if (child.exitCode === null) {
				const exited = once(child, 'exit');
				child.kill('SIGTERM');
				await exited;
			}
		},
	};
}

/** Processor time of a process so far, in milliseconds, with a resolution of 10 ms. */
export function processorMs(pid: number): number {
	const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
	// The name in parentheses may have spaces; the user and system times are fields 14 and 15 of the line.
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return ((Number(fields[11]) + Number(fields[12])) * 1_000) / TICKS_PER_SECOND;
}
