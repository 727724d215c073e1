import { hideBin } from 'yargs/helpers';
import yargs from 'yargs';
import { runDemo } from './demo/runDemo.js';

const options = await yargs(hideBin(process.argv))
	.scriptName('npm start --')
	.option('once', { type: 'boolean', default: false, describe: 'stop after the summary' })
	.strict()
	.parseAsync();

await runDemo({ once: options.once, print: line => process.stdout.write(`${line}\n`) });
