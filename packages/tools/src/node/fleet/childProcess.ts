import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';

/** A program of this workspace that runs as a process of its own. */
export interface RunningProcess {
	readonly process: ChildProcess;
	/** The lines of JSON that the process has printed so far. */
	readonly lines: readonly Readonly<Record<string, unknown>>[];
	/** Waits for a line that fits. @throws when the process ends first or the time is over */
	waitForLine(
		fits: (line: Readonly<Record<string, unknown>>) => boolean,
		withinMs?: number,
	): Promise<Readonly<Record<string, unknown>>>;
	/** Sends a signal and waits for the end. @returns the exit code; `undefined` after a kill */
	end(signal?: NodeJS.Signals): Promise<number | undefined>;
}

const START_WITHIN_MS = 20_000;
const CHECK_EVERY_MS = 10;
/** Log lines kept per process. */
const MAXIMUM_LINES = 5_000;

/** Starts a program with Node.js and collects the JSON lines that it prints. */
export function startProcess(program: string, parameters: readonly string[]): RunningProcess {
	const child = spawn(process.execPath, [program, ...parameters], { stdio: ['ignore', 'pipe', 'inherit'] });
	const lines: Readonly<Record<string, unknown>>[] = [];
	createInterface({ input: child.stdout }).on('line', line => {
		if (line.startsWith('{') && lines.length < MAXIMUM_LINES) {
			lines.push(JSON.parse(line) as Readonly<Record<string, unknown>>);
		}
	});
	const hasEnded = (): boolean => child.exitCode !== null || child.signalCode !== null;

	return {
		process: child,
		lines,
		waitForLine: async (fits, withinMs = START_WITHIN_MS) => {
			for (let waited = 0; waited < withinMs; waited += CHECK_EVERY_MS) {
				const found = lines.find(fits);
				if (found !== undefined) {
					return found;
				}
				if (hasEnded()) {
					throw new Error(`${program} ended with code ${child.exitCode ?? 'none'} before it was ready`);
				}
				await new Promise(resolve => setTimeout(resolve, CHECK_EVERY_MS));
			}
			throw new Error(`${program} was not ready within ${withinMs} ms`);
		},
		end: async (signal = 'SIGTERM') => {
			if (!hasEnded()) {
				const ended = once(child, 'exit');
				child.kill(signal);
				await ended;
			}
			return child.exitCode ?? undefined;
		},
	};
}
