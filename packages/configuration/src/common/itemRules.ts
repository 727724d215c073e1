import { claimedMoveProblem } from './budgetRules.js';
import type { FleetDraft, RecordItems } from './fleetDraft.js';
import type { Queue, Team } from './fleetState.js';
import type { ItemOf, NoteKind } from './noteKinds.js';

/** What the fold does with the items of one kind, apart from waves. Checks run on the draft with the whole note applied. */
export interface ItemRule<Kind extends NoteKind> {
	find(draft: FleetDraft, name: string): ItemOf<Kind> | undefined;
	put(draft: FleetDraft, item: ItemOf<Kind>): void;
	remove(draft: FleetDraft, name: string): void;
	/** Why an added or changed item cannot stand. */
	checkPut(draft: FleetDraft, item: ItemOf<Kind>): string | undefined;
	/** Why a name cannot be withdrawn. */
	checkRemoved(draft: FleetDraft, name: string): string | undefined;
}

const noProblem = (): undefined => undefined;

function recordRule<Kind extends Exclude<keyof RecordItems, 'waves'>>(
	kind: Kind,
	nameOf: (item: RecordItems[Kind]) => string,
	checks: Pick<ItemRule<never>, 'checkRemoved'> & {
		checkPut(draft: FleetDraft, item: RecordItems[Kind]): string | undefined;
	},
) {
	return {
		find: (draft: FleetDraft, name: string): RecordItems[Kind] | undefined => draft.items(kind)[name],
		put: (draft: FleetDraft, item: RecordItems[Kind]) => draft.putItem(kind, nameOf(item), item),
		remove: (draft: FleetDraft, name: string) => draft.removeItem(kind, name),
		...checks,
	};
}

/** The first problem that a check finds in a list. */
function firstProblem<Item>(items: Iterable<Item>, check: (item: Item) => string | undefined): string | undefined {
	for (const item of items) {
		const problem = check(item);
		if (problem !== undefined) {
			return problem;
		}
	}
	return undefined;
}

/** Checks that all names are known and lie in one cell. */
function oneCellProblem(
	subject: string,
	names: readonly string[],
	kindWord: string,
	cellOf: (name: string) => string | undefined,
): string | undefined {
	let firstCell: string | undefined;
	for (const name of names) {
		const cell = cellOf(name);
		if (cell === undefined) {
			return `${subject} names the unknown ${kindWord} ${name}`;
		}
		firstCell ??= cell;
		if (cell !== firstCell) {
			return `${subject} has ${kindWord}s in two cells, ${firstCell} and ${cell}`;
		}
	}
	return undefined;
}

/** The cell of a queue: that of its pools. */
const cellOfQueue = (draft: FleetDraft, name: string): string | undefined => {
	const [first] = draft.items('queues')[name]?.pools ?? [];
	return first === undefined ? undefined : draft.items('pools')[first]?.cell;
};

const teamProblem = (draft: FleetDraft, team: Team): string | undefined =>
	oneCellProblem(`team ${team.name}`, team.queues, 'queue', name => cellOfQueue(draft, name));

const queueProblem = (draft: FleetDraft, queue: Queue): string | undefined =>
	oneCellProblem(`queue ${queue.name}`, queue.pools, 'pool', name => draft.items('pools')[name]?.cell) ??
	firstProblem(Object.values(draft.items('teams')), team =>
		team.queues.includes(queue.name) ? teamProblem(draft, team) : undefined,
	);

/** The rules by kind. Waves have rules of their own. */
export const itemRules: { readonly [Kind in Exclude<NoteKind, 'waves'>]: ItemRule<Kind> } = {
	pools: recordRule('pools', pool => pool.name, {
		checkPut: (draft, pool) =>
			firstProblem(Object.values(draft.items('queues')), queue =>
				queue.pools.includes(pool.name) ? queueProblem(draft, queue) : undefined,
			),
		checkRemoved: (draft, name) => {
			const hostCount = draft.members(name).size;
			if (hostCount > 0) {
				return `pool ${name} still has hosts (${hostCount})`;
			}
			const queue = Object.values(draft.items('queues')).find(candidate => candidate.pools.includes(name));
			if (queue !== undefined) {
				return `pool ${name} is in use by queue ${queue.name}`;
			}
			const wave = Object.values(draft.items('waves')).find(
				candidate => (candidate.state === 'running' || candidate.state === 'stopped') && candidate.pools.includes(name),
			);
			return wave === undefined ? undefined : `pool ${name} is in use by wave ${wave.name}`;
		},
	}),
	hosts: {
		find: (draft, name) => draft.host(name),
		put: (draft, host) => draft.putHost(host),
		remove: (draft, name) => draft.removeHost(name),
		checkPut: (draft, host) => {
			if (draft.items('pools')[host.pool] === undefined) {
				return `host ${host.name} names the unknown pool ${host.pool}`;
			}
			// The index holds the last host put with an address; the one before the note may still have it too.
			const holders = [draft.hostAt(host.address), draft.before.hostByAddress.get(host.address)];
			const other = holders.find(
				name => name !== undefined && name !== host.name && draft.host(name)?.address === host.address,
			);
			if (other !== undefined) {
				return `host ${host.name} has the address ${host.address} of host ${other}`;
			}
			const before = draft.before.hosts.get(host.name);
			const entered = before?.pool !== host.pool || before.dataCentre !== host.dataCentre;
			return entered && draft.claim(host.name) !== undefined
				? claimedMoveProblem(draft, new Set([host.pool]))
				: undefined;
		},
		checkRemoved: noProblem,
	},
	queues: recordRule('queues', queue => queue.name, {
		checkPut: queueProblem,
		checkRemoved: (draft, name) => {
			const team = Object.values(draft.items('teams')).find(candidate => candidate.queues.includes(name));
			return team === undefined ? undefined : `queue ${name} is in use by team ${team.name}`;
		},
	}),
	teams: recordRule('teams', team => team.name, {
		checkPut: teamProblem,
		checkRemoved: (draft, name) => {
			const key = Object.values(draft.items('keys')).find(candidate => candidate.team === name);
			return key === undefined ? undefined : `team ${name} still has the key ${key.id}`;
		},
	}),
	keys: recordRule('keys', key => key.id, {
		checkPut: (draft, key) => {
			if (draft.items('teams')[key.team] === undefined) {
				return `key ${key.id} names the unknown team ${key.team}`;
			}
			const other = Object.values(draft.items('keys')).find(
				candidate => candidate.sha256 === key.sha256 && candidate.id !== key.id,
			);
			return other === undefined ? undefined : `key ${key.id} has the same hash as key ${other.id}`;
		},
		checkRemoved: noProblem,
	}),
	entryHosts: recordRule('entryHosts', entryHost => entryHost.name, {
		checkPut: (draft, entryHost) => {
			const other = Object.values(draft.items('entryHosts')).find(
				candidate => candidate.address === entryHost.address && candidate.name !== entryHost.name,
			);
			return other === undefined
				? undefined
				: `entry host ${entryHost.name} has the address ${entryHost.address} of ${other.name}`;
		},
		checkRemoved: noProblem,
	}),
};
