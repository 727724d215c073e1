#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import process from 'node:process';
import { errorResponses } from '@chestnutwheel/base/common/errorKinds.js';
import { errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { replayTrace } from './replayTrace.js';

const { files } = yargs(hideBin(process.argv))
	.scriptName('replay')
	.command('$0 <files..>', 'Replays recorded traces and stops at the first difference.', command =>
		command.positional('files', { type: 'string', array: true, demandOption: true }),
	)
	.strict()
	.fail((message, error) => {
		// yargs passes no error for a wrong command line.
		const text = message === '' ? errorMessageOf(error) : message;
		process.stderr.write(`replay: ${text}\n`);
		process.exit(errorResponses.usage.exitCode);
	})
	.parseSync() as unknown as { readonly files: readonly string[] };

process.exitCode = replayFiles(files);

/** Replays files in order. @returns the exit code */
function replayFiles(names: readonly string[]): number {
	for (const name of names) {
		let text: string;
		try {
			text = readFileSync(name, 'utf8');
		} catch (error) {
			process.stderr.write(`replay: ${errorMessageOf(error)}\n`);
			return errorResponses['unknown-item'].exitCode;
		}
		const { events, outcomes, difference } = replayTrace(text);
		if (difference !== undefined) {
			process.stderr.write(`${name}:${difference.line}: ${difference.reason}\n`);
			return 1;
		}
		process.stdout.write(`${name}: ${events} events, ${outcomes} outcomes as stated\n`);
	}
	return 0;
}
