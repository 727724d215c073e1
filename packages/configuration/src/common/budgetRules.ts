import type { FleetDraft } from './fleetDraft.js';
import type { Host, Pool } from './fleetState.js';

/** Unavailable hosts of a pool that lie on the far side of its budget. */
export interface BudgetExcess {
	/** The data centre whose bound is passed; `undefined` for the bound of the whole pool. */
	readonly dataCentre: string | undefined;
	readonly unavailable: number;
	readonly allowed: number;
}

/** The hosts of a pool that a wave has claimed or that are listed. */
export function unavailableHosts(draft: FleetDraft, pool: string, listed: ReadonlySet<string>): readonly Host[] {
	const found: Host[] = [];
	for (const name of draft.members(pool)) {
		const host = draft.host(name);
		if (host !== undefined && (draft.claim(name) !== undefined || listed.has(name))) {
			found.push(host);
		}
	}
	return found;
}

/** The first bound of the budget that these hosts pass. */
export function budgetExcess(pool: Pool, unavailable: readonly Host[]): BudgetExcess | undefined {
	const { maximumUnavailable, maximumUnavailablePerDataCentre } = pool.budget;
	if (unavailable.length > maximumUnavailable) {
		return { dataCentre: undefined, unavailable: unavailable.length, allowed: maximumUnavailable };
	}
	if (maximumUnavailablePerDataCentre === undefined) {
		return undefined;
	}
	const byDataCentre = new Map<string, number>();
	for (const host of unavailable) {
		const count = (byDataCentre.get(host.dataCentre) ?? 0) + 1;
		byDataCentre.set(host.dataCentre, count);
		if (count > maximumUnavailablePerDataCentre) {
			return { dataCentre: host.dataCentre, unavailable: count, allowed: maximumUnavailablePerDataCentre };
		}
	}
	return undefined;
}

/** An excess as text. */
export function excessText(pool: string, excess: BudgetExcess): string {
	const place = excess.dataCentre === undefined ? '' : ` in data centre ${excess.dataCentre}`;
	return `pool ${pool}${place} would have ${excess.unavailable} unavailable hosts; its budget allows ${excess.allowed}`;
}

const noNames: ReadonlySet<string> = new Set();

/**
 * Checks the pool that a claimed host enters. A claimed host counts against the pool that it belongs to, so a move
 * may not take a claimed host into a pool whose budget is used up.
 * @param enteredPools the pools that gained a claimed host
 */
export function claimedMoveProblem(draft: FleetDraft, enteredPools: ReadonlySet<string>): string | undefined {
	for (const name of enteredPools) {
		const pool = draft.items('pools')[name];
		const excess = pool === undefined ? undefined : budgetExcess(pool, unavailableHosts(draft, name, noNames));
		if (excess !== undefined) {
			return `${excessText(name, excess)}; a host that a wave has claimed cannot enter it before it has returned`;
		}
	}
	return undefined;
}
