#!/usr/bin/env node
import { randomBytes } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';
import { styleText } from 'node:util';
import { createSystemClock } from '@chestnutwheel/base/node/systemClock.js';
import { runCommandLine } from './commandLine.js';

const clock = createSystemClock();

process.exitCode = await runCommandLine(process.argv.slice(2), {
	environment: process.env,
	write: text => void process.stdout.write(text),
	writeError: text => void process.stderr.write(text),
	isTerminal: process.stdout.isTTY,
	highlight: text => styleText('bold', text),
	randomBytes,
	pause: milliseconds => pause(milliseconds),
	now: () => clock.now(),
});
