import type { DispatchPolicy } from './dispatchPolicy.js';
import type { FairQueue } from './fairQueue.js';
import type { GrantTable, HeldGrant } from './grantTable.js';

/** Chooses research jobs to checkpoint, so that urgent requests find a slot. */
export interface MakeRoom {
	/**
	 * The job to stop for one urgent request.
	 * @param hostsOfPools hosts that the urgent request may use
	 * @returns `undefined` when none qualifies
	 */
	chooseVictim(hostsOfPools: readonly string[], now: number): HeldGrant | undefined;
	/** Jobs on these hosts that have been asked to stop and still occupy their slots. */
	pendingOn(hosts: readonly string[]): number;
	ended(grantId: string): void;
	clear(): void;
}

/** Time over which displacements count as pressure on a host. */
const PRESSURE_WINDOW_MS = 10_000;

/** Creates the chooser. */
export function createMakeRoom(policy: DispatchPolicy, grants: GrantTable, fair: FairQueue): MakeRoom {
	const pending = new Set<string>();
	const displacedAt = new Map<string, number[]>();

	const workOf = (held: HeldGrant, now: number): number => now - held.grantedAt;

	const pressureOf = (host: string, now: number): number => {
		const recent = (displacedAt.get(host) ?? []).filter(at => at > now - PRESSURE_WINDOW_MS);
		displacedAt.set(host, recent);
		return grants.countOfHost(host) + recent.length;
	};

	const victimsOn = (hosts: readonly string[]): readonly HeldGrant[] =>
		hosts.flatMap(host =>
			[...grants.ofHost(host)].filter(
				held => held.kind === 'job' && held.class === 'research' && !pending.has(held.grantId),
			),
		);

	const ranks: Record<DispatchPolicy['victimChoice'], (held: HeldGrant, now: number) => number> = {
		'least-work': workOf,
		pressure: (held, now) => pressureOf(held.host, now) * 1e9 + workOf(held, now),
	};

	return {
		chooseVictim: (hostsOfPools, now) => {
			const rank = ranks[policy.victimChoice];
			const leads = new Map<string, number>();
			const ranked = victimsOn(hostsOfPools).map(held => {
				const lead = leads.get(held.team) ?? fair.lead(held.team, now);
				leads.set(held.team, lead);
				return { held, lead, rank: rank(held, now) };
			});
			ranked.sort((left, right) => right.lead - left.lead || left.rank - right.rank);
			const victim = ranked[0]?.held;
			if (victim !== undefined) {
				pending.add(victim.grantId);
				displacedAt.set(victim.host, [...(displacedAt.get(victim.host) ?? []), now]);
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
			displacedAt.clear();
		},
	};
}
