import type { Host } from '@chestnutwheel/configuration/common/fleetState.js';

/** A host that a wave could claim now. */
export interface ClaimCandidate {
	readonly host: Host;
	readonly running: number;
	/** A host that is set aside is unavailable already, so claiming it costs nothing. */
	readonly setAside: boolean;
}

/**
 * Puts candidates into the order in which they are claimed: hosts that are set aside first, then one rack after the
 * other. Racks that the wave has begun come before others, then those with the fewest running tasks per host; within
 * a rack, hosts with the fewest running tasks come first.
 */
export function orderCandidates(
	candidates: readonly ClaimCandidate[],
	begunRacks: ReadonlySet<string>,
): readonly ClaimCandidate[] {
	const racks = new Map<string, { running: number; hosts: number }>();
	for (const { host, running } of candidates) {
		const rack = racks.get(host.rack) ?? { running: 0, hosts: 0 };
		racks.set(host.rack, { running: rack.running + running, hosts: rack.hosts + 1 });
	}
	const rackLoad = (rack: string): number => {
		const { running, hosts } = racks.get(rack) ?? { running: 0, hosts: 1 };
		return running / hosts;
	};
	const sortKeys = ({ host, running, setAside }: ClaimCandidate): readonly (number | string)[] => [
		setAside ? 0 : 1,
		begunRacks.has(host.rack) ? 0 : 1,
		rackLoad(host.rack),
		host.rack,
		running,
		host.name,
	];
	return candidates
		.map(candidate => ({ candidate, keys: sortKeys(candidate) }))
		.sort((left, right) => compareKeys(left.keys, right.keys))
		.map(({ candidate }) => candidate);
}

function compareKeys(left: readonly (number | string)[], right: readonly (number | string)[]): number {
	for (const [index, value] of left.entries()) {
		const other = right[index];
		if (other !== undefined && value !== other) {
			return value < other ? -1 : 1;
		}
	}
	return 0;
}
