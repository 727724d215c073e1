import { errorKindOf } from '@chestnutwheel/base/common/kindError.js';
import { planNote, type NotePlan, type RunningByTeam } from '@chestnutwheel/configuration/common/notePlan.js';
import { loadReleaseNote } from '@chestnutwheel/configuration/node/loadReleaseNote.js';
import { errorResponses } from '@chestnutwheel/base/common/errorKinds.js';
import type { OperatorClient } from '../../common/operatorClient.js';
import { valueText } from '../../common/textTable.js';
import { textArgument, type Command } from '../command.js';

const signs = { added: '+', changed: '~', withdrawn: '-' } as const;

/** Shows what a note would do to the fleet as it is now. */
export const notePlan: Command = {
	usage: '<file>',
	description: 'Show what a release note would do now, and the verdict it would get',
	positionals: { file: { type: 'string', describe: 'YAML file of the note' } },
	examples: [['note plan add-rack.yaml', 'show moves, drains, limits and warnings']],
	run: async (context, given) => {
		const note = await loadReleaseNote(textArgument(given, 'file'));
		const client = context.client();
		const [state, runningByTeam] = await Promise.all([client.state(), readRunning(client)]);
		const plan = planNote(state, note, runningByTeam);
		const refusal = plan.verdict.refusal;
		return {
			data: plan,
			text: planText(plan),
			exitCode: refusal === undefined ? 0 : errorResponses[refusal.kind].exitCode,
		};
	},
};

/** Running tasks over all cells; without them the plan has no warning about limits below what runs. */
async function readRunning(client: OperatorClient): Promise<RunningByTeam> {
	try {
		const { cells } = await client.status();
		const running: Record<string, number> = {};
		for (const { runningByTeam } of Object.values(cells)) {
			for (const [team, count] of Object.entries(runningByTeam)) {
				running[team] = (running[team] ?? 0) + count;
			}
		}
		return running;
	} catch (error) {
		if (errorKindOf(error) === 'operator-unauthorized') {
			throw error;
		}
		return {};
	}
}

/** A plan for people. */
export function planText(plan: NotePlan): string {
	const { refusal } = plan.verdict;
	return [
		...plan.changes.flatMap(change => [
			`${signs[change.action]} ${change.word} ${change.name}`,
			...change.fields.map(field => `    ${field.path}: ${valueText(field.before)} -> ${valueText(field.after)}`),
		]),
		...plan.moves.map(move => `move: host ${move.host} from pool ${move.from} to pool ${move.to}`),
		...plan.drains.map(drain => `drain: host ${drain.host} (${drain.reason})`),
		...(plan.budgets.length === 0 ? [] : [`budgets: ${plan.budgets.join(', ')}`]),
		...plan.limits.map(limit => `limit: team ${limit.team} from ${limit.before} to ${limit.after}`),
		...(plan.teams.length === 0 ? [] : [`teams: ${plan.teams.join(', ')}`]),
		...plan.warnings.map(warning => `warning: ${warning}`),
		refusal === undefined
			? `verdict now: ${plan.verdict.accepted ? 'accepted' : 'none'}`
			: `verdict now: ${refusal.kind}: ${refusal.reason}`,
	].join('\n');
}
