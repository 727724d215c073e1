import {
	emptyFleetState,
	type FleetState,
	type Host,
	type Team,
} from '@chestnutwheel/configuration/common/fleetState.js';

/** Names of the two desks. */
export type DeskName = 'speechwriting' | 'barley';

/** How the queues of a shape use the pools. */
export interface DeskShapeOptions {
	/** The first queue may use its own pool only. */
	readonly isolateFirstQueue?: boolean | undefined;
}

/** Sizes and neighbourhood of one desk. */
export interface DeskShape {
	readonly name: DeskName;
	readonly state: FleetState;
	/** One way from a client to an entry host. */
	readonly clientMs: number;
}

/** Cell of both shapes; a desk is one cell. */
export const DESK_CELL = 'desk';

/** Way between two daemons, or a daemon and a worker. */
export const HOP_MS = 1;

interface Outline {
	readonly clientMs: number;
	readonly queues: readonly string[];
	/** Hosts by pool; the last pool is the spare one. */
	readonly hosts: readonly number[];
	/** Organisation, then the shares of its teams. */
	readonly organisations: Readonly<Record<string, readonly number[]>>;
}

const outlines: Record<DeskName, Outline> = {
	speechwriting: {
		clientMs: 3,
		queues: ['drafts', 'facts', 'speeches', 'archive', 'general'],
		hosts: [9, 8, 8, 6, 4],
		organisations: {
			alder: [5, 3, 2],
			beech: [4, 4],
			chestnut: [6, 2],
			dogwood: [5, 2, 1],
			elm: [2],
			fir: [1],
		},
	},
	barley: {
		clientMs: 1,
		queues: ['grading', 'routing', 'contracts', 'weather', 'general'],
		hosts: [10, 8, 7, 6, 4],
		organisations: { north: [12, 4, 2], south: [8, 4], coast: [3], hill: [2], lake: [2], moor: [1] },
	},
};

const HOSTS_PER_RACK = 4;
const SLOTS_PER_HOST = 8;

const byName = <Item extends { readonly name: string }>(items: readonly Item[]): Record<string, Item> =>
	Object.fromEntries(items.map(item => [item.name, item]));

/** Pools are spread over the racks, so that the loss of a rack takes a few hosts from several pools. */
function createHosts(outline: Outline): readonly Host[] {
	const pools = outline.hosts.flatMap((count, index) =>
		Array.from({ length: count }, (_, place) => ({ pool: outline.queues[index] ?? '', order: (place + 0.5) / count })),
	);
	return pools
		.sort((left, right) => left.order - right.order)
		.map(({ pool }, index) => {
			const rack = Math.floor(index / HOSTS_PER_RACK);
			const address = `http://127.0.0.1:${20_000 + index}`;
			return {
				name: `w${String(index).padStart(2, '0')}`,
				pool,
				address,
				dataCentre: `dc${rack % 3}`,
				rack: `r${rack}`,
				slots: SLOTS_PER_HOST,
				connections: 64,
			};
		});
}

/** Creates the shape of a desk. Each queue uses two pools and the spare pool, unless the options say otherwise. */
export function createDeskShape(name: DeskName, shapeOptions: DeskShapeOptions = {}): DeskShape {
	const outline = outlines[name];
	const { queues } = outline;
	const spare = queues.at(-1) ?? '';
	const hosts = createHosts(outline);
	const total = Object.values(outline.organisations)
		.flat()
		.reduce((sum, share) => sum + share, 0);
	const slots = hosts.length * SLOTS_PER_HOST;
	const teams: readonly Team[] = Object.entries(outline.organisations).flatMap(([organisation, shares]) =>
		shares.map((share, index) => ({
			name: `${organisation}-${index + 1}`,
			organisation,
			share,
			// Limits are upper bounds well above the share, so that the share decides when the fleet is full.
			limit: Math.ceil((3 * slots * share) / total) + 8,
			queues,
		})),
	);
	const regular = queues.slice(0, -1);
	return {
		name,
		clientMs: outline.clientMs,
		state: {
			...emptyFleetState,
			offset: 1,
			noteOffset: 1,
			pools: byName(
				queues.map(pool => ({
					name: pool,
					cell: DESK_CELL,
					budget: { maximumUnavailable: 2 },
					spare: pool === spare,
				})),
			),
			hosts: byName(hosts),
			queues: byName(
				queues.map(queue => {
					const next = regular[(regular.indexOf(queue) + 1) % regular.length] ?? spare;
					// The spare service has few hosts of its own, so it uses two others as well.
					const others = queue === spare ? [...regular.slice(-1), ...regular.slice(0, 1)] : [queue, next];
					const isolated = shapeOptions.isolateFirstQueue === true && queue === queues[0];
					const pools = isolated ? [queue] : [...others, spare];
					return { name: queue, pools, open: false, maximumWaiting: 400 };
				}),
			),
			teams: byName(teams),
			keys: Object.fromEntries(teams.map(team => [team.name, { id: team.name, team: team.name, sha256: '' }])),
			entryHosts: byName(
				Array.from({ length: 8 }, (_, index) => ({
					name: `e${index}`,
					address: `http://127.0.0.1:${10_000 + index}`,
					dataCentre: `dc${index % 3}`,
				})),
			),
		},
	};
}
