import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { errorResponses, type ErrorKind } from '@chestnutwheel/base/common/errorKinds.js';
import type { ReleaseNote } from '@chestnutwheel/configuration/common/controlRecord.js';
import { foldControlRecord } from '@chestnutwheel/configuration/common/foldControlRecord.js';
import { emptyFleetState, type FleetState } from '@chestnutwheel/configuration/common/fleetState.js';
import type { EntryHostProgress } from '@chestnutwheel/configuration/common/operatorProtocol.js';
import { runCommandLine, type CommandLineSurroundings } from '../node/commandLine.js';

export const OPERATOR_KEY = 'operator-test-key';

/** What the next submissions of a note meet. */
export type Fault = 'lose-answer' | 'foreign-page' | ErrorKind;

/** A stand-in for the operator interface of one daemon that folds notes with the real code. */
export interface FakeOperator {
	readonly address: string;
	readonly state: FleetState;
	/** Faults for the next submissions, used up from the front. The note is folded before an answer is lost. */
	readonly faults: Fault[];
	/** Answers to the next questions for progress; the last one stays. */
	readonly progress: EntryHostProgress[][];
	readonly submissions: readonly ReleaseNote[];
	/** Answers by path for everything else. */
	readonly answers: Map<string, unknown>;
	close(): Promise<void>;
}

/** Starts the stand-in on a port that the operating system chooses. */
export async function createFakeOperator(): Promise<FakeOperator> {
	let state = emptyFleetState;
	const faults: Fault[] = [];
	const progress: EntryHostProgress[][] = [];
	const submissions: ReleaseNote[] = [];
	const answers = new Map<string, unknown>();
	const notesById = new Map<string, ReleaseNote>();

	const accept = (note: ReleaseNote): void => {
		const value = JSON.stringify({ type: 'note', version: 1, note });
		({ state } = foldControlRecord(state, state.offset + 1, value));
		notesById.set(note.id, notesById.get(note.id) ?? note);
	};

	const answer = (path: string): unknown => {
		const noteId = /^\/operator\/notes\/(.+)$/.exec(path)?.[1];
		const note = noteId === undefined ? undefined : notesById.get(decodeURIComponent(noteId));
		if (note !== undefined) {
			return { note, verdict: state.verdicts.find(verdict => verdict.id === note.id) };
		}
		if (path.startsWith('/operator/in-force')) {
			return { entryHosts: progress.length > 1 ? progress.shift() : (progress[0] ?? []) };
		}
		const own = new Map<string, unknown>([
			['/operator/state', state],
			['/operator/notes', { verdicts: state.verdicts }],
		]);
		return own.get(path) ?? answers.get(path);
	};

	const server: Server = createServer((request, response) => {
		const send = (status: number, body: unknown): void => {
			response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
		};
		const fail = (kind: ErrorKind): void => {
			const { status, outcome } = errorResponses[kind];
			send(status, { error: { kind, message: `stand-in: ${kind}`, outcome } });
		};
		let text = '';
		request.on('data', (chunk: Buffer) => (text += chunk.toString()));
		request.on('end', () => {
			if (request.headers.authorization !== `Bearer ${OPERATOR_KEY}`) {
				fail('operator-unauthorized');
				return;
			}
			if (request.method === 'POST') {
				const note = JSON.parse(text) as ReleaseNote;
				submissions.push(note);
				const fault = faults.shift();
				if (fault === undefined || fault === 'lose-answer') {
					accept(note);
				}
				if (fault === 'lose-answer') {
					request.socket.destroy();
				} else if (fault === 'foreign-page') {
					response.writeHead(200).end('<html>welcome</html>');
				} else if (fault !== undefined) {
					fail(fault);
				} else {
					send(200, { verdict: state.verdicts.find(verdict => verdict.id === note.id) });
				}
				return;
			}
			const found = answer(request.url ?? '');
			if (found === undefined) {
				fail('unknown-item');
			} else {
				send(200, found);
			}
		});
	});
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
	return {
		address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		get state() {
			return state;
		},
		faults,
		progress,
		submissions,
		answers,
		close: () =>
			new Promise(resolve => {
				server.closeAllConnections();
				server.close(() => resolve());
			}),
	};
}

/** What one run of the command line printed. */
export interface Run {
	readonly exitCode: number;
	readonly out: string;
	readonly errors: string;
}

/** Runs a command line against a stand-in, with a clock that moves only by the waits of the command. */
export async function run(
	commandLine: readonly string[],
	operator: Pick<FakeOperator, 'address'>,
	changes: Partial<CommandLineSurroundings> = {},
): Promise<Run> {
	let out = '';
	let errors = '';
	let now = 0;
	const exitCode = await runCommandLine(commandLine, {
		environment: {
			CHESTNUTWHEEL_DAEMON: operator.address,
			CHESTNUTWHEEL_OPERATOR_KEY: OPERATOR_KEY,
			USER: 'nadia',
		},
		write: text => {
			out += text;
		},
		writeError: text => {
			errors += text;
		},
		isTerminal: false,
		highlight: text => `[1m${text}[22m`,
		randomBytes: count => new Uint8Array(count).fill(7),
		pause: milliseconds => {
			now += milliseconds;
			return Promise.resolve();
		},
		now: () => now,
		...changes,
	});
	return { exitCode, out, errors };
}
