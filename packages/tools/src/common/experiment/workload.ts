import { createSeededRandom } from '@chestnutwheel/base/common/seededRandom.js';
import type { WorkClass } from '@chestnutwheel/dispatch/common/dispatchMessages.js';
import type { DeskShape } from './deskShape.js';
import type { Scenario } from './scenarios.js';

/** One piece of work of a trace; a recorded trace holds one as JSON on each line. */
export interface TraceItem {
	/** When the caller sends it, in milliseconds from the start. */
	readonly at: number;
	readonly id: string;
	readonly team: string;
	readonly queue: string;
	readonly class: WorkClass;
	readonly kind: 'request' | 'job';
	/** Time on the worker; the dispatcher does not see it. */
	readonly runMs: number;
	/** Time that the caller waits for the end. */
	readonly withinMs: number;
	/** The work fails on every worker. */
	readonly fails: boolean;
}

const meanRunMs: Record<WorkClass, number> = { urgent: 400, normal: 1_500, research: 25_000 };
const withinMs: Record<WorkClass, number> = { urgent: 10_000, normal: 20_000, research: 600_000 };

/** Length of one burst; five queues in turn make a cycle. */
const BURST_MS = 6_000;
const BURST_FACTOR = 5;
const LULL_FACTOR = 1 / 20;
const IMPOSSIBLE_EVERY_MS = 2_000;

/** How much a queue offers at a time, as a factor of its mean. */
function burstFactor(queueIndex: number, queueCount: number, at: number): number {
	return Math.floor(at / BURST_MS) % queueCount === queueIndex ? BURST_FACTOR : LULL_FACTOR;
}

/** Fewest spare hosts that the isolated queue needs besides its own pool. */
export function fewestMoves(shape: DeskShape, scenario: Scenario): number {
	if (scenario.isolatedLoad === undefined) {
		return 0;
	}
	const hosts = Object.values(shape.state.hosts);
	const [first] = Object.keys(shape.state.pools);
	const slotsOf = (pool: string | undefined): number =>
		hosts.filter(host => pool === undefined || host.pool === pool).reduce((sum, host) => sum + host.slots, 0);
	const regular = slotsOf(undefined) * (scenario.load.urgent + scenario.load.normal + scenario.load.research);
	const offered = slotsOf(first) * scenario.isolatedLoad + regular / Object.keys(shape.state.queues).length;
	return Math.max(0, Math.ceil((offered - slotsOf(first)) / (hosts[0]?.slots ?? 1)));
}

/** Generates the work of a scenario; the same seed gives the same trace. */
export function generateTrace(shape: DeskShape, scenario: Scenario, seed: number): readonly TraceItem[] {
	const random = createSeededRandom(seed);
	const teams = Object.values(shape.state.teams);
	const queues = Object.keys(shape.state.queues);
	const slots = Object.values(shape.state.hosts).reduce((sum, host) => sum + host.slots, 0);
	const shares = teams.reduce((sum, team) => sum + team.share, 0);
	const items: TraceItem[] = [];

	const exponential = (mean: number): number => -Math.log(1 - random.next()) * mean;
	/** Log-normal with a standard deviation of 0.5 and the given mean. */
	const runTime = (mean: number): number => {
		const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
		return Math.max(1, Math.round(mean * Math.exp(0.5 * normal - 0.125)));
	};

	const arrivals = (rate: number, peak: number, factorAt: (at: number) => number, add: (at: number) => void): void => {
		for (let at = exponential(1 / (rate * peak)); at < scenario.durationMs; at += exponential(1 / (rate * peak))) {
			if (random.next() * peak < factorAt(at)) {
				add(at);
			}
		}
	};

	const addStream = (team: string, queueIndex: number, workClass: WorkClass, slotLoad: number, scale: number): void => {
		const queue = queues[queueIndex] ?? '';
		const isLong = workClass === 'research' && scenario.researchRunMs !== undefined;
		const mean = (isLong ? scenario.researchRunMs : meanRunMs[workClass]) * scale;
		const bursting = scenario.bursts && workClass !== 'research';
		const factorAt = (at: number): number => (bursting ? burstFactor(queueIndex, queues.length, at) : 1);
		if (slotLoad <= 0) {
			return;
		}
		arrivals(slotLoad / mean, bursting ? BURST_FACTOR : 1, factorAt, at => {
			items.push({
				at: Math.round(at * 1_000) / 1_000,
				id: `${team}/${queue}/${workClass}/${items.length}`,
				team,
				queue,
				class: workClass,
				kind: workClass === 'research' ? 'job' : 'request',
				runMs: runTime(mean),
				withinMs: withinMs[workClass],
				fails: false,
			});
		});
	};

	teams.forEach((team, teamIndex) => {
		const scale = scenario.sizeSpread === undefined ? 1 : scenario.sizeSpread ** ((teamIndex % 3) - 1);
		const greedy = teamIndex === 0 ? (scenario.greedyFactor ?? 1) : 1;
		queues.forEach((_, queueIndex) => {
			for (const workClass of ['urgent', 'normal', 'research'] as const) {
				const part = (slots * team.share * scenario.load[workClass] * greedy) / shares / queues.length;
				// Urgent work does not grow with greed: its priority is bounded by the share in any case.
				addStream(team.name, queueIndex, workClass, workClass === 'urgent' ? part / greedy : part, scale);
			}
		});
	});
	if (scenario.isolatedLoad !== undefined) {
		const pool = queues[0];
		const poolSlots = Object.values(shape.state.hosts).filter(host => host.pool === pool).length * 8;
		teams.forEach(team => {
			addStream(team.name, 0, 'normal', (poolSlots * (scenario.isolatedLoad ?? 0) * team.share) / shares, 1);
		});
	}
	if (scenario.impossibleJobs === true) {
		for (let at = IMPOSSIBLE_EVERY_MS; at < scenario.durationMs; at += IMPOSSIBLE_EVERY_MS) {
			const team = teams[0]?.name ?? '';
			const queue = queues[0] ?? '';
			const id = `${team}/impossible/${at}`;
			items.push({ at, id, team, queue, class: 'normal', kind: 'job', runMs: 500, withinMs: 60_000, fails: true });
		}
	}
	return items.sort((left, right) => left.at - right.at);
}
