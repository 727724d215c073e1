import type { WorkClass } from '@chestnutwheel/dispatch/common/dispatchMessages.js';

/** One situation that the policies are compared in. */
export interface Scenario {
	readonly name: string;
	readonly durationMs: number;
	/** Offered work by class, as a fraction of all slots. */
	readonly load: Readonly<Record<WorkClass, number>>;
	/** Queues rise in turn to five times their mean and drop to a twentieth between bursts. */
	readonly bursts: boolean;
	/** Hosts of one rack go down at this time. */
	readonly rackLostAt?: number | undefined;
	/** One worker fails everything at once. */
	readonly failingWorker?: boolean | undefined;
	/** One team keeps sending jobs that fail on every worker. */
	readonly impossibleJobs?: boolean | undefined;
	/** Run times differ between teams by this factor up and down, unknown to the dispatcher. */
	readonly sizeSpread?: number | undefined;
	/** Fraction of ends that is reported up to 2 s late; a tenth of these is lost. */
	readonly lateEnds?: number | undefined;
	/** Mean run time of research jobs; 25 s when left out. */
	readonly researchRunMs?: number | undefined;
	/** One team offers this many times its part. */
	readonly greedyFactor?: number | undefined;
	/** The first queue may use its own pool only and offers this much of that pool's slots. */
	readonly isolatedLoad?: number | undefined;
}

const MINUTE = 60_000;

/** All scenarios, in the order of the table. */
export const scenarios: readonly Scenario[] = [
	{ name: 'full', durationMs: 3 * MINUTE, load: { urgent: 0.1, normal: 1, research: 0.4 }, bursts: false },
	{
		name: 'bursts-rack',
		durationMs: 3 * MINUTE,
		load: { urgent: 0.1, normal: 0.35, research: 0.3 },
		bursts: true,
		rackLostAt: 61_000,
	},
	{
		name: 'failing-worker',
		durationMs: 2 * MINUTE,
		load: { urgent: 0.1, normal: 0.75, research: 0 },
		bursts: false,
		failingWorker: true,
	},
	{
		name: 'impossible-jobs',
		durationMs: 2 * MINUTE,
		load: { urgent: 0.1, normal: 0.4, research: 0.3 },
		bursts: true,
		impossibleJobs: true,
	},
	{
		name: 'sizes-off',
		durationMs: 3 * MINUTE,
		load: { urgent: 0.1, normal: 1, research: 0.4 },
		bursts: false,
		sizeSpread: 4,
	},
	{
		name: 'long-research',
		durationMs: 3 * MINUTE,
		load: { urgent: 0.15, normal: 0.1, research: 2 },
		bursts: true,
		researchRunMs: 120_000,
	},
	{
		name: 'late-ends',
		durationMs: 2 * MINUTE,
		load: { urgent: 0.1, normal: 0.9, research: 0.3 },
		bursts: false,
		lateEnds: 0.1,
	},
	{
		name: 'greedy-team',
		durationMs: 3 * MINUTE,
		load: { urgent: 0.1, normal: 1, research: 0.2 },
		bursts: false,
		greedyFactor: 8,
	},
	{
		name: 'isolated-queue',
		durationMs: 5 * MINUTE,
		load: { urgent: 0.05, normal: 0.15, research: 0 },
		bursts: false,
		isolatedLoad: 1,
	},
];
