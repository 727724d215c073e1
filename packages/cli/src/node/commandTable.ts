import type { Command } from './command.js';
import { burn } from './commands/burn.js';
import { explain } from './commands/explain.js';
import { hosts } from './commands/hosts.js';
import { jobs } from './commands/jobs.js';
import { keyCreate } from './commands/keyCreate.js';
import { noteDiff } from './commands/noteDiff.js';
import { noteHistory } from './commands/noteHistory.js';
import { notePlan } from './commands/notePlan.js';
import { noteRevert } from './commands/noteRevert.js';
import { noteShow } from './commands/noteShow.js';
import { noteSubmit } from './commands/noteSubmit.js';
import { noteValidate } from './commands/noteValidate.js';
import { pools } from './commands/pools.js';
import { status } from './commands/status.js';
import { teams } from './commands/teams.js';
import { waves } from './commands/waves.js';

/** Groups of commands; the first word of their command lines. */
export const commandGroups: Readonly<Record<string, string>> = {
	note: 'Release notes: the only way to change the fleet',
	key: 'Keys of teams',
};

/** The commands by the words that call them. */
export const commandTable: Readonly<Record<string, Command>> = {
	'note validate': noteValidate,
	'note plan': notePlan,
	'note submit': noteSubmit,
	'note history': noteHistory,
	'note show': noteShow,
	'note diff': noteDiff,
	'note revert': noteRevert,
	'key create': keyCreate,
	status,
	pools,
	hosts,
	teams,
	jobs,
	waves,
	explain,
	burn,
};
