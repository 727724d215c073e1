import { minimumResources } from '@chestnutwheel/ports/common/resources.js';
import type { ListedHost } from '@chestnutwheel/ports/common/hostService.js';
import type { WorkerEntry } from '@chestnutwheel/ports/common/workerService.js';
import type { WorkerState } from './workerState.js';

/**
 * Returns an entry corrected by what is known for certain of its worker. Entries are claims: any process may write one under
 * any key. The host service names the worker on each host, whose pool and kind do not change during the life of the worker,
 * and a worker keeps its address during its life.
 * @param listed host on which the host service lists the worker; `undefined` if it lists the worker on none
 */
export function correctEntry(
	claimed: WorkerEntry,
	listed: ListedHost | undefined,
	state: Pick<WorkerState, 'entry' | 'lastListedAt' | 'hasEnded'>,
): WorkerEntry {
	const address = state.entry !== undefined && isConfirmed(state) ? state.entry.address : claimed.address;
	if (listed?.state !== 'up') {
		return { ...claimed, address };
	}
	return {
		...claimed,
		address,
		host: listed.host,
		pool: listed.pool,
		dataCentre: listed.dataCentre,
		resources: minimumResources(claimed.resources, listed.resources),
		labels: listed.labels.length === 0 ? claimed.labels : claimed.labels.filter(label => listed.labels.includes(label)),
	};
}

/** Whether the worker itself has said, to this leader, that it is this incarnation. */
export function isConfirmed({ lastListedAt, hasEnded }: Pick<WorkerState, 'lastListedAt' | 'hasEnded'>): boolean {
	return lastListedAt !== undefined && !hasEnded;
}

const reachabilityOrder: Readonly<Record<WorkerState['reachability'], number>> = {
	answering: 0,
	silent: 1,
	unknown: 2,
};

/**
 * Compares workers whose entries name the same host, the likeliest first: one that answers, then the one that the host service
 * lists there, then the youngest. The entry of a former worker stays for some seconds.
 */
export function compareOccupants(left: WorkerState, right: WorkerState, listedWorker: string | undefined): number {
	return (
		reachabilityOrder[left.reachability] - reachabilityOrder[right.reachability] ||
		Number(right.worker === listedWorker) - Number(left.worker === listedWorker) ||
		right.incarnation - left.incarnation
	);
}
