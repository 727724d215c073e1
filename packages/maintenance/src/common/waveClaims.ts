import type { FleetState, Host } from '@chestnutwheel/configuration/common/fleetState.js';
import { orderCandidates, type ClaimCandidate } from './claimOrder.js';
import type { CellWave, CellWaves } from './cellWaves.js';
import type { HostCondition, HostViews } from './hostViews.js';
import { createPoolRoom, type PoolRoom } from './waveBudget.js';

/** A host to claim, with what the claim has to say. */
export interface PlannedClaim {
	readonly wave: string;
	readonly host: string;
	readonly unavailable: readonly string[];
}

/** What can be claimed now, and what keeps the other hosts waiting. */
export interface ClaimPlan {
	readonly claims: readonly PlannedClaim[];
	/** Number of waiting hosts by wave and by what they wait for. */
	readonly waitingFor: ReadonlyMap<string, Readonly<Record<string, number>>>;
}

/** Conditions in which a host can be drained and rebooted. */
const claimable: ReadonlySet<HostCondition> = new Set<HostCondition>(['open', 'set-aside']);

/**
 * Plans the claims of all running waves of a cell against one budget per pool.
 * @param isPending true for a host whose claim was sent and is not yet in the state
 */
export function planClaims(
	state: FleetState,
	cellWaves: CellWaves,
	views: HostViews,
	isPending: (host: string) => boolean,
	now: number,
): ClaimPlan {
	const rooms = new Map<string, PoolRoom>();
	const claims: PlannedClaim[] = [];
	const waitingFor = new Map<string, Record<string, number>>();
	const taken = new Set<string>();

	const isOnItsWay = (host: Host): boolean => cellWaves.claimedHosts.has(host.name) || isPending(host.name);
	const roomOf = (poolName: string): PoolRoom | undefined => {
		const pool = state.pools[poolName];
		const known = rooms.get(poolName);
		if (pool === undefined || known !== undefined) {
			return known;
		}
		const created = createPoolRoom(
			pool,
			cellWaves.hostsOf(poolName),
			host => isOnItsWay(host) || views.conditionOf(host.name, now) !== 'open',
		);
		rooms.set(poolName, created);
		return created;
	};
	const unavailableOf = (poolName: string): readonly string[] =>
		cellWaves
			.hostsOf(poolName)
			.filter(host => !cellWaves.claimedHosts.has(host.name) && views.conditionOf(host.name, now) !== 'open')
			.map(host => host.name);

	const planWave = ({ wave, waiting, claimed, returned }: CellWave): void => {
		const blocked: Record<string, number> = {};
		const block = (reason: string): void => {
			blocked[reason] = (blocked[reason] ?? 0) + 1;
		};
		const candidates: ClaimCandidate[] = [];
		for (const host of waiting) {
			const condition = views.conditionOf(host.name, now);
			if (cellWaves.claimedHosts.has(host.name)) {
				block('claimed-by-other-wave');
			} else if (isPending(host.name) || taken.has(host.name)) {
				block('claim-pending');
			} else if (claimable.has(condition)) {
				const running = views.answerOf(host.name, now)?.running ?? 0;
				candidates.push({ host, running, setAside: condition === 'set-aside' });
			} else {
				block(`host-${condition}`);
			}
		}
		const begunRacks = new Set<string>(claimed.map(host => host.rack));
		returned.forEach(name => begunRacks.add(state.hosts[name]?.rack ?? ''));
		for (const { host } of orderCandidates(candidates, begunRacks)) {
			const room = roomOf(host.pool);
			if (room?.hasRoomFor(host) === true) {
				room.take(host);
				taken.add(host.name);
				const unavailable = unavailableOf(host.pool).filter(name => name !== host.name);
				claims.push({ wave: wave.name, host: host.name, unavailable });
			} else {
				block('budget-used');
			}
		}
		waitingFor.set(wave.name, blocked);
	};

	cellWaves.waves.filter(({ wave }) => wave.state === 'running').forEach(planWave);
	return { claims, waitingFor };
}
