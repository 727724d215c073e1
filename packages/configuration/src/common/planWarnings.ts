import type { ReleaseNote } from './controlRecord.js';
import { claimingWave, hostNamesOfPool } from './fleetParts.js';
import type { FleetState } from './fleetState.js';

/** Slots of the team's pools; a limit above them can never be used up. */
function slotsOfTeam(state: FleetState, queues: readonly string[]): number {
	const pools = new Set(queues.flatMap(queue => state.queues[queue]?.pools ?? []));
	let slots = 0;
	for (const pool of pools) {
		for (const name of hostNamesOfPool(state, pool)) {
			slots += state.hosts[name]?.slots ?? 0;
		}
	}
	return slots;
}

const claimedIn = (state: FleetState, pool: string): number =>
	[...hostNamesOfPool(state, pool)].filter(host => claimingWave(state, host) !== undefined).length;

/** What an author should know about a note that the fold would still accept. */
export function planWarnings(
	state: FleetState,
	note: ReleaseNote,
	runningByTeam: Readonly<Record<string, number>>,
): readonly string[] {
	const warnings: string[] = [];

	for (const team of note.changed?.teams ?? []) {
		const running = runningByTeam[team.name] ?? 0;
		if (team.limit < running) {
			warnings.push(
				`team ${team.name} runs ${running} tasks, above its new limit of ${team.limit}; nothing is killed, and nothing new starts until enough have ended`,
			);
		}
	}
	for (const team of [...(note.added?.teams ?? []), ...(note.changed?.teams ?? [])]) {
		const slots = slotsOfTeam(state, team.queues);
		if (slots > 0 && team.limit > slots) {
			warnings.push(`the limit of team ${team.name} is ${team.limit}, but its pools have ${slots} slots`);
		}
	}

	for (const pool of note.changed?.pools ?? []) {
		const claimed = claimedIn(state, pool.name);
		if (claimed > pool.budget.maximumUnavailable) {
			warnings.push(
				`pool ${pool.name} has ${claimed} claimed hosts, above its new budget of ${pool.budget.maximumUnavailable}; no host is claimed until enough have returned`,
			);
		}
	}

	const budgets = { ...state.pools };
	for (const pool of [...(note.added?.pools ?? []), ...(note.changed?.pools ?? [])]) {
		budgets[pool.name] = pool;
	}
	for (const wave of note.added?.waves ?? []) {
		const named = [...(wave.pools ?? []), ...(wave.hosts ?? []).map(host => state.hosts[host]?.pool ?? '')];
		for (const name of new Set(named)) {
			if (budgets[name]?.budget.maximumUnavailable === 0) {
				warnings.push(`wave ${wave.name} cannot claim a host of pool ${name}, whose budget is 0`);
			}
		}
	}
	for (const wave of Object.values(state.waves)) {
		const withdrawnClaims = (note.withdrawn?.hosts ?? []).filter(host => wave.hosts[host] === 'claimed');
		if (withdrawnClaims.length > 0) {
			warnings.push(`wave ${wave.name} has claimed ${withdrawnClaims.join(', ')}, which the note withdraws`);
		}
	}

	const leaving = new Map<string, number>();
	for (const name of note.withdrawn?.hosts ?? []) {
		const pool = state.hosts[name]?.pool;
		if (pool !== undefined) {
			leaving.set(pool, (leaving.get(pool) ?? 0) + 1);
		}
	}
	for (const [pool, count] of leaving) {
		const budget = budgets[pool]?.budget.maximumUnavailable ?? 0;
		if (count > budget) {
			warnings.push(`the note withdraws ${count} hosts of pool ${pool} at once, more than its budget of ${budget}`);
		}
	}
	return warnings;
}
