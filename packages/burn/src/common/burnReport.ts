import type { ServiceObjective } from '@chestnutwheel/configuration/common/fleetState.js';
import type { BurnPart, BurnSeriesPart } from './burnRecorder.js';
import { burnAlarms, burnWindows, type BurnAlarmName, type BurnWindowName } from './burnWindows.js';
import { mergeLatencies, type LatencyQuantiles } from './latencyHistogram.js';
import type { BurnCounts } from './minuteRing.js';

/** One window of a series. */
export interface BurnWindow extends BurnCounts {
	/** How many times faster than allowed the error budget is spent; 0 without requests. */
	readonly burn: number;
}

/** Burn of the objective of one queue by the requests of one team. */
export interface BurnSeries {
	readonly team: string | undefined;
	readonly queue: string;
	readonly objective: ServiceObjective;
	readonly windows: Readonly<Record<BurnWindowName, BurnWindow>>;
	/** Part of the error budget of the last three days that is left; below zero when it is overspent. */
	readonly budgetLeft: number;
	readonly burning: readonly BurnAlarmName[];
	/** What spent the budget over the last three days, the most frequent cause first. */
	readonly causes: readonly { readonly cause: string; readonly count: number; readonly fraction: number }[];
	readonly lastHour: BurnSeriesPart['lastHour'];
	readonly latency: LatencyQuantiles | undefined;
}

/** The report over the daemons whose parts went into it. */
export interface BurnReport {
	readonly series: readonly BurnSeries[];
	/** Number of daemons whose counts are in the report. */
	readonly daemons: number;
	/** Requests that were not counted; left out of a team's view. */
	readonly refused?: number | undefined;
}

const windowNames = Object.keys(burnWindows) as BurnWindowName[];
const alarmNames = Object.keys(burnAlarms) as BurnAlarmName[];

/**
 * Merges the parts of several daemons into one report.
 * @param objectives by queue; series of other queues are left out
 */
export function createBurnReport(
	parts: readonly BurnPart[],
	objectives: Readonly<Record<string, ServiceObjective | undefined>>,
): BurnReport {
	const merged = new Map<string, BurnSeriesPart>();
	for (const series of parts.flatMap(part => part.series)) {
		const key = JSON.stringify([series.team, series.queue]);
		const known = merged.get(key);
		merged.set(key, known === undefined ? series : addSeries(known, series));
	}
	const reported = [...merged.values()].flatMap(series => {
		const objective = objectives[series.queue];
		return objective === undefined ? [] : [reportSeries(series, objective)];
	});
	return {
		series: reported.sort((left, right) => sortKey(left).localeCompare(sortKey(right))),
		daemons: parts.length,
		refused: parts.reduce((sum, part) => sum + part.refused, 0),
	};
}

/** The view of one team: its own series and nothing that comes from another team. */
export function forTeam(report: BurnReport, team: string): BurnReport {
	return { series: report.series.filter(series => series.team === team), daemons: report.daemons };
}

function sortKey({ team, queue }: BurnSeries): string {
	return `${team ?? ''}\u0000${queue}`;
}

function addCounts(left: BurnCounts, right: BurnCounts): BurnCounts {
	const causes = { ...left.causes };
	for (const [cause, count] of Object.entries(right.causes)) {
		causes[cause] = (causes[cause] ?? 0) + count;
	}
	return { good: left.good + right.good, bad: left.bad + right.bad, causes };
}

function addSeries(left: BurnSeriesPart, right: BurnSeriesPart): BurnSeriesPart {
	const sumOf = (name: BurnWindowName): BurnCounts => addCounts(left.windows[name], right.windows[name]);
	return {
		...left,
		windows: { '5 min': sumOf('5 min'), '1 h': sumOf('1 h'), '6 h': sumOf('6 h'), '3 d': sumOf('3 d') },
		lastHour: left.lastHour.map(([good, bad], index) => {
			const [otherGood, otherBad] = right.lastHour[index] ?? [0, 0];
			return [good + otherGood, bad + otherBad] as const;
		}),
		latencies: [...left.latencies, ...right.latencies],
	};
}

function reportSeries(series: BurnSeriesPart, objective: ServiceObjective): BurnSeries {
	const allowed = 1 - objective.target;
	const burnOf = ({ good, bad }: BurnCounts): number => (good + bad === 0 ? 0 : bad / (good + bad) / allowed);
	const windowOf = (name: BurnWindowName): BurnWindow => ({
		...series.windows[name],
		burn: burnOf(series.windows[name]),
	});
	const windows = Object.fromEntries(windowNames.map(name => [name, windowOf(name)])) as BurnSeries['windows'];
	const longest = windows['3 d'];
	return {
		team: series.team,
		queue: series.queue,
		objective,
		windows,
		budgetLeft: 1 - longest.burn,
		burning: alarmNames.filter(name =>
			burnAlarms[name].windows.every(window => windows[window].burn >= burnAlarms[name].threshold),
		),
		causes: Object.entries(longest.causes)
			.map(([cause, count]) => ({ cause, count, fraction: count / longest.bad }))
			.sort((left, right) => right.count - left.count || left.cause.localeCompare(right.cause)),
		lastHour: series.lastHour,
		latency: mergeLatencies(series.latencies),
	};
}
