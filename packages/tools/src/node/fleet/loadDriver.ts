import { sendRequest, type FleetAnswer } from './fleetClient.js';

/** One request that the driver has sent. */
export interface SentRequest {
	/** Also the `mark` under which the worker's ledger lists the task. */
	readonly mark: string;
	/** Index of the daemon that took the request. */
	readonly daemon: number;
	/** The answer; `undefined` when the connection failed before an answer came. */
	readonly answer: FleetAnswer | undefined;
}

/** Sends requests in several loops until it is stopped. */
export interface LoadDriver {
	/** Takes a daemon out of the rotation, as a balancer does when the health check fails. */
	exclude(daemon: number): void;
	include(daemon: number): void;
	/** Ends the loops. @returns everything that was sent */
	stop(): Promise<readonly SentRequest[]>;
	/** Everything sent and ended so far. */
	sent(): readonly SentRequest[];
}

/** What to send. */
export interface LoadOptions {
	/** Caller addresses of the daemons, read anew for every request. */
	readonly addresses: () => readonly string[];
	readonly queue: string;
	readonly key: string;
	/** Loops that each have one request open. */
	readonly concurrency: number;
	readonly workMs: number;
	readonly deadlineMs: number;
	/** Starts the marks of this driver. */
	readonly name: string;
}

/** Creates a driver and starts its loops. */
export function startLoad(options: LoadOptions): LoadDriver {
	const sent: SentRequest[] = [];
	const excluded = new Set<number>();
	let isStopped = false;
	let counter = 0;

	const pickDaemon = (turn: number): number => {
		const open = [...options.addresses().keys()].filter(index => !excluded.has(index));
		return open[turn % open.length] ?? 0;
	};

	const sendOne = async (): Promise<void> => {
		const turn = counter++;
		const daemon = pickDaemon(turn);
		const mark = `${options.name}-${turn}`;
		const { queue, key, deadlineMs, workMs } = options;
		const body = JSON.stringify({ workMs, mark });
		const answer = await sendRequest(options.addresses()[daemon] ?? '', { queue, key, body, deadlineMs }).catch(
			() => undefined,
		);
		sent.push({ mark, daemon, answer });
	};

	const loop = async (): Promise<void> => {
		while (!isStopped) {
			await sendOne();
		}
	};

	const loops = Promise.all(Array.from({ length: options.concurrency }, loop));

	return {
		exclude: daemon => excluded.add(daemon),
		include: daemon => excluded.delete(daemon),
		stop: async () => {
			isStopped = true;
			await loops;
			return sent;
		},
		sent: () => sent,
	};
}
