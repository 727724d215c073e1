import type { FairQueue } from './fairQueue.js';
import type { GrantTable, HeldGrant } from './grantTable.js';

/** Chooses research jobs to checkpoint, so that urgent requests find a slot. */
export interface MakeRoom {
	/**
	 * The job to stop for one urgent request: of the team with the greatest lead, the one that started last. A job goes
	 * on from its last checkpoint, so that one has the least work to lose.
	 * @param hostsOfPools hosts that the urgent request may use
	 * @returns `undefined` when none qualifies
	 */
	chooseVictim(hostsOfPools: readonly string[], now: number): HeldGrant | undefined;
	/** Jobs on these hosts that have been asked to stop and still occupy their slots. */
	pendingOn(hosts: readonly string[]): number;
	ended(grantId: string): void;
	clear(): void;
}

/** Creates the chooser. */
export function createMakeRoom(grants: GrantTable, fair: FairQueue): MakeRoom {
	const pending = new Set<string>();

	const victimsOn = (hosts: readonly string[]): readonly HeldGrant[] =>
		hosts.flatMap(host =>
			[...grants.ofHost(host)].filter(
				held => held.kind === 'job' && held.class === 'research' && !pending.has(held.grantId),
			),
		);

	return {
		chooseVictim: (hostsOfPools, now) => {
			const leads = new Map<string, number>();
			const ranked = victimsOn(hostsOfPools).map(held => {
				const lead = leads.get(held.team) ?? fair.lead(held.team, now);
				leads.set(held.team, lead);
				return { held, lead };
			});
			ranked.sort((left, right) => right.lead - left.lead || right.held.grantedAt - left.held.grantedAt);
			const victim = ranked[0]?.held;
			if (victim !== undefined) {
				pending.add(victim.grantId);
			}
			return victim;
		},
		pendingOn: hosts => {
			let count = 0;
			for (const grantId of pending) {
				const held = grants.get(grantId);
				count += held !== undefined && hosts.includes(held.host) ? 1 : 0;
			}
			return count;
		},
		ended: grantId => {
			pending.delete(grantId);
		},
		clear: () => {
			pending.clear();
		},
	};
}
