import { fileURLToPath } from 'node:url';
import { startProcess, type RunningProcess } from './fleet/childProcess.js';

/** A process that the benchmark has started. */
export interface BenchmarkProcess {
	readonly pid: number;
	/** `http://127.0.0.1:port`, from the first line that the process printed. */
	readonly address: string;
	stop(): Promise<void>;
}

/**
 * Starts a Node program that prints a line of JSON with its `address`.
 * @throws when it ends before it has printed the line
 */
export async function startAddressed(script: URL, programArguments: readonly string[]): Promise<BenchmarkProcess> {
	const running: RunningProcess = startProcess(fileURLToPath(script), programArguments);
	const line = await running.waitForLine(candidate => typeof candidate.address === 'string');
	return {
		pid: running.process.pid ?? 0,
		address: String(line.address),
		stop: async () => {
			await running.end();
		},
	};
}
