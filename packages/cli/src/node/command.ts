import { kindError } from '@chestnutwheel/base/common/kindError.js';
import type { Options, PositionalOptions } from 'yargs';
import type { HeadStyle } from '../common/textTable.js';
import type { OperatorClient } from '../common/operatorClient.js';

/** What a command printed and how it ended. */
export interface CommandResult {
	/** Printed by `--output json`. */
	readonly data: unknown;
	/** Printed otherwise. */
	readonly text: string;
	/** 0 when left out. */
	readonly exitCode?: number;
}

/** What a command may use. */
export interface CommandContext {
	/** The client of the daemon from the options. @throws `usage` when the daemon or the key is not given */
	client(): OperatorClient;
	/** Tells people how a long command goes on; nothing is printed with `--output json`. */
	progress(line: string): void;
	readonly headStyle: HeadStyle;
	/** Random bytes for keys. */
	randomBytes(count: number): Uint8Array;
	/** Waits before the next question to the daemon. */
	pause(milliseconds: number): Promise<void>;
	/** Monotonic milliseconds. */
	now(): number;
	/** Name of the operator, from the environment. */
	readonly author: string | undefined;
}

/** The values of a command's options and arguments, by name. */
export type CommandArguments = Readonly<Record<string, unknown>>;

/** One command of the command line. */
export interface Command {
	/** The arguments, such as `<file>`; empty for none. */
	readonly usage: string;
	readonly description: string;
	readonly positionals?: Readonly<Record<string, PositionalOptions>>;
	readonly options?: Readonly<Record<string, Options>>;
	/** Command lines without the program, each with what it does. */
	readonly examples: readonly (readonly [string, string])[];
	run(context: CommandContext, given: CommandArguments): Promise<CommandResult>;
}

/** The text of an argument that yargs has checked to be there. */
export function textArgument(given: CommandArguments, name: string): string {
	const value = given[name];
	return typeof value === 'string' || typeof value === 'number' ? String(value) : '';
}

/** The text of an option, `undefined` when it was not given. */
export function optionalArgument(given: CommandArguments, name: string): string | undefined {
	const text = textArgument(given, name);
	return text === '' ? undefined : text;
}

/** The whole number of an option. @throws `usage` when it is not one or is negative */
export function countArgument(given: CommandArguments, name: string): number {
	const value = given[name];
	if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < 0) {
		throw kindError('usage', `--${name}: found ${String(value)}, allowed: a whole number of at least 0`);
	}
	return value;
}
