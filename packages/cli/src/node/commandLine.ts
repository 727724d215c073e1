import { errorResponses } from '@chestnutwheel/base/common/errorKinds.js';
import { errorResponseOf, kindError, errorKindOf, errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import yargs, { type Argv } from 'yargs';
import type { OperatorClient } from '../common/operatorClient.js';
import type { Command, CommandArguments, CommandContext, CommandResult } from './command.js';
import { commandGroups, commandTable } from './commandTable.js';
import { createOperatorClient } from './operatorClient.js';

/** What the process gives to the command line. */
export interface CommandLineSurroundings {
	readonly environment: Readonly<Record<string, string | undefined>>;
	/** Writes to standard output. */
	write(text: string): void;
	/** Writes to standard error. */
	writeError(text: string): void;
	/** Whether standard output is a terminal. */
	readonly isTerminal: boolean;
	/** Marks up the head of a table on a terminal. */
	readonly highlight: (text: string) => string;
	readonly randomBytes: (count: number) => Uint8Array;
	readonly pause: (milliseconds: number) => Promise<void>;
	readonly now: () => number;
}

/** The command that the arguments name, to be run after parsing. */
interface Chosen {
	readonly command: Command;
	readonly given: CommandArguments;
}

/** Runs one command line. @returns the exit code of the process */
export async function runCommandLine(
	commandLine: readonly string[],
	surroundings: CommandLineSurroundings,
): Promise<number> {
	let chosen: Chosen | undefined;
	let printed = '';
	// Read before parsing, so that wrong usage is also answered as JSON.
	const isJson = commandLine.includes('--output=json') || commandLine[commandLine.indexOf('--output') + 1] === 'json';
	try {
		const parser = createParser(surroundings.environment, (command, given) => {
			chosen = { command, given };
		});
		await parser.parseAsync([...commandLine], {}, (_error, _given, output) => {
			printed = output;
		});
		if (chosen === undefined) {
			surroundings.write(printed === '' ? '' : `${printed}\n`);
			return 0;
		}
		const result = await runCommand(chosen, surroundings, isJson);
		surroundings.write(isJson ? `${JSON.stringify(result.data, undefined, 2)}\n` : `${result.text}\n`);
		return result.exitCode ?? 0;
	} catch (error) {
		const kind = errorKindOf(error);
		const { exitCode, outcome } = errorResponseOf(error);
		const message = errorMessageOf(error);
		if (isJson) {
			surroundings.write(`${JSON.stringify({ error: { kind, message, outcome } }, undefined, 2)}\n`);
		}
		surroundings.writeError(`chestnutwheel: ${kind}: ${message}\n`);
		return exitCode;
	}
}

async function runCommand(
	{ command, given }: Chosen,
	surroundings: CommandLineSurroundings,
	isJson: boolean,
): Promise<CommandResult> {
	let client: OperatorClient | undefined;
	const { environment } = surroundings;
	const context: CommandContext = {
		client: () => (client ??= clientOf(given)),
		progress: line => {
			if (!isJson) {
				surroundings.writeError(`${line}\n`);
			}
		},
		headStyle: surroundings.isTerminal && environment.NO_COLOR === undefined ? surroundings.highlight : text => text,
		randomBytes: surroundings.randomBytes,
		pause: surroundings.pause,
		now: surroundings.now,
		author: environment.USER,
	};
	try {
		return await command.run(context, given);
	} finally {
		await client?.close();
	}
}

function clientOf(given: CommandArguments): OperatorClient {
	const { daemon, 'operator-key': operatorKey } = given;
	if (typeof daemon !== 'string' || !/^https?:\/\/[^/]+\/?$/.test(daemon)) {
		throw kindError('usage', 'name a daemon by --daemon or CHESTNUTWHEEL_DAEMON, as http://IP:port');
	}
	if (typeof operatorKey !== 'string' || operatorKey === '') {
		throw kindError('usage', 'give the operator key by CHESTNUTWHEEL_OPERATOR_KEY or --operator-key');
	}
	return createOperatorClient({ daemon, operatorKey });
}

type Choose = (command: Command, given: CommandArguments) => void;

function createParser(environment: CommandLineSurroundings['environment'], choose: Choose): Argv {
	const parser = yargs()
		.scriptName('chestnutwheel')
		.usage('$0 <command>\n\nManages the capacity and the maintenance of a fleet of hosts.')
		.option('daemon', {
			type: 'string',
			describe: 'Control address of any daemon; CHESTNUTWHEEL_DAEMON when left out',
			default: environment.CHESTNUTWHEEL_DAEMON,
			defaultDescription: '$CHESTNUTWHEEL_DAEMON',
			global: true,
		})
		.option('operator-key', {
			type: 'string',
			describe: 'Key of the operator; prefer CHESTNUTWHEEL_OPERATOR_KEY, which other users cannot list',
			default: environment.CHESTNUTWHEEL_OPERATOR_KEY,
			defaultDescription: '$CHESTNUTWHEEL_OPERATOR_KEY',
			global: true,
		})
		.option('output', { choices: ['text', 'json'], default: 'text', describe: 'Form of the output', global: true })
		.completion('completion', 'Print the script for shell completion')
		.epilogue(exitCodeText())
		.version('0.1.0')
		.help()
		.strict()
		.demandCommand(1, 'name a command')
		.exitProcess(false)
		.fail((message: string, error: Error | undefined) => {
			throw kindError('usage', `${message || errorMessageOf(error)}; see chestnutwheel --help`);
		});
	for (const [words, command] of Object.entries(commandTable).filter(([name]) => !name.includes(' '))) {
		addCommand(parser, words, words, command, choose);
	}
	for (const [group, description] of Object.entries(commandGroups)) {
		parser.command(`${group} <command>`, description, builder => {
			for (const [words, command] of Object.entries(commandTable)) {
				if (words.startsWith(`${group} `)) {
					addCommand(builder, words.slice(group.length + 1), words, command, choose);
				}
			}
			return builder.demandCommand(1, `name a command of ${group}`);
		});
	}
	return parser;
}

function addCommand(parser: Argv, name: string, words: string, command: Command, choose: Choose): void {
	parser.command(
		`${name} ${command.usage}`.trim(),
		command.description,
		builder => {
			for (const [positional, settings] of Object.entries(command.positionals ?? {})) {
				builder.positional(positional, settings);
			}
			for (const [line, meaning] of command.examples) {
				builder.example(`$0 ${line}`, meaning);
			}
			return builder
				.options(command.options ?? {})
				.usage(`chestnutwheel ${words} ${command.usage}\n\n${command.description}`);
		},
		given => choose(command, given),
	);
}

/** The exit codes with their kinds, from the one table. */
function exitCodeText(): string {
	const kindsByCode = new Map<number, string[]>();
	for (const kind of [
		'usage',
		'note-invalid',
		'note-refused',
		'note-conflict',
		'unknown-item',
		'daemon-unreachable',
		'append-unknown',
		'not-in-force',
		'not-ready',
		'operator-unauthorized',
	] as const) {
		const { exitCode } = errorResponses[kind];
		kindsByCode.set(exitCode, [...(kindsByCode.get(exitCode) ?? []), kind]);
	}
	const lines = [...kindsByCode]
		.sort(([left], [right]) => left - right)
		.map(([code, kinds]) => `  ${code}  ${kinds.join(', ')}`);
	return `Exit codes:\n  0  done\n${lines.join('\n')}`;
}
