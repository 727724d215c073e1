#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import { errorResponses } from '@chestnutwheel/base/common/errorKinds.js';
import { errorResponseOf, kindError, errorMessageOf } from '@chestnutwheel/base/common/kindError.js';
import { parseYamlSettings } from '@chestnutwheel/base/node/parseYamlSettings.js';
import { pino, type Logger } from 'pino';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { settingsSchema, type Settings } from '../common/settings.js';
import { startDaemon, type Daemon } from './daemon.js';

function loadSettings(file: string): Settings {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		throw kindError('settings-invalid', `${file}: cannot be read: ${errorMessageOf(error)}`, { cause: error });
	}
	return parseYamlSettings({ file, text, errorKind: 'settings-invalid' }, settingsSchema);
}

/** The first signal stops gracefully, the second one at once. */
function stopOnSignals(daemon: Daemon, logger: Logger): void {
	let isStopping = false;
	const stop = (): void => {
		if (isStopping) {
			process.exit(1);
		}
		isStopping = true;
		daemon.stop().then(
			() => process.exit(0),
			(error: unknown) => {
				logger.error({ reason: errorMessageOf(error) }, 'the graceful stop failed');
				process.exit(1);
			},
		);
	};
	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
}

async function main(): Promise<void> {
	const options = await yargs(hideBin(process.argv))
		.scriptName('chestnutwheeld')
		.usage('$0 --settings FILE\n\nRuns the daemon of one entry host.')
		.option('settings', { type: 'string', demandOption: true, describe: 'settings file, in YAML' })
		.option('check-settings', { type: 'boolean', default: false, describe: 'check the settings file and exit' })
		.strict()
		.parseAsync();
	const settings = loadSettings(options.settings);
	if (options.checkSettings) {
		process.stdout.write(`${options.settings}: the settings are valid\n`);
		return;
	}
	const logger = pino({ level: settings.logLevel, base: { entryHost: settings.entryHost } });
	const daemon = await startDaemon(settings, logger, () => process.exit(errorResponses.internal.exitCode));
	stopOnSignals(daemon, logger);
	logger.info({ callerAddress: daemon.callerAddress, controlAddress: daemon.controlAddress }, 'started');
}

main().catch((error: unknown) => {
	process.stderr.write(`${errorMessageOf(error)}\n`);
	process.exit(errorResponseOf(error).exitCode);
});
